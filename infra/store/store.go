// Package store implements a client of the platform's key-value store, which is
// reached through the etcd v3 JSON gateway.
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
	// readTimeout is the timeout of a read at one address. It leaves time for a
	// second address within the 3 s after which the last confirmation of the
	// configuration by the store counts as outdated.
	readTimeout = 1500 * time.Millisecond
	// writeTimeout is the timeout of a write. It is longer than readTimeout,
	// because the outcome of a write that timed out has to be determined by
	// further calls.
	writeTimeout = 5 * time.Second
	// maxReplyBytes is the maximum size of a reply. It holds 16 values of 1 MB
	// in base64 and their keys.
	maxReplyBytes = 32 << 20
	maxErrorBytes = 512
)

// Client is a client of the store. It is safe for concurrent use.
type Client struct {
	addresses []string
	hc        *http.Client
	calls     atomic.Int64
	// lastAnswered is the index of the address that sent the last usable reply.
	lastAnswered atomic.Int64
}

// New returns a client that tries the addresses (IP:port) in order, starting
// with the one that answered last. hc should have no timeout: every call sets its
// own, and a timeout of hc would also end watches. If hc is nil, New creates an
// HTTP client.
func New(addresses []string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{}
	}
	return &Client{addresses: addresses, hc: hc}
}

// Calls returns the number of HTTP requests attempted so far. Each address that
// a call tries counts as one request, and so does an open watch.
func (c *Client) Calls() int64 { return c.calls.Load() }

// KV is a key of the store with its value.
type KV struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last write to the key.
	ModRevision int64
}

func toKV(k gateway.KeyValue) KV {
	return KV{Key: string(k.Key), Value: k.Value, ModRevision: int64(k.ModRevision)}
}

// Get returns the key and its value, or false if the key does not exist. The
// error is *Unavailable, *Rejected or *Malformed.
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

// RangeOptions restricts a Range. The zero value reads all keys with the prefix
// in ascending order.
type RangeOptions struct {
	// From is the key at which the range starts (inclusive). Empty means the
	// first key with the prefix.
	From string
	// Before is the key at which the range ends (exclusive). Empty means after
	// the last key with the prefix.
	Before     string
	Descending bool
	// Limit is the maximum number of keys; 0 means no limit.
	Limit int64
	// KeysOnly omits the values.
	KeysOnly bool
}

// Page is the reply to Range.
type Page struct {
	KVs []KV
	// More is set if the range has further keys beyond the limit.
	More bool
	// Revision is the revision of the store at which the keys were read. A
	// watch that starts at Revision+1 misses no change.
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

// Put writes the key unconditionally. The error is *Unavailable, *Ambiguous or
// *Rejected.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	var resp gateway.PutResponse
	return c.write(ctx, "put", gateway.PathPut, gateway.PutRequest{Key: []byte(key), Value: value}, &resp)
}

// CreateIfAbsent writes the key if it does not exist and all keys in requires
// exist. It reports whether it wrote the key. If it did not, it returns the
// existing KV, or a zero KV if the key does not exist. Its errors are those of
// Put.
func (c *Client) CreateIfAbsent(ctx context.Context, key string, value []byte, requires ...string) (KV, bool, error) {
	compare := []gateway.Compare{{Result: gateway.Equal, Target: gateway.TargetCreate, Key: []byte(key)}}
	for _, k := range requires {
		compare = append(compare, gateway.Compare{Result: gateway.Greater, Target: gateway.TargetCreate, Key: []byte(k)})
	}
	return c.txn(ctx, "create", compare, key, value)
}

// CompareAndSwap writes the key if it was last written at modRevision, where 0
// means that the key does not exist. Its results and errors are those of
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

// read sends a request that does not write. It tries every address at most
// once, until one gives a usable reply.
func (c *Client) read(ctx context.Context, op, path string, req, resp any) error {
	err := errors.New("no addresses")
	for i := range c.addresses {
		index := c.addressIndex(i)
		err = c.post(ctx, readTimeout, index, path, req, resp)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	var statusErr *statusError
	var decodeErr *decodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &statusErr) && statusErr.status < http.StatusInternalServerError:
		return &Rejected{op, statusErr.status, statusErr.body}
	case errors.As(err, &decodeErr):
		return &Malformed{op, err}
	}
	return &Unavailable{op, err}
}

// write sends a request that writes. It tries the next address only if the
// request has not been sent. If an ambiguous write were repeated, the store
// could report that the key already exists, and it would be unknown whether the
// first attempt or another client wrote the key.
func (c *Client) write(ctx context.Context, op, path string, req, resp any) error {
	err := errors.New("no addresses")
	for i := range c.addresses {
		index := c.addressIndex(i)
		err = c.post(ctx, writeTimeout, index, path, req, resp)
		if err == nil {
			return nil
		}
		if !neverSent(err) {
			break
		}
	}
	var statusErr *statusError
	switch {
	case errors.As(err, &statusErr) && statusErr.status < http.StatusInternalServerError:
		return &Rejected{op, statusErr.status, statusErr.body}
	case neverSent(err) || len(c.addresses) == 0:
		return &Unavailable{op, err}
	}
	return &Ambiguous{op, err}
}

// neverSent reports whether err shows that no connection was established, so
// that the request was not sent.
func neverSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// addressIndex returns the index of the i-th address to try.
func (c *Client) addressIndex(i int) int {
	return (int(c.lastAnswered.Load()) + i) % len(c.addresses)
}

type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

type decodeError struct{ err error }

func (e *decodeError) Error() string { return e.err.Error() }

func (c *Client) post(ctx context.Context, timeout time.Duration, index int, path string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.send(ctx, index, path, req)
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
	c.lastAnswered.Store(int64(index))
	return nil
}

// send sends a request to one address. It returns only replies of status 200,
// whose body the caller must close, and a *statusError for any other status.
func (c *Client) send(ctx context.Context, index int, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses[index]+path, bytes.NewReader(body))
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
