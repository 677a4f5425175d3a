package scheduler

import (
	"testing"
	"time"
)

// Guards against refusing a job for the time that it lost on its way, for
// example with an owner that fell silent, although a target is free.
func TestLateJobStartsWhereATargetIsFree(t *testing.T) {
	b := newBench(t, testTarget("a"))
	j := testJob("j", 1)
	j.Arrived, j.Deadline = b.now.Add(-250*time.Millisecond), b.now.Add(1200*time.Millisecond)
	b.send(Submit{Request: 1, Job: j})
	if len(take[Start](b)) != 1 {
		t.Errorf("the job is not started: %+v", b.out)
	}
}

// Guards against a job of which a part has run that waits until its deadline
// because its targets are passed on to another instance: the rest of its tasks
// still starts there, and no other job's do.
func TestReleasedTargetEndsWhatHasStarted(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 3))
	starts := take[Start](b)
	if len(starts) != 2 {
		t.Fatalf("%d starts", len(starts))
	}
	releasing := testTarget("a")
	releasing.Releasing = true
	b.send(TargetsChanged{Targets: []Target{releasing}})
	b.submit(2, testJob("k", 1))
	for _, s := range starts {
		b.started(s, StartAccepted)
	}
	b.wait(20 * time.Millisecond)
	b.look("a", PollReturned{Completions: []Completion{{Number: 1, Run: starts[0].Run, Result: RunSucceeded}}, Running: []RunID{starts[1].Run}})
	if next := take[Start](b); len(next) != 1 || next[0].Run.Task.Job != "j" {
		t.Errorf("started on the target that is passed on: %+v, want the rest of j", next)
	}
}

// Guards against jobs that wait for targets which leave, or which this instance
// has no more.
func TestJobsWithoutTargetsAreAnsweredAtOnce(t *testing.T) {
	leaving := testTarget("a")
	leaving.Draining = true
	t.Run("another instance's", func(t *testing.T) { testStranded(t, nil) })
	t.Run("leaving", func(t *testing.T) { testStranded(t, []Target{leaving}) })
}

func testStranded(t *testing.T, left []Target) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("started", 3))
	b.submit(2, testJob("waiting", 1))
	for _, s := range take[Start](b) {
		b.started(s, StartAccepted)
	}
	b.send(TargetsChanged{Targets: left})
	got := map[string]Outcome{}
	for _, r := range take[Reply](b) {
		got[r.Job] = r.Outcome
	}
	if o, ok := got["started"].(Unknown); !ok || o.Reason != ReasonNoTarget {
		t.Errorf("the job that has started is answered %v", got["started"])
	}
	if o, ok := got["waiting"].(Refused); !ok || o.Reason != ReasonNoTarget {
		t.Errorf("the job that waits is answered %v", got["waiting"])
	}
}

// Guards against an instance that decides over and over without an event: that
// takes the processor from the jobs that wait.
func TestWakesLieAhead(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("running", 2))
	for _, s := range take[Start](b) {
		b.started(s, StartAccepted)
	}
	waiting := testJob("waiting", 1)
	waiting.Stretch = 4
	b.submit(2, waiting)
	for range 200 {
		b.now = b.now.Add(5 * time.Millisecond)
		b.send(Tick{})
		if next := b.s.NextWake(); !next.IsZero() && !next.After(b.now) {
			t.Fatalf("%v after its arrival the job asks for a decision at %v", b.now.Sub(time.Unix(1000, 0)), next.Sub(b.now))
		}
	}
}

// Guards against an instance that starts its jobs again after it was suspended,
// while their callers have sent them to another one.
func TestResumedInstanceStartsNothingAgain(t *testing.T) {
	b := newBench(t, testTarget("a"), testTarget("b"))
	long := testJob("j", 5)
	long.Stretch, long.Deadline = 20, b.now.Add(20*time.Second)
	b.submit(1, long)
	for _, s := range take[Start](b) {
		b.started(s, StartAccepted)
	}
	b.submit(2, testJob("k", 1))
	b.now = b.now.Add(testLease + 200*time.Millisecond)
	b.send(Tick{})
	got := map[string]Outcome{}
	for _, r := range take[Reply](b) {
		got[r.Job] = r.Outcome
	}
	if o, ok := got["j"].(Unknown); !ok || o.Reason != ReasonOwnerLost {
		t.Errorf("the job that ran is answered %v", got["j"])
	}
	if _, ok := got["k"].(Refused); !ok {
		t.Errorf("the job that waited is answered %v", got["k"])
	}
	if starts := take[Start](b); len(starts) > 0 {
		t.Errorf("started after the suspension: %+v", starts)
	}
}

// Guards against a job that waits long and is taken for one of a suspended
// instance.
func TestWaitingIsNoSuspension(t *testing.T) {
	b := newBench(t, testTarget("a"))
	first := testJob("running", 2)
	first.Stretch, first.Deadline = 50, b.now.Add(30*time.Second)
	b.submit(1, first)
	take[Start](b)
	for end := b.now.Add(5 * time.Second); b.now.Before(end); {
		next := b.s.NextWake()
		if next.IsZero() || next.Sub(b.now) > testLease {
			t.Fatalf("the next decision is %v away", next.Sub(b.now))
		}
		b.now = next.Add(time.Millisecond)
		b.send(Tick{})
	}
}
