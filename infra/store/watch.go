package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"marigoldfront.dev/infra/gateway"
)

// Event is a write or deletion of a key.
type Event struct {
	KV      KV
	Deleted bool
}

// Watch sends the changes of the keys with a prefix to ch, in order and
// starting at revision from, until ctx is done or the stream fails. It always
// returns an error: that of ctx, *Compacted, *Rejected, *Malformed or
// *Unavailable.
//
// The gateway sends nothing while no key changes. Therefore Watch cannot detect
// a connection that was lost without a reset. Callers that need current data
// must also read the keys periodically.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, ch chan<- Event) error {
	const op = "watch"
	req := gateway.WatchRequest{Create: gateway.WatchCreate{Key: []byte(prefix),
		RangeEnd: gateway.PrefixEnd([]byte(prefix)), StartRevision: gateway.Int64(from)}}
	err := errors.New("no addresses")
	for i := range c.addresses {
		var opened bool
		opened, err = c.watchAt(ctx, c.addressIndex(i), req, ch)
		if opened || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return watchError(op, err)
}

// watchAt watches at one address and reports whether the stream was opened. The
// timeout applies only to the response header, not to the stream.
func (c *Client) watchAt(ctx context.Context, index int, req gateway.WatchRequest, ch chan<- Event) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headerTimer := time.AfterFunc(readTimeout, cancel)
	resp, err := c.send(ctx, index, gateway.PathWatch, req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if !headerTimer.Stop() {
		return false, context.DeadlineExceeded
	}
	c.lastAnswered.Store(int64(index))
	return true, readStream(ctx, resp.Body, ch)
}

func readStream(ctx context.Context, r io.Reader, ch chan<- Event) error {
	dec := json.NewDecoder(r)
	for {
		var m gateway.WatchMessage
		if err := dec.Decode(&m); err != nil {
			return err
		}
		events, err := readMessage(m)
		if err != nil {
			return err
		}
		for _, ev := range events {
			select {
			case ch <- ev:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

func watchError(op string, err error) error {
	var statusErr *statusError
	var compacted *Compacted
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &compacted):
		return compacted
	case errors.As(err, &statusErr) && statusErr.status < http.StatusInternalServerError:
		return &Rejected{op, statusErr.status, statusErr.body}
	case errors.As(err, &syntaxErr) || errors.As(err, &typeErr) || errors.Is(err, errNoResult):
		return &Malformed{op, err}
	case errors.Is(err, io.EOF):
		return &Unavailable{op, errors.New("the stream ended")}
	}
	return &Unavailable{op, err}
}

var errNoResult = errors.New("message without a result")

func readMessage(m gateway.WatchMessage) ([]Event, error) {
	if m.Error != nil {
		return nil, errors.New(m.Error.Message)
	}
	if m.Result == nil {
		return nil, errNoResult
	}
	if m.Result.CompactRevision > 0 {
		return nil, &Compacted{int64(m.Result.CompactRevision)}
	}
	if m.Result.Canceled {
		return nil, errors.New("cancelled by the store: " + m.Result.CancelReason)
	}
	events := make([]Event, 0, len(m.Result.Events))
	for _, ev := range m.Result.Events {
		events = append(events, Event{KV: toKV(ev.KV), Deleted: ev.Type == gateway.EventDelete})
	}
	return events, nil
}
