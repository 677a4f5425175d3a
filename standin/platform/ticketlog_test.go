package platform_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/infra/gateway"
	"marigoldfront.dev/infra/store"
	"marigoldfront.dev/infra/ticketlog"
	"marigoldfront.dev/standin/platform"
)

type fixture struct {
	t    *testing.T
	srv  *httptest.Server
	st   *store.Client
	log  *ticketlog.Log
	head *directory.Directory
}

func newFixture(t *testing.T, h http.Handler) *fixture {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.CloseClientConnections)
	t.Cleanup(srv.Close)
	st := store.New([]string{srv.Listener.Addr().String()}, nil)
	return &fixture{t: t, srv: srv, st: st, log: ticketlog.New(st), head: directory.Empty()}
}

func (f *fixture) setFaults(body string) {
	f.t.Helper()
	resp, err := http.Post(f.srv.URL+"/v1/faults", "application/json", strings.NewReader(body))
	if err != nil || resp.StatusCode != http.StatusOK {
		f.t.Fatal(resp, err)
	}
	resp.Body.Close()
}

func (f *fixture) prepare(team string, weight int) (ticket.Ticket, *directory.Directory) {
	f.t.Helper()
	put := directory.State{Teams: map[string]directory.Team{team: {Name: team, Weight: weight}}}
	tk, next, err := ticket.Prepare(f.head, ticket.Ticket{Nonce: ticketlog.NewNonce(), Author: team, Put: put})
	if err != nil {
		f.t.Fatal(err)
	}
	return tk, next
}

func (f *fixture) accept(n int) {
	f.t.Helper()
	for range n {
		tk, next := f.prepare("team", int(f.head.Number)+1)
		if err := f.log.Accept(context.Background(), f.head, tk); err != nil {
			f.t.Fatal(err)
		}
		f.head = next
	}
}

func (f *fixture) wantHead() {
	f.t.Helper()
	d, err := f.log.Load(context.Background(), 0)
	if err != nil || d.Number != f.head.Number || d.Digest != f.head.Digest {
		f.t.Fatalf("loaded %v, %v, want ticket %d", d, err, f.head.Number)
	}
}

// Guards against a ticket that is written twice or reported as failed when the
// store's reply to its write is lost (guarantee P8).
func TestLostReplyAcceptsTicketOnce(t *testing.T) {
	f := newFixture(t, platform.New())
	for lost := range 3 {
		f.setFaults(fmt.Sprintf(`{"lose_replies":%d}`, lost))
		f.accept(1)
	}
	tk, next := f.prepare("team", 9)
	f.setFaults(`{"lose_replies":5}`)
	var ambiguous *store.Ambiguous
	if err := f.log.Accept(context.Background(), f.head, tk); !errors.As(err, &ambiguous) {
		t.Fatalf("all replies lost: %v", err)
	}
	if err := f.log.Accept(context.Background(), f.head, tk); err != nil {
		t.Fatalf("the same ticket again: %v", err)
	}
	f.head = next
	f.wantHead()
}

// Guards against two concurrent tickets that are both reported as accepted under
// the same number, and against a conflict error that does not name the accepted
// ticket and its changes.
func TestConcurrentTicketsGetOneConflict(t *testing.T) {
	f := newFixture(t, platform.New())
	f.accept(1)
	for i, second := range []string{"team", "other"} {
		one, next := f.prepare("team", 50+i)
		two, _ := f.prepare(second, 60)
		errs := make(chan error, 2)
		for _, tk := range []ticket.Ticket{one, two} {
			go func() { errs <- f.log.Accept(context.Background(), f.head, tk) }()
		}
		err := errors.Join(<-errs, <-errs)
		var c *ticketlog.Conflict
		if !errors.As(err, &c) {
			t.Fatalf("no conflict: %v", err)
		}
		if same := len(c.CommonObjects) == 1; same != (second == "team") || len(c.Changes) != 1 ||
			!strings.Contains(c.Error(), c.Winner.Author) {
			t.Errorf("conflict does not name the changes of the accepted ticket: %v", c)
		}
		if c.Winner.Nonce == one.Nonce {
			f.head = next
		} else if f.head, err = f.log.Load(context.Background(), 0); err != nil {
			t.Fatal(err)
		}
		f.wantHead()
	}
}

// Guards against a ticket whose base is not in this store. Accepting it would
// leave a gap in the numbers, which instances cannot load past.
func TestTicketWithMissingBaseIsRefused(t *testing.T) {
	f := newFixture(t, platform.New())
	_, f.head = f.prepare("team", 1)
	tk, _ := f.prepare("team", 2)
	var missing *ticketlog.MissingBaseError
	if err := f.log.Accept(context.Background(), f.head, tk); !errors.As(err, &missing) {
		t.Fatal(err)
	}
}

