package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// longJob returns a job with tasks whose deadline is a minute away.
func (h *harness) longJob(id string, tasks int) Job {
	j := testJob(id, tasks)
	j.Deadline = h.now.Add(time.Minute)
	return j
}

// startAll answers all starts as accepted and returns them.
func (h *harness) startAll() []Start {
	starts := take[Start](h)
	for _, st := range starts {
		h.answerStart(st, StartAccepted)
	}
	return starts
}

// restart reports that a target runs nothing in a new incarnation.
func (h *harness) restart(target string, incarnation int64, all ...Target) {
	h.advance(10 * time.Millisecond)
	h.answerPoll(target, PollReturned{Incarnation: incarnation})
	for i := range all {
		if all[i].ID == target {
			all[i].Incarnation = incarnation
		}
	}
	h.send(TargetsChanged{Targets: all})
	h.answerPoll(target, PollReturned{Incarnation: incarnation})
}

// Guards against a task that crashes one target after the other, each time together
// with the work beside it.
func TestSecondCrashUnderTaskFailsJob(t *testing.T) {
	targets := []Target{testTarget("a"), testTarget("b")}
	h := newHarness(t, targets...)
	h.submit(1, h.longJob("j", 1))
	first := h.startAll()[0]
	h.restart(first.Target, 2, targets...)
	second := h.startAll()[0]
	h.restart(second.Target, 3, targets...)
	if o := one[Reply](h).Outcome; o != crashFailure {
		t.Errorf("the outcome is %#v, want %#v", o, crashFailure)
	}
	none[Start](h)
	h.submit(2, h.longJob("j", 1))
	if o := one[Reply](h).Outcome; o != crashFailure {
		t.Errorf("the outcome of the job when it is sent again is %#v, want %#v", o, crashFailure)
	}
	none[Start](h)
}

// Guards against a crash that takes along the work beside a task under which a target
// has crashed before, and against giving up the tasks that ran beside the cause.
func TestSuspectTasksRunAlone(t *testing.T) {
	targets := []Target{testTarget("a"), testTarget("b")}
	h := newHarness(t, targets...)
	h.submit(1, h.longJob("j", 1))
	h.submit(2, h.longJob("k", 1))
	starts := h.startAll()
	if starts[0].Target != starts[1].Target {
		t.Fatalf("the jobs start on two targets: %+v", starts)
	}
	h.restart(starts[0].Target, 2, targets...)
	retried := h.startAll()
	if len(retried) != 1 {
		t.Fatalf("suspect tasks start together: %+v", retried)
	}
	h.submit(3, h.longJob("l", 3))
	for _, st := range h.startAll() {
		if st.Target == retried[0].Target {
			t.Errorf("%v starts beside the suspect %v", st.Run, retried[0].Run)
		}
	}
	h.answerPoll(retried[0].Target, PollReturned{
		Incarnation: h.s.targets[retried[0].Target].incarnation, Completions: []Completion{{Number: 1, Run: retried[0].Run, Result: RunSucceeded}},
	})
	if r := one[Reply](h); r.Outcome != (Completed{}) {
		t.Errorf("the outcome of a job beside the cause is %#v", r.Outcome)
	}
}

// Guards against a third start of a task while two crashes under it are only
// suspected, and against giving up a task whose targets were cut off and ran on.
func TestTaskWaitsForWordOfSuspectedCrashes(t *testing.T) {
	for _, state := range []CrashState{CrashConfirmed, CrashRefuted} {
		h := newHarness(t, testTarget("a"))
		h.submit(1, h.longJob("j", 2))
		task := TaskID{Job: "j"}
		starts := h.startAll()
		for _, target := range []string{"x", "y"} {
			h.send(CrashReported{Crash{Target: target, Incarnation: 5, State: CrashSuspected, Tasks: []TaskID{task}}})
		}
		h.answerPoll("a", PollReturned{Completions: []Completion{
			{Number: 1, Run: starts[0].Run, Result: RunLeaseExpired}, {Number: 2, Run: starts[1].Run, Result: RunSucceeded},
		}})
		h.advance(5 * time.Second)
		none[Start](h)
		h.send(CrashReported{Crash{Target: "x", Incarnation: 5, State: state, Tasks: []TaskID{task}}})
		h.send(CrashReported{Crash{Target: "y", Incarnation: 5, State: state, Tasks: []TaskID{task}}})
		if state == CrashRefuted {
			one[Start](h)
			continue
		}
		if o := one[Reply](h).Outcome; o != crashFailure {
			t.Errorf("the outcome is %#v, want %#v", o, crashFailure)
		}
	}
}

