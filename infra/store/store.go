// Package store is a client of the platform's key-value store over the etcd
// v3 JSON gateway.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"marigoldfront.dev/infra/gateway"
)

const (
	// readTimeout bounds one read at one address. It leaves time for a second
	// address within the 3 s after which a confirmation counts as old.
	readTimeout = 1500 * time.Millisecond
	// writeTimeout bounds one write. It is longer, because a write that is
	// given up has to be resolved by further calls.
	writeTimeout = 5 * time.Second
	// maxReplyBytes bounds a reply: 16 values of 1 MB in base64 and their keys.
	maxReplyBytes = 32 << 20
	maxErrorBytes = 512
)

// Client calls the store. It is safe for concurrent use.
type Client struct {
	addresses []string
	hc        *http.Client
	calls     atomic.Int64
	// current is the index of the address that answered last.
	current atomic.Int64
}

// New returns a client that tries the addresses (IP:port) in order, starting
// with the one that answered last. hc needs no time limit of its own, because
// calls carry theirs; a limit would also end watches. nil means a new client.
func New(addresses []string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{}
	}
	return &Client{addresses: addresses, hc: hc}
}

// Calls returns the number of calls made so far. A watch counts as one, and
// each further address that is tried counts as another.
func (c *Client) Calls() int64 { return c.calls.Load() }

// KV is one key of the store.
type KV struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last write to the key.
	ModRevision int64
}

func toKV(k gateway.KeyValue) KV {
	return KV{Key: string(k.Key), Value: k.Value, ModRevision: int64(k.ModRevision)}
}

// Get returns the key, or false if it does not exist. The error is
// *Unavailable, *Rejected or *Malformed.
func (c *Client) Get(ctx context.Context, key string) (KV, bool, error) {
	var resp gateway.RangeResponse
	if err := c.read(ctx, "get", gateway.PathRange, gateway.RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return KV{}, false, err
	}
	if len(resp.KVs) == 0 {
		return KV{}, false, nil
	}
	return toKV(resp.KVs[0]), true, nil
}

// RangeOptions narrows a Range. The zero value reads all keys in order.
type RangeOptions struct {
	// From is the first key, if it is not the first with the prefix.
	From string
	// Before ends the range before this key, if not after the last with the
	// prefix.
	Before     string
	Descending bool
	// Limit bounds the number of keys; 0 means no bound.
	Limit int64
	// KeysOnly leaves the values out.
	KeysOnly bool
}

// Page is the reply to Range.
type Page struct {
	KVs []KV
	// More says that the limit cut keys off.
	More bool
	// Revision is that of the store when it read the keys. A watch that
	// starts at Revision + 1 misses nothing.
	Revision int64
}

// Range reads the keys with a prefix. Its errors are those of Get.
func (c *Client) Range(ctx context.Context, prefix string, o RangeOptions) (Page, error) {
	req := gateway.RangeRequest{Key: []byte(prefix), RangeEnd: gateway.PrefixEnd([]byte(prefix)),
		Limit: gateway.Int64(o.Limit), KeysOnly: o.KeysOnly, SortOrder: gateway.Ascend}
	if o.From != "" {
		req.Key = []byte(o.From)
	}
	if o.Before != "" {
		req.RangeEnd = []byte(o.Before)
	}
	if o.Descending {
		req.SortOrder = gateway.Descend
	}
	var resp gateway.RangeResponse
	if err := c.read(ctx, "range", gateway.PathRange, req, &resp); err != nil {
		return Page{}, err
	}
	p := Page{More: resp.More, Revision: int64(resp.Header.Revision)}
	for _, k := range resp.KVs {
		p.KVs = append(p.KVs, toKV(k))
	}
	return p, nil
}

// Put writes the key. The error is *Unavailable, *Ambiguous or *Rejected.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	var resp gateway.PutResponse
	return c.write(ctx, "put", gateway.PathPut, gateway.PutRequest{Key: []byte(key), Value: value}, &resp)
}

