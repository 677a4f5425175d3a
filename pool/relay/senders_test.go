package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"marigoldfront.dev/wire"
)

// Guards against memory that grows with each sender that a client invents, and against the
// loss of a sender with a job for it.
func TestInventedSendersAreBounded(t *testing.T) {
	o := newTestOwner(t)
	r := newTestClient(t)
	if !r.Serving(o.address, testIncarnation) {
		t.Fatal("the owner does not serve")
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Run(ctx, o.address, testJob())
	}()
	o.awaitJob(t)
	jobs := make([]uint64, 100)
	for i := range 2 * maxSenders {
		if _, err := o.server.Beat(ctx, &wire.BeatRequest{Sender: fmt.Sprint("invented-", i), Incarnation: 1, Number: 1, Jobs: jobs}); err != nil {
			t.Fatal(err)
		}
	}
	o.server.mu.Lock()
	n, ids, counted, kept := len(o.server.senders), o.server.ids, 0, false
	for _, p := range o.server.senders {
		counted += p.ids
		kept = kept || len(p.jobs) > 0
	}
	o.server.mu.Unlock()
	if n > maxSenders || ids > maxSenderIDs || ids != counted {
		t.Errorf("%d senders with %d job IDs, %d of them counted", n, counted, ids)
	}
	if !kept {
		t.Error("the sender of a running job was forgotten")
	}
	cancel()
	<-ended
}

// Guards against a heartbeat that makes the owner remember millions of jobs, and against
// long names.
func TestHeartbeatsAreBounded(t *testing.T) {
	o := newTestOwner(t)
	ctx := t.Context()
	if _, err := o.server.Beat(ctx, &wire.BeatRequest{Sender: "a", Incarnation: 1, Number: 1, Overdue: make([]uint64, maxAwaitedIDs+1)}); err == nil {
		t.Error("a heartbeat with too many jobs was accepted")
	}
	if _, err := o.server.Beat(ctx, &wire.BeatRequest{Sender: strings.Repeat("a", 1<<20), Incarnation: 1, Number: 1}); err != nil {
		t.Error(err)
	}
	if n := len(o.server.senders); n > 0 {
		t.Errorf("%d senders are remembered", n)
	}
}

// Guards against senders that are remembered although they have long left.
func TestSilentSendersAreForgotten(t *testing.T) {
	o := newTestOwner(t)
	if _, err := o.server.Beat(t.Context(), &wire.BeatRequest{Sender: "a", Incarnation: 1, Number: 1, Jobs: []uint64{1}}); err != nil {
		t.Fatal(err)
	}
	o.suspended.Store(int64(senderRetention))
	o.server.expireSenders()
	o.server.mu.Lock()
	defer o.server.mu.Unlock()
	if len(o.server.senders) > 0 || o.server.ids > 0 {
		t.Errorf("%d senders with %d job IDs are remembered", len(o.server.senders), o.server.ids)
	}
}
