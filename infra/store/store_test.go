package store_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"marigoldfront.dev/infra/store"
)

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func clientReceiving(status int, body []byte) *store.Client {
	return store.New([]string{"127.0.0.1:1"}, &http.Client{Transport: roundTripFunc(
		func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}, nil
		})})
}

func ExampleClient() {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"aGVsbG8=","mod_revision":"7"}]}`)
	}))
	defer srv.Close()
	c := store.New([]string{srv.Listener.Addr().String()}, nil)
	kv, ok, err := c.Get(context.Background(), "a")
	fmt.Println(kv.Key, string(kv.Value), kv.ModRevision, ok, err, c.Calls())
	// Output: a hello 7 true <nil> 1
}

// Guards against wrong error types: a write without a usable reply must be
// ambiguous, and a write to a refused connection must not be.
func TestErrorTypes(t *testing.T) {
	ctx := context.Background()
	var ambiguous *store.Ambiguous
	var unavailable *store.Unavailable
	var rejected *store.Rejected
	var malformed *store.Malformed
	if err := clientReceiving(503, nil).Put(ctx, "k", nil); !errors.As(err, &ambiguous) {
		t.Errorf("write answered 503: %v", err)
	}
	if err := clientReceiving(200, []byte("{")).Put(ctx, "k", nil); !errors.As(err, &ambiguous) {
		t.Errorf("write with a truncated reply: %v", err)
	}
	if err := clientReceiving(400, []byte("bad")).Put(ctx, "k", nil); !errors.As(err, &rejected) {
		t.Errorf("write answered 400: %v", err)
	}
	if _, _, err := clientReceiving(503, nil).Get(ctx, "k"); !errors.As(err, &unavailable) {
		t.Errorf("read answered 503: %v", err)
	}
	if _, _, err := clientReceiving(200, []byte("{")).Get(ctx, "k"); !errors.As(err, &malformed) {
		t.Errorf("read with a truncated reply: %v", err)
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	refused := store.New([]string{closed.Listener.Addr().String()}, nil)
	if err := refused.Put(ctx, "k", nil); !errors.As(err, &unavailable) {
		t.Errorf("write to a closed port: %v", err)
	}
	if err := store.New(nil, nil).Put(ctx, "k", nil); !errors.As(err, &unavailable) {
		t.Errorf("write without addresses: %v", err)
	}
}

// Guards against a client that fails although only one store address is
// unreachable, and against requests that Calls does not count.
func TestTriesTheNextAddress(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	open := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }))
	defer open.Close()
	c := store.New([]string{closed.Listener.Addr().String(), open.Listener.Addr().String()}, nil)
	for range 2 {
		if err := c.Put(context.Background(), "k", nil); err != nil {
			t.Fatal(err)
		}
	}
	if c.Calls() != 3 {
		t.Errorf("%d calls, want 3: one refused, and the second put starts at the address that answered", c.Calls())
	}
}

// Guards against store replies that crash the client, and against replies after
// which a watch returns no error.
func FuzzReplies(f *testing.F) {
	f.Add(200, `{"header":{"revision":"2"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"2"}],"more":true}`)
	f.Add(200, `{"header":{},"succeeded":false,"responses":[{"response_range":{}}]}`)
	f.Add(200, `{"result":{"header":{},"created":true}}{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ=="}}]}}`)
	f.Add(200, `{"result":{"canceled":true,"compact_revision":"9"}}`)
	f.Add(200, `{"error":{"message":"x"}}`)
	f.Add(200, `{"header":{"revision":"99999999999999999999"}}`)
	f.Add(503, "no leader")
	f.Fuzz(func(t *testing.T, status int, body string) {
		c := clientReceiving(status, []byte(body))
		ctx := context.Background()
		_, _ = c.Range(ctx, "p", store.RangeOptions{Limit: 1})
		_, _, _ = c.CreateIfAbsent(ctx, "k", nil, "base")
		ch := make(chan store.Event, strings.Count(body, "{")+1)
		if err := c.Watch(ctx, "p", 1, ch); err == nil {
			t.Fatal("watch ended without an error")
		}
	})
}
