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

// script is a Dispatcher whose replies a test chooses.
type script struct {
	handle func(dispatch.Event) []dispatch.Action
	wake   time.Time
}

func (s *script) Handle(_ time.Time, ev dispatch.Event) []dispatch.Action { return s.handle(ev) }
func (s *script) NextWake() time.Time                                     { return s.wake }

func collect(id dispatch.RequestID) dispatch.Event { return dispatch.Collect{Request: id} }

// Guards against requests that are recorded although the input is full, and
// against an engine that waits for a slow consumer.
func TestFullInputTurnsRequestsAway(t *testing.T) {
	blocked, entered := make(chan struct{}), make(chan struct{}, 1)
	handled := 0
	e := New(&script{handle: func(ev dispatch.Event) []dispatch.Action {
		if c, ok := ev.(dispatch.Collect); ok {
			entered <- struct{}{}
			<-blocked
			handled++
			return []dispatch.Action{dispatch.ReplyRunning{Request: c.Request}}
		}
		return nil
	}}, ActionHandlers{})
	go e.Run()
	results := make(chan error, requestQueue+1)
	ask := func() {
		_, err := e.Do(context.Background(), collect)
		results <- err
	}
	go ask()
	<-entered
	for range requestQueue {
		go ask()
	}
	for len(e.requests) < requestQueue {
		time.Sleep(time.Millisecond)
	}
	if _, err := e.Do(context.Background(), collect); !errors.Is(err, ErrBusy) {
		t.Errorf("request to a full engine: %v", err)
	}
	go func() {
		for range requestQueue {
			<-entered
		}
	}()
	close(blocked)
	for range requestQueue + 1 {
		if err := <-results; err != nil {
			t.Errorf("accepted request: %v", err)
		}
	}
	e.Close()
	if handled != requestQueue+1 {
		t.Errorf("%d requests were handled, want %d", handled, requestQueue+1)
	}
	if _, err := e.Do(context.Background(), collect); !errors.Is(err, ErrBusy) {
		t.Errorf("request to a closed engine: %v", err)
	}
}

// Guards against a start that is forgotten because the sender did not take it,
// and against a wake-up time that passes without a tick.
func TestStartsNotTakenEnd(t *testing.T) {
	ends := make(chan dispatch.AttemptEnded, 1)
	s := &script{wake: time.Now().Add(20 * time.Millisecond)}
	s.handle = func(ev dispatch.Event) []dispatch.Action {
		switch ev := ev.(type) {
		case dispatch.Tick:
			s.wake = time.Time{}
			return []dispatch.Action{dispatch.StartAttempt{Target: "t"}}
		case dispatch.AttemptEnded:
			ends <- ev
		}
		return nil
	}
	e := New(s, ActionHandlers{Start: func(dispatch.StartAttempt) bool { return false }})
	go e.Run()
	defer e.Close()
	got := <-ends
	if _, ok := got.Outcome.(dispatch.NotSent); !ok || got.Target != "t" {
		t.Errorf("end of a start that was not taken: %#v", got)
	}
}

// Guards against a job that ends with its request, and against a reply that
// reaches a request that was given up.
func TestRequestGone(t *testing.T) {
	gone, asked := make(chan dispatch.RequestID, 1), make(chan dispatch.RequestID, 1)
	e := New(&script{handle: func(ev dispatch.Event) []dispatch.Action {
		switch ev := ev.(type) {
		case dispatch.Collect:
			asked <- ev.Request
		case dispatch.CallerDisconnected:
			gone <- ev.Request
			return []dispatch.Action{dispatch.ReplyAnswer{Request: ev.Request, Answer: answer.Complete{}}}
		}
		return nil
	}}, ActionHandlers{})
	go e.Run()
	defer e.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := e.Do(ctx, collect)
		done <- err
	}()
	id := <-asked
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("request whose context ended: %v", err)
	}
	if got := <-gone; got != id {
		t.Errorf("request %d is gone, want %d", got, id)
	}
}
