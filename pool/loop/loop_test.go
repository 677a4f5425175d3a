package loop

import (
	"context"
	"testing"
	"time"

	"marigoldfront.dev/core/scheduler"
)

// Guards against a job that runs although it was withdrawn. The withdrawal of a
// request may be handled before the request, because they wait in two queues.
func TestWithdrawalMayOvertakeItsRequest(t *testing.T) {
	for range 50 {
		answered := 0
		handlers := Handlers{Answered: func(scheduler.Reply) { answered++ }}
		l := New(scheduler.New(scheduler.Config{Lease: time.Second}), time.Now, handlers)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		// Both items are queued before the loop runs, so that it may handle either
		// first.
		_, err := l.Submit(ctx, scheduler.Job{ID: "j", Service: "s", Deadline: time.Now().Add(time.Hour)})
		if err == nil {
			t.Fatal("a withdrawn request has an outcome")
		}
		go l.Run()
		time.Sleep(time.Millisecond)
		l.Inspect(func(*scheduler.Scheduler) {})
		l.Close()
		if answered > 0 {
			t.Fatal("a withdrawn job reached the scheduler")
		}
	}
}
