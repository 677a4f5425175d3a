package relay

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

func newTestClient(t *testing.T) *Client {
	tracer, err := tracing.New("off", "a")
	if err != nil {
		t.Fatal(err)
	}
	r := NewClient(ClientConfig{
		Log: zap.NewNop(), Tracer: tracer, Name: "a", Incarnation: 1, Clock: time.Now,
		StallAge: func() time.Duration { return 0 }, Version: func() int64 { return 0 }, OnNewerConfiguration: func(wire.Pool) {},
		Evacuation: func() evacuation.Set { return evacuation.Set{} }, OnEvacuation: func(evacuation.Set) {},
	})
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
	if o, ok := r.Run(context.Background(), address, j).(scheduler.Refused); !ok || o.Reason != scheduler.ReasonNoTarget {
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
	go r.Run(context.Background(), l.Addr().String(), j)
	limit := heartbeatEvery + maxHeartbeatTimeout + 50*time.Millisecond
	for end := time.Now().Add(limit); r.Load(l.Addr().String()).UnresponsiveAt.IsZero(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the owner does not count as unresponsive after %v", limit)
		}
	}
}

// fakeOwner is an owner that replies to nothing while silent is set. It counts the
// jobs that it receives, and keeps each of them until its sender gives it up.
type fakeOwner struct {
	wire.Pool
	silent atomic.Bool
	jobs   atomic.Int64
}

func (o *fakeOwner) Beat(ctx context.Context, _ *wire.BeatRequest) (*wire.BeatReply, error) {
	if o.silent.Load() {
		<-ctx.Done()
	}
	return &wire.BeatReply{Load: &wire.PoolLoad{}, Epoch: 1}, nil
}

func (o *fakeOwner) Run(ctx context.Context, _ *wire.RunRequest) (*wire.RunReply, error) {
	o.jobs.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// serve returns the address of the owner.
func (o *fakeOwner) serve(t *testing.T) string {
	s := httptest.NewServer(wire.NewPoolServer(o))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a job that is sent into a network partition after a pause in which
// the owner got no jobs. Its outcome would be unknown.
func TestSilentOwnerGetsNoJob(t *testing.T) {
	o := &fakeOwner{}
	o.silent.Store(true)
	r, j, address := newTestClient(t), testJob(), o.serve(t)
	if out, ok := r.Run(context.Background(), address, j).(scheduler.Refused); !ok || out.Reason != scheduler.ReasonNoTarget {
		t.Errorf("the outcome is %v, want a refusal for lack of targets", out)
	}
	if d := time.Since(j.Arrived); d > 2*confirmTimeout || o.jobs.Load() > 0 {
		t.Errorf("the owner got %d jobs, and the refusal took %v", o.jobs.Load(), d)
	}
	o.silent.Store(false)
	for end := time.Now().Add(2 * time.Second); !r.Load(address).UnresponsiveAt.IsZero(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the owner still counts as unresponsive 2 s after it replies again")
		}
	}
}

// Guards against an instance that does not reply once, when it is asked whether it
// serves, and gets no jobs from then on.
func TestInstanceThatWasAskedRecovers(t *testing.T) {
	o := &fakeOwner{}
	o.silent.Store(true)
	r, address := newTestClient(t), o.serve(t)
	if r.Serving(address, 0) {
		t.Error("an instance that does not reply counts as serving")
	}
	o.silent.Store(false)
	time.Sleep(overdueReply)
	for end := time.Now().Add(2 * time.Second); r.Load(address).Overdue || !r.Load(address).UnresponsiveAt.IsZero(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the load is still %+v 2 s after the instance replies again", r.Load(address))
		}
	}
}

// Guards against jobs that wait for a lost owner until the next heartbeat fails.
func TestLostOwnerIsGivenUpInTime(t *testing.T) {
	o := &fakeOwner{}
	r, j, address := newTestClient(t), testJob(), o.serve(t)
	j.Deadline = j.Arrived.Add(time.Minute)
	outcome := make(chan scheduler.Outcome, 1)
	go func() { outcome <- r.Run(context.Background(), address, j) }()
	for o.jobs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(heartbeatEvery + heartbeatEvery/2)
	o.silent.Store(true)
	silentAt := time.Now()
	if out, ok := (<-outcome).(scheduler.Unknown); !ok || out.Reason != scheduler.ReasonOwnerLost {
		t.Errorf("the outcome is %v, want unknown", out)
	}
	if d := time.Since(silentAt); d > ownerTimeout+minHeartbeatTimeout {
		t.Errorf("the job was given up after %v, want at most %v", d, ownerTimeout+minHeartbeatTimeout)
	}
}