// Guards against counting the crashes under a task from zero when its job is sent
// again to another owner.
func TestCrashesFoundByOtherOwnersCount(t *testing.T) {
	task := TaskID{Job: "j"}
	crash := func(target string, state CrashState) CrashReported {
		return CrashReported{Crash{Target: target, Incarnation: 5, State: state, Tasks: []TaskID{task}}}
	}
	for name, tc := range map[string]struct {
		reports []Event
		want    Outcome
	}{
		"two confirmed":         {[]Event{crash("x", CrashConfirmed), crash("y", CrashConfirmed)}, crashFailure},
		"one reported twice":    {[]Event{crash("x", CrashConfirmed), crash("x", CrashSuspected), crash("x", CrashConfirmed)}, nil},
		"two suspected":         {[]Event{crash("x", CrashSuspected), crash("y", CrashSuspected)}, Unknown{Reason: ReasonTargetLost}},
		"one of two refuted":    {[]Event{crash("x", CrashConfirmed), crash("y", CrashSuspected), crash("y", CrashRefuted)}, nil},
		"cut off from the list": {[]Event{crash("x", CrashSuspected), crash("y", CrashSuspected), TargetGone{"x"}, TargetGone{"y"}}, nil},
		"three targets cut off": {
			[]Event{crash("x", CrashSuspected), crash("y", CrashSuspected), crash("z", CrashSuspected), TargetGone{"x"}, TargetGone{"y"}, TargetGone{"z"}},
			Unknown{Reason: ReasonTargetLost},
		},
		"refuted after the fact": {[]Event{crash("x", CrashRefuted), crash("x", CrashSuspected)}, nil},
	} {
		h := newHarness(t, testTarget("a"))
		for _, ev := range tc.reports {
			h.send(ev)
		}
		h.submit(1, h.longJob("j", 1))
		var got Outcome
		for _, r := range take[Reply](h) {
			got = r.Outcome
		}
		if got != tc.want || (tc.want == nil) != (len(take[Start](h)) == 1) {
			t.Errorf("%s: the outcome is %#v, want %#v and a start only without one", name, got, tc.want)
		}
	}
}

// Guards against a report of another instance that ends this one.
func TestReportsOfUnknownTasksAreHarmless(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, h.longJob("j", 1))
	h.startAll()
	for _, id := range []TaskID{{Job: "j", Step: -1}, {Job: "j", Index: -1}, {Job: "j", Step: 1}, {Job: "j", Index: 1}, {}} {
		for _, state := range []CrashState{CrashConfirmed, CrashRefuted, CrashRefuted} {
			h.send(CrashReported{Crash{Target: "a", Incarnation: 1, State: state, Tasks: []TaskID{id}}})
		}
	}
	none[Reply](h)
}

// Guards against the growth of the record, and against a task that stays suspect.
func TestOldCrashesAreForgotten(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.send(CrashReported{Crash{Target: "x", Incarnation: 5, State: CrashConfirmed, Tasks: []TaskID{{Job: "j"}, {Job: "k"}}}})
	h.now = h.now.Add(crashRetention + time.Second)
	h.send(Tick{})
	if l := h.s.crashLog; len(l.tasks)+len(l.jobs)+len(l.incarnations)+len(l.reports) != 0 {
		t.Errorf("%+v is kept after %v", l, crashRetention)
	}
}

// Guards against suspecting the tasks of a target that was only silent.
func TestSilentTargetIsNotSuspected(t *testing.T) {
	h := newHarness(t, testTarget("a"), testTarget("b"))
	h.submit(1, h.longJob("j", 1))
	h.submit(2, h.longJob("k", 1))
	silent := h.startAll()[0].Target
	for range 800 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.send(Tick{})
		for _, p := range take[Poll](h) {
			h.send(PollReturned{Target: p.Target, Sent: p.Sent, Answered: p.Target != silent, Incarnation: 1, ClockMS: h.now.UnixMilli()})
		}
	}
	none[CrashFound](h)
	if again := h.startAll(); len(again) != 2 {
		t.Errorf("%d tasks start again together, want 2", len(again))
	}
}

