package loop

import (
	"context"
	"testing"
	"time"

	"marigoldfront.dev/core/scheduler"
)

// Guards against a job that runs on without a caller: the withdrawal of a
// request may overtake the request itself, because they wait in two rings.
func TestWithdrawalMayOvertakeItsRequest(t *testing.T) {
	for range 50 {
		answered := 0
		out := Handlers{Answered: func(scheduler.Reply) { answered++ }}
		l := New(scheduler.New(scheduler.Config{Lease: time.Second}), time.Now, out)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		// Both items wait before the loop runs, so that it takes either first.
		_, err := l.Submit(ctx, scheduler.Job{ID: "j", Service: "s", Deadline: time.Now().Add(time.Hour)})
		if err == nil {
			t.Fatal("a withdrawn request was answered")
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
