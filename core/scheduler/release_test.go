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
	b.look("a", LookEnded{Ends: []End{{Number: 1, Run: starts[0].Run, How: EndDone}}, Running: []RunID{starts[1].Run}})
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