// Guards against a job of a queue whose tasks crash their targets that holds its caller
// until the deadline, and crashes another target, although its answer can no longer be
// of use; and against giving up any other job because its target was lost once.
func TestJobIsGivenUpWhenNoStartOfItsSuspectIsOfUse(t *testing.T) {
	for _, contained := range []bool{true, false} {
		h := newHarness(t, manyTargets(8)...)
		lost := map[string]bool{}
		if contained {
			h.submit(2, h.longJob("k", 4))
			for _, st := range h.startAll() {
				lost[st.Target] = true
			}
		}
		h.submit(1, testJob("j", 1))
		st := h.startAll()[0]
		lost[st.Target] = true
		h.loseConnections(slices.Collect(maps.Keys(lost))...)
		if !contained {
			if again := take[Start](h); len(again) != 1 || again[0].Run.Task != st.Run.Task {
				t.Errorf("after the loss of a target: %+v, want another start", again)
			}
			continue
		}
		for _, again := range take[Start](h) {
			if again.Run.Task.Job == "j" {
				t.Errorf("%v starts", again.Run)
			}
		}
		r := one[Reply](h)
		if r.Outcome != (Unknown{Reason: ReasonTargetLost}) || r.Summary.Age > h.s.lossDelay()+50*time.Millisecond {
			t.Errorf("the outcome is %#v after %v", r.Outcome, r.Summary.Age)
		}
	}
}

// Guards against a suspect task that waits without end while new jobs fill every
// target.
func TestTargetIsKeptFreeForSuspectTask(t *testing.T) {
	h := newHarness(t, testTarget("a"), testTarget("b"))
	suspect := TaskID{Job: "j"}
	h.submit(1, h.longJob("k", 4))
	running := h.startAll()
	if len(running) != 4 {
		t.Fatalf("%d tasks start, want 4", len(running))
	}
	h.send(CrashReported{Crash{Target: "x", Incarnation: 5, State: CrashConfirmed, Tasks: []TaskID{suspect}}})
	j := h.longJob("j", 1)
	j.Stretch = 50
	h.submit(2, j)
	l := h.longJob("l", 4)
	l.Stretch = 60
	h.submit(3, l)
	for i, target := range []string{"a", "b"} {
		var done []Completion
		for n, st := range slices.DeleteFunc(slices.Clone(running), func(st Start) bool { return st.Target != target }) {
			done = append(done, Completion{Number: int64(n + 1), Run: st.Run, Result: RunSucceeded})
		}
		h.answerPoll(target, PollReturned{Completions: done[:1], Running: []RunID{done[1].Run}})
		if i == 0 {
			h.answerPoll(target, PollReturned{Completions: done})
		}
	}
	var started []TaskID
	for _, st := range h.startAll() {
		started = append(started, st.Run.Task)
	}
	if !slices.Contains(started, suspect) {
		t.Errorf("the suspect task does not start; started are %v", started)
	}
}

// Guards against tasks that run one after the other because many targets were lost at
// once, for example with their rack.
func TestTasksOfTargetsLostTogetherAreNotIsolated(t *testing.T) {
	targets := manyTargets(12)
	h := newHarness(t, targets...)
	for i := range 8 {
		h.submit(RequestID(i+1), h.longJob(fmt.Sprint("j", i), 1))
	}
	lost := map[string]bool{}
	for _, st := range h.startAll() {
		lost[st.Target] = true
	}
	if len(lost) < minCommonLosses {
		t.Fatalf("tasks run on %d targets", len(lost))
	}
	h.now = h.now.Add(lossAfter)
	for target := range lost {
		h.send(PollReturned{Target: target, ConnectionLost: true})
	}
	again := map[TaskID]bool{}
	for range 40 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.send(Tick{})
		for _, p := range take[Poll](h) {
			h.send(PollReturned{
				Target: p.Target, Sent: p.Sent, ConnectionLost: lost[p.Target], Answered: !lost[p.Target], Incarnation: 1,
				ClockMS: h.now.UnixMilli(), Running: slices.Collect(maps.Keys(h.s.targets[p.Target].runs)),
			})
		}
		for _, st := range h.startAll() {
			again[st.Run.Task] = true
		}
	}
	if len(again) != 8 {
		t.Errorf("%d of 8 tasks have started again", len(again))
	}
}
