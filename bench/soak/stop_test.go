package soak

import (
	"context"
	"testing"
	"time"

	"marigoldfront.dev/bench/fleet/fleettest"
)

type reply struct {
	jobAnswer
	err error
}

// stopFixture is a cluster with one availability zone, two instances and one
// target. It runs one job, whose home instance is the first instance.
type stopFixture struct {
	*cluster
	t       *testing.T
	api     *api
	replies chan reply
}

// newStopFixture submits a job of one task, which runs for runMS milliseconds,
// to the instance with index through and waits until the task starts.
func newStopFixture(t *testing.T, through int, runMS int64) *stopFixture {
	c, err := newCluster(fleettest.Build(t), 1, 2, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	if err := c.awaitTicket(setupTimeout); err != nil {
		t.Fatal(err)
	}
	f := &stopFixture{cluster: c, t: t, api: newAPI(callerToken), replies: make(chan reply, 1)}
	session, err := f.api.openSession(context.Background(), c.entries[0].url(), callerName)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		task := taskPayload{RunMS: runMS, Result: taskMark(1, 0), Mark: taskMark(1, 0)}
		answer, err := f.api.submitJob(context.Background(), c.entries[through].url(), session, 1, jobRequest{Service: "billed",
			TimeoutMS: runMS + 4000, Tasks: []taskRequest{{Payload: mustMarshal(task)}}})
		f.replies <- reply{answer, err}
	}()
	f.waitFor("the task runs", func() bool { return c.startCount() == 1 })
	return f
}

func (f *stopFixture) waitFor(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(setupTimeout); !done(); time.Sleep(retryWait) {
		if time.Now().After(end) {
			f.t.Fatalf("not within %v: %s", setupTimeout, what)
		}
	}
}

func (f *stopFixture) wantComplete() {
	f.t.Helper()
	if r := <-f.replies; r.err != nil || r.State != stateComplete {
		f.t.Errorf("the request got %+v, %v", r.jobAnswer, r.err)
	}
}

// Guards against a planned stop that interrupts forwarded requests, which
// violates guarantee P7. The instance must wait for the home instance of such a
// request, which may need longer than the instance's own jobs.
func TestPlannedStopInterruptsNoForwardedRequest(t *testing.T) {
	f := newStopFixture(t, 1, 12_000)
	if err := f.entries[1].process.Load().RequestStop(); err != nil {
		t.Fatal(err)
	}
	f.wantComplete()
}

// Guards against a planned stop that fails at the drain limit: its successor is
// killed after the handover, and the instance keeps sending the answers to the
// process that was started in the successor's place.
func TestPlannedStopEndsWhenTheSuccessorWasReplaced(t *testing.T) {
	f := newStopFixture(t, 0, 3_000)
	first, second := f.entries[0], f.entries[1]
	if err := first.process.Load().RequestStop(); err != nil {
		t.Fatal(err)
	}
	f.waitFor("the session is handed over", func() bool {
		var s struct {
			Sessions int `json:"sessions"`
		}
		_, err := f.api.call(context.Background(), "GET", second.url()+"/v1/status", nil, &s)
		return err == nil && s.Sessions == 1
	})
	second.process.Load().Kill()
	if err := second.start(); err != nil {
		t.Fatal(err)
	}
	f.wantComplete()
	// Half of the drain limit is enough for the rest of the stop, which waits up
	// to 5 s at its end for callers to use other instances.
	if err := first.process.Load().AwaitStop(drainLimitS / 2 * time.Second); err != nil {
		t.Error(err)
	}
}