// CreateIfAbsent writes the key if it does not exist and all keys of requires
// do. If it did not write, it returns the key as it is, with an empty Key if
// it does not exist. Its errors are those of Put.
func (c *Client) CreateIfAbsent(ctx context.Context, key string, value []byte, requires ...string) (KV, bool, error) {
	compare := []gateway.Compare{{Result: gateway.Equal, Target: gateway.TargetCreate, Key: []byte(key)}}
	for _, k := range requires {
		compare = append(compare, gateway.Compare{Result: gateway.Greater, Target: gateway.TargetCreate, Key: []byte(k)})
	}
	return c.txn(ctx, "create", compare, key, value)
}

// CompareAndSwap writes the key if its last write is that of modRevision; 0
// means that it does not exist. Results and errors are those of
// CreateIfAbsent.
func (c *Client) CompareAndSwap(ctx context.Context, key string, modRevision int64, value []byte) (KV, bool, error) {
	compare := []gateway.Compare{{Result: gateway.Equal, Target: gateway.TargetMod, Key: []byte(key),
		ModRevision: gateway.Int64(modRevision)}}
	return c.txn(ctx, "compare and swap", compare, key, value)
}

func (c *Client) txn(ctx context.Context, op string, cmp []gateway.Compare, key string, value []byte) (KV, bool, error) {
	req := gateway.TxnRequest{
		Compare: cmp,
		Success: []gateway.RequestOp{{Put: &gateway.PutRequest{Key: []byte(key), Value: value}}},
		Failure: []gateway.RequestOp{{Range: &gateway.RangeRequest{Key: []byte(key)}}},
	}
	var resp gateway.TxnResponse
	if err := c.write(ctx, op, gateway.PathTxn, req, &resp); err != nil {
		return KV{}, false, err
	}
	if resp.Succeeded {
		return KV{}, true, nil
	}
	if len(resp.Responses) != 1 || resp.Responses[0].Range == nil {
		return KV{}, false, &Ambiguous{op, errors.New("reply without the key")}
	}
	if kvs := resp.Responses[0].Range.KVs; len(kvs) > 0 {
		return toKV(kvs[0]), false, nil
	}
	return KV{}, false, nil
}

// read tries every address once.
func (c *Client) read(ctx context.Context, op, path string, req, resp any) error {
	err := errors.New("no addresses")
	for i := range c.addresses {
		at := c.address(i)
		err = c.post(ctx, readTimeout, at, path, req, resp)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	var status *statusError
	var bad *decodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &status) && status.status < http.StatusInternalServerError:
		return &Rejected{op, status.status, status.body}
	case errors.As(err, &bad):
		return &Malformed{op, err}
	}
	return &Unavailable{op, err}
}

// write tries the next address only while the request has certainly not
// reached the store: a second write of an ambiguous one would be told that
// the key exists and could not tell whose it is.
func (c *Client) write(ctx context.Context, op, path string, req, resp any) error {
	err := errors.New("no addresses")
	for i := range c.addresses {
		at := c.address(i)
		err = c.post(ctx, writeTimeout, at, path, req, resp)
		if err == nil {
			return nil
		}
		if !neverSent(err) {
			break
		}
	}
	var status *statusError
	switch {
	case errors.As(err, &status) && status.status < http.StatusInternalServerError:
		return &Rejected{op, status.status, status.body}
	case neverSent(err) || len(c.addresses) == 0:
		return &Unavailable{op, err}
	}
	return &Ambiguous{op, err}
}

func neverSent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// address returns the index of the i-th address to try.
func (c *Client) address(i int) int {
	return (int(c.current.Load()) + i) % len(c.addresses)
}

type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

type decodeError struct{ err error }

func (e *decodeError) Error() string { return e.err.Error() }

func (c *Client) post(ctx context.Context, limit time.Duration, at int, path string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := c.send(ctx, at, path, req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read reply: %w", err)
	}
	if err := json.Unmarshal(b, resp); err != nil {
		return &decodeError{err}
	}
	c.current.Store(int64(at))
	return nil
}

// send returns a reply of status 200, whose body the caller closes.
func (c *Client) send(ctx context.Context, at int, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses[at]+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	c.calls.Add(1)
	resp, err := c.hc.Do(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return nil, &statusError{resp.StatusCode, strings.TrimSpace(string(b))}
	}
	return resp, nil
}
