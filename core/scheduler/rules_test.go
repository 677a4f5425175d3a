package scheduler

import (
	"testing"
	"time"

	"marigoldfront.dev/core/forecast"
)

func (b *bench) stopped(a Stop, answered bool) {
	b.now = b.now.Add(time.Millisecond)
	b.send(StopReturned{Run: a.Run, Target: a.Target, Answered: answered})
}

// An unanswered start may be carried out later. Guards against a second run of
// the task beside it: the task starts again only after the stop was answered
// and a later look shows no run.
func TestUnansweredStartIsStoppedFirst(t *testing.T) {
	b := newBench(t, testTarget("a"), testTarget("b"))
	b.submit(1, testJob("j", 1))
	st := one[Start](b)
	take[Poll](b)
	b.started(st, StartUnanswered)
	stop := one[Stop](b)
	none[Start](b)
	b.stopped(stop, true)
	none[Start](b)
	// The look from before the answer proves nothing.
	b.look(st.Target, PollReturned{Sent: b.now.Add(-time.Second)})
	none[Start](b)
	one[Poll](b)
	b.look(st.Target, PollReturned{})
	again := one[Start](b)
	if again.Run.Attempt <= st.Run.Attempt {
		t.Errorf("run %v follows %v", again.Run, st.Run)
	}
}

// Guards against a false "not run": a job whose start was not answered has no
// known fate, one whose starts were all refused has certainly not run.
func TestRefusedMeansNotRun(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 1))
	b.started(one[Start](b), StartUnanswered)
	b.wait(2 * time.Second)
	o := one[Reply](b).Outcome
	if _, ok := o.(Unknown); !ok {
		t.Errorf("an unanswered start ends in %#v", o)
	}

	b = newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 1))
	for b.now.Before(time.Unix(1002, 0)) {
		for _, st := range take[Start](b) {
			b.started(st, StartUnhealthy)
		}
		b.wait(10 * time.Millisecond)
	}
	o = one[Reply](b).Outcome
	if _, ok := o.(Refused); !ok {
		t.Errorf("refused starts end in %#v", o)
	}
}

// Guards against a task that runs on two targets after this instance has lost
// one of them: until the last lease given there has ended, it starts nowhere.
func TestFencedRunKeepsItsTaskUntilTheLeaseEnds(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 1))
	st := one[Start](b)
	b.started(st, StartAccepted)
	sent := b.now
	l := one[Poll](b)
	b.send(TargetsChanged{Targets: []Target{testTarget("a"), testTarget("b")}})
	b.now = b.now.Add(10 * time.Millisecond)
	b.send(PollReturned{Target: "a", Sent: l.Sent, Answered: true, Fenced: true})
	if lost := one[TargetLost](b); lost.Fence != 7 {
		t.Errorf("lost %+v", lost)
	}
	for _, l := range take[Poll](b) {
		b.look(l.Target, PollReturned{})
	}
	b.wait(sent.Add(testLease).Sub(b.now))
	none[Start](b)
	b.wait(200 * time.Millisecond)
	if again := one[Start](b); again.Target != "b" {
		t.Errorf("started again on %s", again.Target)
	}
}

// Guards against tasks that stay on a target without contact for good, and
// against their second run while the first may still hold its lease.
func TestLostContactEndsWithTheLease(t *testing.T) {
	b := newBench(t, testTarget("a"))
	j := testJob("j", 1)
	j.Deadline = b.now.Add(5 * time.Second)
	b.submit(1, j)
	b.started(one[Start](b), StartAccepted)
	l := one[Poll](b)
	b.send(TargetsChanged{Targets: []Target{testTarget("a"), testTarget("b")}})
	one[Poll](b)
	b.look("b", PollReturned{})
	b.now = l.Sent.Add(500 * time.Millisecond)
	b.send(PollReturned{Target: "a", Sent: l.Sent})
	// The next look may extend the lease again, so that its time counts.
	l = one[Poll](b)
	b.now = l.Sent.Add(testLease)
	b.send(Tick{})
	none[Start](b)
	b.wait(150 * time.Millisecond)
	if again := one[Start](b); again.Target != "b" {
		t.Errorf("started again on %s", again.Target)
	}
}