// Guards against a corrupted ticket that is applied, or that makes the tickets
// before it unusable.
func TestCorruptTicketIsRefusedWithAFinding(t *testing.T) {
	f := newFixture(t, platform.New())
	f.accept(2)
	tk, _ := f.prepare("team", 7)
	tk.Digest++
	b, err := ticket.Encode(tk)
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range [][]byte{b, bytes.Replace(b, []byte(`"base"`), []byte(`"bass"`), 1), []byte("x")} {
		if err := f.st.Put(context.Background(), "marigoldfront/ticket/0000000003", value); err != nil {
			t.Fatal(err)
		}
		d, err := f.log.Load(context.Background(), 0)
		var corrupt *ticketlog.CorruptError
		if !errors.As(err, &corrupt) || corrupt.Number != 3 || d == nil || d.Number != 2 {
			t.Errorf("loaded %v, %v", d, err)
		}
		var l finding.List
		if bytes.Equal(value, b) && (!errors.As(err, &l) || l[0].Place != "tickets[3].digest") {
			t.Errorf("no finding at the digest: %v", err)
		}
	}
}

// Guards against a load that reads all tickets, that uses a damaged snapshot, or
// that stops at an older snapshot instead of applying the tickets after it.
func TestLoadUsesNewestValidSnapshot(t *testing.T) {
	f := newFixture(t, platform.New())
	f.accept(2*256 + 20)
	before := f.st.Calls()
	f.wantHead()
	if n := f.st.Calls() - before; n > 10 {
		t.Errorf("%d calls for a load, want at most 10", n)
	}
	for _, upTo := range []uint64{1, 255, 256, 257, 512} {
		if d, err := f.log.Load(context.Background(), upTo); err != nil || d.Number != upTo {
			t.Errorf("load up to %d: %v, %v", upTo, d, err)
		}
	}
	if err := f.st.Put(context.Background(), "marigoldfront/snapshot/0000000512/0001", []byte("x")); err != nil {
		t.Fatal(err)
	}
	f.wantHead()
}

func (f *fixture) watch(after uint64) (<-chan ticket.Ticket, <-chan error, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	ch, done := make(chan ticket.Ticket, 100), make(chan error, 1)
	go func() { done <- f.log.Watch(ctx, after, ch) }()
	return ch, done, cancel
}

func (f *fixture) wantTicket(ch <-chan ticket.Ticket, n uint64) {
	f.t.Helper()
	select {
	case tk := <-ch:
		if tk.Number != n {
			f.t.Fatalf("ticket %d, want %d", tk.Number, n)
		}
	case <-time.After(10 * time.Second):
		f.t.Fatalf("ticket %d did not arrive", n)
	}
}

// Guards against a watch that sends an older ticket again when its key is
// rewritten, or that does not report a store outage (guarantee P8).
func TestWatchSendsEachTicketOnceInOrder(t *testing.T) {
	f := newFixture(t, platform.New())
	f.accept(3)
	ch, done, cancel := f.watch(1)
	defer cancel()
	f.wantTicket(ch, 2)
	f.wantTicket(ch, 3)
	f.accept(1)
	f.wantTicket(ch, 4)
	old, _, err := f.st.Get(context.Background(), "marigoldfront/ticket/0000000002")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.st.Put(context.Background(), old.Key, old.Value); err != nil {
		t.Fatal(err)
	}
	f.accept(1)
	f.wantTicket(ch, 5)
	f.setFaults(`{"outage":true}`)
	var unavailable *store.Unavailable
	if err := <-done; !errors.As(err, &unavailable) {
		t.Errorf("watch in an outage: %v", err)
	}
}

// Guards against a watch that misses tickets when the store compacts its history
// between the load and the start of the watch.
func TestWatchAfterCompaction(t *testing.T) {
	var f *fixture
	inner := platform.New()
	first := true
	f = newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == gateway.PathWatch && first {
			first = false
			f.accept(2)
			f.setFaults(`{"compact":true}`)
		}
		inner.ServeHTTP(w, r)
	}))
	f.accept(1)
	ch, done, cancel := f.watch(0)
	for n := range uint64(3) {
		f.wantTicket(ch, n+1)
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled watch: %v", err)
	}
	var compacted *store.Compacted
	if err := f.st.Watch(context.Background(), "", 1, nil); !errors.As(err, &compacted) {
		t.Errorf("watch from a compacted revision: %v", err)
	}
}

// Guards against an outage or a slow store that blocks a call without a bound,
// and against an error that denies a write that may have taken effect.
func TestOutageAndSlowStore(t *testing.T) {
	f := newFixture(t, platform.New())
	f.accept(1)
	f.setFaults(`{"outage":true}`)
	var unavailable *store.Unavailable
	if _, err := f.log.Head(context.Background()); !errors.As(err, &unavailable) {
		t.Errorf("head in an outage: %v", err)
	}
	tk, next := f.prepare("team", 5)
	var ambiguous *store.Ambiguous
	if err := f.log.Accept(context.Background(), f.head, tk); !errors.As(err, &ambiguous) {
		t.Errorf("accept in an outage: %v", err)
	}
	f.setFaults(`{"outage":false,"delay_ms":800}`)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := f.log.Accept(ctx, f.head, tk); !errors.As(err, &ambiguous) {
		t.Errorf("accept at a slow store: %v", err)
	}
	f.setFaults(`{"delay_ms":50}`)
	if err := f.log.Accept(context.Background(), f.head, tk); err != nil {
		t.Error(err)
	}
	f.head = next
	f.wantHead()
}
