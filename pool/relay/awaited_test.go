package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/wire"
)

func (o *testOwner) recordAwaited() chan scheduler.Awaited {
	awaited := make(chan scheduler.Awaited, 64)
	o.server.cfg.Awaited = func(ev scheduler.Awaited) { awaited <- ev }
	return awaited
}

// Guards against a report that extends the lease of jobs that the sender no longer
// awaits, and against one that was held on its way and counts as new.
func TestReportNamesTheAwaitedJobsAndItsTime(t *testing.T) {
	o := newTestOwner(t)
	awaited := o.recordAwaited()
	for id, job := range []string{"first", "second"} {
		in := o.request(uint64(id+1), o.now())
		in.Job = job
		o.run(t, in)
	}
	sent := o.now().Add(-200 * time.Millisecond).Truncate(time.Millisecond)
	beat := &wire.BeatRequest{
		Sender: "a", Incarnation: 1, Number: 1, Last: 2, Jobs: []uint64{2},
		Sent: &wire.OwnerTime{Incarnation: testIncarnation, Ms: sent.UnixMilli()},
	}
	if _, err := o.server.Beat(context.Background(), beat); err != nil {
		t.Fatal(err)
	}
	ev := <-awaited
	if !slices.Equal(ev.Jobs, []string{"second"}) || !ev.At.Equal(sent) || ev.Sender != senderID("a", 1) {
		t.Errorf("reported as awaited: %+v, want the second job at %v", ev, sent)
	}
	beat.Number, beat.Sent.Incarnation = 2, testIncarnation+1
	if _, err := o.server.Beat(context.Background(), beat); err != nil {
		t.Fatal(err)
	}
	if len(awaited) > 0 {
		t.Errorf("a report in an unknown clock counts: %+v", <-awaited)
	}
}

// Guards against a sender that reports jobs as awaited after a pause, although their
// callers have left meanwhile.
func TestReportAfterStallIsFromBeforeIt(t *testing.T) {
	const stalled = 600 * time.Millisecond
	o := newTestOwner(t)
	awaited := o.recordAwaited()
	r := newTestClient(t)
	var stall atomic.Int64
	r.cfg.StallAge = func() time.Duration { return time.Duration(stall.Load()) }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx, o.address, testJob())
	o.awaitJob(t)
	<-awaited
	stall.Store(int64(stalled))
	for len(awaited) > 0 {
		<-awaited
	}
	// One heartbeat may have been composed before.
	<-awaited
	ev := <-awaited
	if age := o.now().Sub(ev.At); age < stalled {
		t.Errorf("after a stall of %v, a job was reported as awaited %v ago", stalled, age)
	}
	stall.Store(0)
	for end := time.Now().Add(3 * time.Second); o.now().Sub(ev.At) > 100*time.Millisecond; ev = <-awaited {
		if time.Now().After(end) {
			t.Fatal("no new report after the stall")
		}
	}
}
