package scheduler

import (
	"testing"
	"time"
)

// Guards against refusing a job that arrives late, for example because another
// owner did not answer, although a target is free.
func TestLateJobStartsOnFreeTarget(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	j := testJob("j", 1)
	j.Arrived, j.Deadline = h.now.Add(-250*time.Millisecond), h.now.Add(1200*time.Millisecond)
	h.send(Submit{Request: 1, Job: j})
	if len(take[Start](h)) != 1 {
		t.Errorf("the job is not started: %+v", h.actions)
	}
}

// Guards against a started job that waits until its deadline because its targets
// are handed over to another instance. Its remaining tasks must still start on
// these targets, but no tasks of other jobs.
func TestReleasingTargetRunsOnlyStartedJobs(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, testJob("j", 3))
	starts := take[Start](h)
	if len(starts) != 2 {
		t.Fatalf("%d starts", len(starts))
	}
	releasing := testTarget("a")
	releasing.Releasing = true
	h.send(TargetsChanged{Targets: []Target{releasing}})
	h.submit(2, testJob("k", 1))
	for _, s := range starts {
		h.answerStart(s, StartAccepted)
	}
	h.advance(20 * time.Millisecond)
	h.answerPoll("a", PollReturned{Completions: []Completion{{Number: 1, Run: starts[0].Run, Result: RunSucceeded}}, Running: []RunID{starts[1].Run}})
	if next := take[Start](h); len(next) != 1 || next[0].Run.Task.Job != "j" {
		t.Errorf("started on the releasing target: %+v, want the remaining task of j", next)
	}
}

// Guards against jobs that wait although all targets are draining or owned by
// other instances. A job that has started may use a target that has just begun to
// drain.
func TestJobsWithoutTargetsAreAnsweredAtOnce(t *testing.T) {
	draining := testTarget("a")
	draining.Draining = true
	t.Run("owned by another instance", func(t *testing.T) { testJobsWithoutTargets(t, nil) })
	t.Run("draining", func(t *testing.T) { testJobsWithoutTargets(t, []Target{draining}) })
}

func testJobsWithoutTargets(t *testing.T, left []Target) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, testJob("started", 3))
	h.submit(2, testJob("waiting", 1))
	for _, s := range take[Start](h) {
		h.answerStart(s, StartAccepted)
	}
	h.send(TargetsChanged{Targets: left})
	got := map[string]Outcome{}
	for _, r := range take[Reply](h) {
		got[r.Job] = r.Outcome
	}
	if len(left) > 0 {
		if o := got["started"]; o != nil {
			t.Errorf("the started job is answered before its targets leave: %v", o)
		}
		h.advance(drainStartTime)
		got["started"] = one[Reply](h).Outcome
	}
	if o, ok := got["started"].(Unknown); !ok || o.Reason != ReasonNoTarget {
		t.Errorf("the outcome of the started job is %v", got["started"])
	}
	if o, ok := got["waiting"].(Refused); !ok || o.Reason != ReasonNoTarget {
		t.Errorf("the outcome of the waiting job is %v", got["waiting"])
	}
}

// Guards against a busy loop: a wake-up time in the past makes the instance decide
// repeatedly without an event, which takes CPU time from the waiting jobs.
func TestNextWakeIsInTheFuture(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, testJob("running", 2))
	for _, s := range take[Start](h) {
		h.answerStart(s, StartAccepted)
	}
	waiting := testJob("waiting", 1)
	waiting.Stretch = 4
	h.submit(2, waiting)
	for range 200 {
		h.now = h.now.Add(5 * time.Millisecond)
		h.send(Tick{})
		if next := h.s.NextWake(); !next.IsZero() && !next.After(h.now) {
			t.Fatalf("%v after the start, the next wake-up is %v from now", h.now.Sub(time.Unix(1000, 0)), next.Sub(h.now))
		}
	}
}

// Guards against an instance that starts its jobs again after a suspension,
// although the senders have already sent them to another instance.
func TestResumedInstanceStartsNothingAgain(t *testing.T) {
	h := newHarness(t, testTarget("a"), testTarget("b"))
	long := testJob("j", 5)
	long.Stretch, long.Deadline = 20, h.now.Add(20*time.Second)
	h.submit(1, long)
	for _, s := range take[Start](h) {
		h.answerStart(s, StartAccepted)
	}
	h.submit(2, testJob("k", 1))
	h.now = h.now.Add(testLease + 200*time.Millisecond)
	h.send(Tick{})
	got := map[string]Outcome{}
	for _, r := range take[Reply](h) {
		got[r.Job] = r.Outcome
	}
	if o, ok := got["j"].(Unknown); !ok || o.Reason != ReasonOwnerLost {
		t.Errorf("the outcome of the started job is %v", got["j"])
	}
	if _, ok := got["k"].(Refused); !ok {
		t.Errorf("the outcome of the waiting job is %v", got["k"])
	}
	if starts := take[Start](h); len(starts) > 0 {
		t.Errorf("started after the suspension: %+v", starts)
	}
}

// Guards against a long wait without events that is mistaken for a suspension,
// which would end the waiting jobs.
func TestLongWaitIsNotASuspension(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	first := testJob("running", 2)
	first.Stretch, first.Deadline = 50, h.now.Add(30*time.Second)
	h.submit(1, first)
	take[Start](h)
	for end := h.now.Add(5 * time.Second); h.now.Before(end); {
		next := h.s.NextWake()
		if next.IsZero() || next.Sub(h.now) > testLease {
			t.Fatalf("the next wake-up is %v away", next.Sub(h.now))
		}
		h.now = next.Add(time.Millisecond)
		h.send(Tick{})
	}
}

// Guards against a long job whose outcome is given up as unknown while the owners of
// targets change, although its caller waits for long enough, and against one that waits
// for targets that do not come.
func TestStartedLongJobAwaitsTargets(t *testing.T) {
	for name, comes := range map[string]bool{"targets come": true, "none comes": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testTarget("a"))
			j := testJob("j", 3)
			j.Steps[0].Estimate, j.Deadline = 5*time.Second, h.now.Add(30*time.Second)
			h.submit(1, j)
			for _, st := range take[Start](h) {
				h.answerStart(st, StartAccepted)
			}
			draining := testTarget("a")
			draining.Draining = true
			h.send(TargetsChanged{Targets: []Target{draining}})
			h.advance(targetWait - 100*time.Millisecond)
			none[Reply](h)
			if !comes {
				h.advance(drainStartTime + 200*time.Millisecond)
				if o, ok := one[Reply](h).Outcome.(Unknown); !ok || o.Reason != ReasonNoTarget {
					t.Errorf("the outcome is %v", o)
				}
				return
			}
			h.send(TargetsChanged{Targets: []Target{draining, testTarget("b")}})
			h.answerPoll("b", PollReturned{})
			if st := one[Start](h); st.Target != "b" {
				t.Errorf("the last task starts on %s", st.Target)
			}
		})
	}
}