// Guards against work on leaving targets.
func TestDrainingTargetGetsNoStart(t *testing.T) {
	leaving := testTarget("a")
	leaving.Draining = true
	b := newBench(t, leaving, testTarget("b"))
	b.submit(1, testJob("j", 2))
	for _, st := range take[Start](b) {
		if st.Target != "b" {
			t.Errorf("a start on %s", st.Target)
		}
	}
}

// Runs of an earlier owner are stopped before the target is used, and its lease
// is not extended meanwhile: their jobs may already run elsewhere.
func TestForeignRunsAreStoppedFirst(t *testing.T) {
	b := &bench{t: t, now: time.Unix(1000, 0), s: New(Config{Lease: testLease, MaxClockDrift: 0.02})}
	b.send(TargetsChanged{Targets: []Target{testTarget("a")}})
	if l := one[Poll](b); l.LeaseMS != 0 {
		t.Errorf("the first look extends the lease: %+v", l)
	}
	foreign := RunID{Task: TaskID{Job: "old"}, Attempt: 3}
	b.look("a", PollReturned{Running: []RunID{foreign}})
	stop := one[Stop](b)
	if stop.Run != foreign {
		t.Errorf("stopped %v", stop.Run)
	}
	if l := one[Poll](b); l.LeaseMS != 0 {
		t.Errorf("a look extends the lease of a foreign run: %+v", l)
	}
	b.submit(1, testJob("j", 1))
	none[Start](b)
	if r, ok := one[Reply](b).Outcome.(Refused); !ok || r.Reason != ReasonNoTarget {
		t.Errorf("the answer is %#v", r)
	}
	b.stopped(stop, true)
	b.look("a", PollReturned{Completions: []Completion{{Number: 1, Run: foreign, Result: RunStopped}}})
	b.submit(2, testJob("j", 1))
	one[Start](b)
}

// Guards against a start that waits for tasks that died with their target.
func TestRebornTargetRunsNothing(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 1))
	st := one[Start](b)
	b.started(st, StartAccepted)
	one[Poll](b)
	b.wait(10 * time.Millisecond)
	b.look("a", PollReturned{Incarnation: 2})
	if again := one[Start](b); again.Run.Attempt != st.Run.Attempt+1 {
		t.Errorf("started again as %v", again.Run)
	}
}

// Guards against a second run of a task whose start has reached the new life of
// a target before this instance knew of it.
func TestStartInTheNewLifeCounts(t *testing.T) {
	b := newBench(t, testTarget("a"), testTarget("b"))
	b.submit(1, testJob("j", 1))
	st := one[Start](b)
	one[Poll](b)
	b.started(st, StartAccepted)
	b.look(st.Target, PollReturned{Incarnation: 2, Running: []RunID{st.Run}})
	none[Start](b)
	none[Stop](b)
	b.look(st.Target, PollReturned{Incarnation: 2, Completions: []Completion{{Number: 1, Run: st.Run, Result: RunSucceeded}}})
	o := one[Reply](b).Outcome
	if _, ok := o.(Completed); !ok {
		t.Errorf("the answer is %#v", o)
	}
}

// Guards against room that is given away while a stopped run still takes it.
func TestStoppedRunKeepsItsRoom(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 2))
	starts := take[Start](b)
	for _, st := range starts {
		b.started(st, StartAccepted)
	}
	one[Poll](b)
	b.send(Withdraw{Request: 1})
	stops := take[Stop](b)
	if len(stops) != 2 {
		t.Fatalf("%d stops", len(stops))
	}
	b.submit(2, testJob("k", 1))
	b.stopped(stops[0], true)
	none[Start](b)
	b.look("a", PollReturned{
		Running: []RunID{starts[1].Run}, Completions: []Completion{{Number: 1, Run: stops[0].Run, Result: RunStopped}},
	})
	one[Start](b)
}

// A task fails as often as its queue allows, then the job has failed.
func TestAttemptsAreBounded(t *testing.T) {
	b := newBench(t, testTarget("a"), testTarget("b"))
	b.submit(1, testJob("j", 1))
	first := one[Start](b)
	b.started(first, StartAccepted)
	take[Poll](b)
	b.look(first.Target, PollReturned{Completions: []Completion{{Number: 1, Run: first.Run, Result: RunFailed}}})
	second := one[Start](b)
	if second.Target == first.Target {
		t.Errorf("both attempts on %s", first.Target)
	}
	b.started(second, StartAccepted)
	take[Poll](b)
	b.look(second.Target, PollReturned{Completions: []Completion{{Number: 1, Run: second.Run, Result: RunFailed}}})
	if r, ok := one[Reply](b).Outcome.(Failed); !ok {
		t.Errorf("the answer is %#v", r)
	}
}

