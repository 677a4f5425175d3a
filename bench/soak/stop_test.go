package soak

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// Guards against P7 broken by a planned stop that cuts requests which it has
// forwarded: their home may need longer than the instance's own last work.
func TestPlannedStopInterruptsNoForwardedRequest(t *testing.T) {
	c, err := newCluster(build(t), 1, 2, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	if err := c.awaitTicket(setupTime); err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	a := newAPI(callerToken)
	session, err := a.open(ctx, c.entries[0].url(), callerName)
	if err != nil {
		t.Fatal(err)
	}
	type reply struct {
		observed
		err error
	}
	replies := make(chan reply, 1)
	go func() {
		p := payload{RunMS: 12_000, Result: mark(1, 0), Mark: mark(1, 0)}
		o, err := a.put(ctx, c.entries[1].url(), session, 1, jobBody{Service: "billed", TimeoutMS: 16_000,
			Tasks: []taskBody{{Payload: encode(p)}}})
		replies <- reply{o, err}
	}()
	for end := time.Now().Add(setupTime); c.startCount() == 0; time.Sleep(retryWait) {
		if time.Now().After(end) {
			t.Fatal("the task did not start")
		}
	}
	c.entries[1].p.expect()
	c.entries[1].p.signal(syscall.SIGTERM)
	if r := <-replies; r.err != nil || r.State != stateComplete {
		t.Errorf("a forwarded request during a planned stop: %+v", r)
	}
}
