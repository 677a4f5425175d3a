package soak

import (
	"context"
	"testing"
	"time"

	"marigoldfront.dev/bench/fleet/fleettest"
)

type reply struct {
	observed
	err error
}

// pair is a cluster of one availability zone with two instances, and a job
// whose home is the first of them.
type pair struct {
	*cluster
	t       *testing.T
	api     *api
	replies chan reply
}

// startPair submits a job of one task through an instance and waits until the
// task runs.
func startPair(t *testing.T, through int, runMS int64) *pair {
	c, err := newCluster(fleettest.Build(t), 1, 2, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	if err := c.awaitTicket(setupTime); err != nil {
		t.Fatal(err)
	}
	p := &pair{cluster: c, t: t, api: newAPI(callerToken), replies: make(chan reply, 1)}
	session, err := p.api.open(context.Background(), c.entries[0].url(), callerName)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		task := payload{RunMS: runMS, Result: mark(1, 0), Mark: mark(1, 0)}
		o, err := p.api.put(context.Background(), c.entries[through].url(), session, 1, jobBody{Service: "billed",
			TimeoutMS: runMS + 4000, Tasks: []taskBody{{Payload: encode(task)}}})
		p.replies <- reply{o, err}
	}()
	p.until("the task runs", func() bool { return c.startCount() == 1 })
	return p
}

func (p *pair) until(what string, done func() bool) {
	p.t.Helper()
	for end := time.Now().Add(setupTime); !done(); time.Sleep(retryWait) {
		if time.Now().After(end) {
			p.t.Fatalf("not within %v: %s", setupTime, what)
		}
	}
}

func (p *pair) wantComplete() {
	p.t.Helper()
	if r := <-p.replies; r.err != nil || r.State != stateComplete {
		p.t.Errorf("the request got %+v, %v", r.observed, r.err)
	}
}

// Guards against P7 broken by a planned stop that cuts requests which it has
// forwarded: their home may need longer than the instance's own last work.
func TestPlannedStopInterruptsNoForwardedRequest(t *testing.T) {
	p := startPair(t, 1, 12_000)
	if err := p.entries[1].p.Load().RequestStop(); err != nil {
		t.Fatal(err)
	}
	p.wantComplete()
}

// Guards against a planned stop that offers answers to the process in the
// place of its dead successor until the drain limit, and then fails.
func TestPlannedStopEndsWhenTheSuccessorWasReplaced(t *testing.T) {
	p := startPair(t, 0, 3_000)
	first, second := p.entries[0], p.entries[1]
	if err := first.p.Load().RequestStop(); err != nil {
		t.Fatal(err)
	}
	p.until("the session is handed over", func() bool {
		var s struct {
			Sessions int `json:"sessions"`
		}
		_, err := p.api.call(context.Background(), "GET", second.url()+"/v1/status", nil, &s)
		return err == nil && s.Sessions == 1
	})
	second.p.Load().Kill()
	if err := second.start(); err != nil {
		t.Fatal(err)
	}
	p.wantComplete()
	// Half of the drain limit is ample for the rest of the stop, whose last
	// part waits up to 5 s for callers to turn away.
	if err := first.p.Load().AwaitStop(drainLimitS / 2 * time.Second); err != nil {
		t.Error(err)
	}
}
