package scheduler

import (
	"testing"
	"time"
)

// failOn starts a job whose only task fails on a target.
func (h *harness) failOn(id string, number int64) {
	j := h.longJob(id, 1)
	j.MaxAttempts = 1
	h.submit(RequestID(1000+number), j)
	st := h.startAll()[0]
	h.answerPoll(st.Target, PollReturned{Completions: []Completion{{Number: number, Run: st.Run, Result: RunFailed}}})
	one[Reply](h)
}

// Guards against jobs that wait until their deadline because tasks of a few other jobs
// have failed on every target.
func TestTargetsAreUsedWhenAllAreEjected(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.failOn("x", 1)
	h.failOn("y", 2)
	if h.s.targets["a"].ejectedUntil.IsZero() {
		t.Fatal("the target is not ejected after failures of two jobs")
	}
	h.submit(1, h.longJob("j", 2))
	if starts := h.startAll(); len(starts) != 1 {
		t.Fatalf("%d tasks start on the only target, which is ejected, want 1", len(starts))
	}
}

// Guards against work for an ejected target while others are in service.
func TestEjectedTargetGetsNoWork(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.failOn("x", 1)
	h.failOn("y", 2)
	h.send(TargetsChanged{Targets: []Target{testTarget("a"), testTarget("b")}})
	h.answerPoll("b", PollReturned{})
	h.submit(1, h.longJob("j", 3))
	for _, st := range h.startAll() {
		if st.Target == "a" {
			t.Errorf("%v starts on the ejected target", st.Run)
		}
	}
}

// Guards against a started job that is given up in the moment in which the list shows
// its last target as draining, although the target serves for two seconds more.
func TestStartedJobUsesTargetThatHasJustBegunToDrain(t *testing.T) {
	for _, tc := range []struct {
		wait   time.Duration
		starts bool
	}{{100 * time.Millisecond, true}, {drainStartTime + 50*time.Millisecond, false}} {
		h := newHarness(t, testTarget("a"))
		h.submit(1, h.longJob("j", 3))
		running := h.startAll()
		if len(running) != 2 {
			t.Fatalf("%d starts, want 2", len(running))
		}
		draining := testTarget("a")
		draining.Draining = true
		h.send(TargetsChanged{Targets: []Target{draining}})
		h.submit(2, h.longJob("k", 1))
		h.advance(tc.wait)
		h.answerPoll("a", PollReturned{Completions: []Completion{{Number: 1, Run: running[0].Run, Result: RunSucceeded}}, Running: []RunID{running[1].Run}})
		starts := take[Start](h)
		if (len(starts) == 1) != tc.starts {
			t.Errorf("%v after the target began to drain, the remaining task starts: %v, want %v", tc.wait, len(starts) == 1, tc.starts)
		}
		for _, st := range starts {
			if st.Run.Task.Job != "j" {
				t.Errorf("%v starts on a draining target", st.Run)
			}
		}
		if !tc.starts {
			var outcomes []Outcome
			for _, r := range take[Reply](h) {
				if r.Job == "j" {
					outcomes = append(outcomes, r.Outcome)
				}
			}
			if len(outcomes) != 1 || outcomes[0] != (Unknown{Reason: ReasonNoTarget}) {
				t.Errorf("the outcomes of the job are %v", outcomes)
			}
		}
	}
}

// Guards against tasks on targets that have been draining for long, which this instance
// has just got from another owner, or back.
func TestStartedJobDoesNotUseDrainingTargetOfAnotherOwner(t *testing.T) {
	draining := testTarget("b")
	draining.Draining = true
	leaving := testTarget("a")
	leaving.Draining = true
	for name, before := range map[string][]Target{"new": {testTarget("a")}, "got back": {testTarget("a"), testTarget("b")}} {
		h := newHarness(t, before...)
		long := h.longJob("j", 6)
		h.submit(1, long)
		running := h.startAll()
		h.send(TargetsChanged{Targets: []Target{testTarget("a")}})
		h.send(TargetsChanged{Targets: []Target{leaving, draining}})
		h.answerPoll("b", PollReturned{})
		h.advance(50 * time.Millisecond)
		for _, st := range take[Start](h) {
			if st.Target == "b" {
				t.Errorf("%s: %v starts on a target that was draining before (%d starts in all)", name, st.Run, len(running)+1)
			}
		}
	}
}
