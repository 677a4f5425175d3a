package relay

import (
	"context"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/core/scheduler"
	infra "marigoldfront.dev/infra/intake"
)

// Guards against a job that is reported as unknown, or that runs, although its owner had
// no memory for it: its message, its decoded form or its tasks.
func TestJobWithoutMemoryAtOwnerIsRefused(t *testing.T) {
	steps := func(n, count int) []scheduler.Step {
		s := make([]scheduler.Step, n)
		for i := range s {
			s[i].Count = count
		}
		return s
	}
	for name, s := range map[string][]scheduler.Step{
		"steps": steps(5000, 1), "tasks": steps(1, 100_000),
	} {
		t.Run(name, func(t *testing.T) {
			o := startLimitedOwner(t, "127.0.0.1:0", testIncarnation, intake.Limits{Memory: 2 << 20, Connections: 10, Unfinished: 10})
			r := newTestClient(t)
			if !r.Serving(o.address, testIncarnation) {
				t.Fatal("the owner does not serve")
			}
			j := testJob()
			j.Steps = s
			if got, ok := r.Run(context.Background(), o.address, j).(scheduler.Refused); !ok || got.Reason != scheduler.ReasonOverloaded || got.RetryAfter <= 0 {
				t.Errorf("outcome %+v, want a refusal", got)
			}
			if len(o.submitted) > 0 {
				t.Error("the job was submitted")
			}
		})
	}
}

// Guards against callers that are all told to return after a second although the owner has
// told a time for each.
func TestRetryAfterReachesTheSender(t *testing.T) {
	want := 7 * time.Second
	if got := retryAfter(exhausted(&infra.RefusedError{RetryAfter: want})); got != want {
		t.Errorf("retry after %v, want %v", got, want)
	}
	if got := retryAfter(twirp.NewError(twirp.ResourceExhausted, "of an earlier version")); got != time.Second {
		t.Errorf("retry after %v without a time", got)
	}
}