// A job that arrives again while it runs gets the one answer.
func TestKnownJobIsJoined(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 1))
	st := one[Start](b)
	b.submit(2, testJob("j", 1))
	none[Start](b)
	b.send(Withdraw{Request: 1})
	none[Stop](b)
	b.started(st, StartAccepted)
	b.look("a", PollReturned{Completions: []Completion{{Number: 1, Run: st.Run, Result: RunSucceeded}}})
	if r := one[Reply](b); len(r.Requests) != 1 || r.Requests[0] != 2 {
		t.Errorf("answered %+v", r)
	}
}

// Long tasks go to fast targets, or wait for one: on a slow one they miss their
// deadline although it is free.
func TestLongTaskWaitsForFastTarget(t *testing.T) {
	b := newBench(t, testTarget("fast"), testTarget("slow"))
	for range 50 {
		b.s.model.Learn("q", 200*time.Millisecond, []forecast.Sample{{Target: "fast", RunTime: 200 * time.Millisecond}})
		b.s.model.Learn("q", 200*time.Millisecond, []forecast.Sample{{Target: "slow", RunTime: 500 * time.Millisecond}})
	}
	short := testJob("short", 2)
	short.Steps[0].Estimate = 60 * time.Millisecond
	short.Stretch = 4
	b.submit(1, short)
	for _, st := range take[Start](b) {
		if st.Target != "slow" {
			t.Errorf("a short task on %s", st.Target)
		}
	}
	long := testJob("long", 2)
	long.Queue, long.Steps[0].Estimate = "other", 700*time.Millisecond
	b.submit(2, long)
	if n := len(take[Start](b)); n != 2 {
		t.Fatalf("%d starts of the long job", n)
	}
	next := testJob("next", 1)
	next.Queue, next.Steps[0].Estimate = "other", 700*time.Millisecond
	b.submit(3, next)
	none[Start](b)
}

// An owner that is asked to start a job at once declines rather than queue it.
func TestOnlyNowIsDeclinedWhereNothingIsFree(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 2))
	take[Start](b)
	k := testJob("k", 1)
	k.MustStartNow = true
	b.submit(2, k)
	if r, ok := one[Reply](b).Outcome.(Refused); !ok || r.Reason != ReasonBusy {
		t.Errorf("the answer is %#v", r)
	}
}

// Guards against a task that never ends because it is stopped for taking longer
// than its wrong estimate, each time anew.
func TestWrongEstimateIsNotStoppedForGood(t *testing.T) {
	b := newBench(t, testTarget("a"), testTarget("b"))
	j := testJob("j", 1)
	j.Deadline = b.now.Add(20 * time.Second)
	b.submit(1, j)
	const took = 3 * time.Second
	for range 4 {
		st := one[Start](b)
		b.started(st, StartAccepted)
		take[Poll](b)
		begun := b.now
		for len(take[Stop](b)) == 0 {
			if b.now.Sub(begun) > took {
				return
			}
			b.wait(10 * time.Millisecond)
			for range take[Poll](b) {
				b.look(st.Target, PollReturned{Running: []RunID{st.Run}})
			}
		}
		b.stopped(Stop{Run: st.Run, Target: st.Target}, true)
		b.look(st.Target, PollReturned{Completions: []Completion{{Number: int64(st.Run.Attempt), Run: st.Run, Result: RunStopped}}})
	}
	t.Errorf("a task of %v was stopped four times", took)
}

// Guards against targets that stand idle because one order in ten is lost: an
// answer to any later order shows that they serve.
func TestOneLostAnswerKeepsTheTarget(t *testing.T) {
	b := newBench(t, testTarget("a"))
	b.submit(1, testJob("j", 1))
	st := one[Start](b)
	b.started(st, StartUnanswered)
	b.stopped(one[Stop](b), true)
	b.submit(2, testJob("k", 1))
	if next := one[Start](b); next.Run.Task.Job != "k" {
		t.Errorf("started %v", next.Run)
	}
}
