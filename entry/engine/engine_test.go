package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/dispatch"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDispatcher calls a function of the test for each event.
type fakeDispatcher struct {
	handle func(dispatch.Event) []dispatch.Action
	wake   time.Time
}

func (d *fakeDispatcher) Handle(_ time.Time, ev dispatch.Event) []dispatch.Action {
	return d.handle(ev)
}
func (d *fakeDispatcher) NextWake() time.Time { return d.wake }

func newCollect(id dispatch.RequestID) dispatch.Event { return dispatch.Collect{Request: id} }

// Guards against requests that are recorded although the queue is full, and
// against requests that block, instead of failing with ErrBusy, while the
// Dispatcher is slow.
func TestFullQueueRejectsRequests(t *testing.T) {
	blocked, entered := make(chan struct{}), make(chan struct{}, 1)
	handled := 0
	e := New(&fakeDispatcher{handle: func(ev dispatch.Event) []dispatch.Action {
		if c, ok := ev.(dispatch.Collect); ok {
			entered <- struct{}{}
			<-blocked
			handled++
			return []dispatch.Action{dispatch.ReplyRunning{Request: c.Request}}
		}
		return nil
	}}, ActionHandlers{})
	go e.Run()
	results := make(chan error, maxQueuedRequests+1)
	send := func() {
		_, err := e.Do(context.Background(), newCollect)
		results <- err
	}
	go send()
	<-entered
	for range maxQueuedRequests {
		go send()
	}
	for len(e.requests) < maxQueuedRequests {
		time.Sleep(time.Millisecond)
	}
	if _, err := e.Do(context.Background(), newCollect); !errors.Is(err, ErrBusy) {
		t.Errorf("request to an engine with a full queue: %v", err)
	}
	go func() {
		for range maxQueuedRequests {
			<-entered
		}
	}()
	close(blocked)
	for range maxQueuedRequests + 1 {
		if err := <-results; err != nil {
			t.Errorf("accepted request: %v", err)
		}
	}
	e.Close()
	if handled != maxQueuedRequests+1 {
		t.Errorf("%d requests were handled, want %d", handled, maxQueuedRequests+1)
	}
	if _, err := e.Do(context.Background(), newCollect); !errors.Is(err, ErrBusy) {
		t.Errorf("request to a closed engine: %v", err)
	}
}

// Guards against an attempt that never ends because the sender did not accept
// it, and against a wake-up time that passes without a Tick event.
func TestRejectedStartEndsAttempt(t *testing.T) {
	ended := make(chan dispatch.AttemptEnded, 1)
	d := &fakeDispatcher{wake: time.Now().Add(20 * time.Millisecond)}
	d.handle = func(ev dispatch.Event) []dispatch.Action {
		switch ev := ev.(type) {
		case dispatch.Tick:
			d.wake = time.Time{}
			return []dispatch.Action{dispatch.StartAttempt{Target: "t"}}
		case dispatch.AttemptEnded:
			ended <- ev
		}
		return nil
	}
	e := New(d, ActionHandlers{Start: func(dispatch.StartAttempt) bool { return false }})
	go e.Run()
	defer e.Close()
	got := <-ended
	if _, ok := got.Outcome.(dispatch.NotSent); !ok || got.Target != "t" {
		t.Errorf("result of a start that was not accepted: %#v", got)
	}
}

// Guards against a canceled request that the Dispatcher is not informed of, and
// against a reply that is sent to a request that no longer waits.
func TestRequestContextCanceled(t *testing.T) {
	disconnected, received := make(chan dispatch.RequestID, 1), make(chan dispatch.RequestID, 1)
	e := New(&fakeDispatcher{handle: func(ev dispatch.Event) []dispatch.Action {
		switch ev := ev.(type) {
		case dispatch.Collect:
			received <- ev.Request
		case dispatch.CallerDisconnected:
			disconnected <- ev.Request
			return []dispatch.Action{dispatch.ReplyAnswer{Request: ev.Request, Answer: answer.Complete{}}}
		}
		return nil
	}}, ActionHandlers{})
	go e.Run()
	defer e.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := e.Do(ctx, newCollect)
		done <- err
	}()
	id := <-received
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("request with a canceled context: %v", err)
	}
	if got := <-disconnected; got != id {
		t.Errorf("request %d is reported as canceled, want %d", got, id)
	}
}
