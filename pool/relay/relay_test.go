package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

func newTestClient(t *testing.T) *Client {
	tracer, err := tracing.New("off", "a")
	if err != nil {
		t.Fatal(err)
	}
	r := NewClient(zap.NewNop(), tracer, "a", 1, func() int64 { return 0 }, func(wire.Pool) {})
	t.Cleanup(r.Close)
	return r
}

func testJob() *scheduler.Job {
	now := time.Now()
	return &scheduler.Job{ID: "j", Arrived: now, Deadline: now.Add(time.Second)}
}

// Guards against an owner without a load report that counts as idle although it
// has just failed to reply.
func TestUnreachableOwnerIsUnresponsive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	r, j := newTestClient(t), testJob()
	if o, ok := r.Run(context.Background(), address, j.Arrived, j).(scheduler.Refused); !ok || o.Reason != scheduler.ReasonNoTarget {
		t.Errorf("the outcome is %v, want a refusal for lack of targets", o)
	}
	if at := r.Load(address).UnresponsiveAt; at.Before(j.Arrived) {
		t.Errorf("the owner counts as unresponsive as of %v, before the job arrived", at)
	}
}

// Guards against an owner that counts as responsive until its jobs are no longer
// awaited. All jobs that are sent to it until then are lost.
func TestOwnerIsUnresponsiveAfterOneHeartbeat(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r, j := newTestClient(t), testJob()
	go r.Run(context.Background(), l.Addr().String(), j.Arrived, j)
	limit := heartbeatEvery + heartbeatTimeout + 50*time.Millisecond
	for end := time.Now().Add(limit); r.Load(l.Addr().String()).UnresponsiveAt.IsZero(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the owner does not count as unresponsive after %v", limit)
		}
	}
}
