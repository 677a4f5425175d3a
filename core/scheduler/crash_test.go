package scheduler

import (
	"slices"
	"testing"
	"time"
)

// lossAfter is the time until loseConnections takes effect.
const lossAfter = 200 * time.Millisecond

// loseConnections makes the polls in flight at targets fail with a lost connection, and
// lets the lease on their runs end.
func (h *harness) loseConnections(targets ...string) {
	h.now = h.now.Add(lossAfter)
	for _, target := range targets {
		h.send(PollReturned{Target: target, ConnectionLost: true})
	}
	for range 200 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.send(Tick{})
		for _, p := range take[Poll](h) {
			lost := slices.Contains(targets, p.Target)
			h.send(PollReturned{Target: p.Target, Sent: p.Sent, ConnectionLost: lost, Answered: !lost, Incarnation: 1, ClockMS: h.now.UnixMilli()})
		}
	}
}

// startOne submits a job with one task and a distant deadline, and starts the task.
func (h *harness) startOne(id string) {
	h.submit(1, h.longJob(id, 1))
	h.startAll()
}

// Guards against crashes that cannot be told from partitions and planned stops in
// logs, and against tasks that a crash leaves out.
func TestCrashesAreReported(t *testing.T) {
	for name, tc := range map[string]struct {
		// drainingFor is how long the list has shown the target as draining, or 0.
		drainingFor time.Duration
		end         func(h *harness)
		want        []CrashState
	}{
		"restarted":              {0, func(h *harness) { h.answerPoll("a", PollReturned{Incarnation: 2}) }, []CrashState{CrashSuspected, CrashConfirmed}},
		"replaced":               {0, func(h *harness) { h.send(PollReturned{Target: "a", Answered: true, WrongTarget: true}) }, []CrashState{CrashSuspected, CrashConfirmed}},
		"removed from the list":  {0, func(h *harness) { h.send(TargetGone{Target: "a"}) }, []CrashState{CrashSuspected, CrashUnresolved}},
		"reachable again":        {0, func(h *harness) { h.answerPoll("a", PollReturned{}) }, []CrashState{CrashSuspected, CrashRefuted}},
		"draining, then removed": {minDrainTime, func(h *harness) { h.send(TargetGone{Target: "a"}) }, nil},
		"crashed as it drains":   {minDrainTime / 2, func(h *harness) { h.send(TargetGone{Target: "a"}) }, []CrashState{CrashSuspected, CrashUnresolved}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testTarget("a"))
			j := testJob("j", 2)
			j.Deadline = h.now.Add(time.Minute)
			h.submit(1, j)
			starts := take[Start](h)
			for _, st := range starts {
				h.answerStart(st, StartAccepted)
			}
			if tc.drainingFor > 0 {
				draining := testTarget("a")
				draining.Draining = true
				h.send(TargetsChanged{Targets: []Target{draining, testTarget("b")}})
				h.now = h.now.Add(tc.drainingFor - lossAfter)
			}
			h.loseConnections("a")
			h.send(PollReturned{Target: "a", ConnectionLost: true})
			h.advance(5 * time.Second)
			tc.end(h)
			var got []CrashState
			for _, found := range take[CrashFound](h) {
				c := found.Crash
				got = append(got, c.State)
				if c.Target != "a" || c.Incarnation != 1 || !slices.Equal(c.Tasks, []TaskID{{Job: "j", Index: 0}, {Job: "j", Index: 1}}) {
					t.Errorf("found %+v", c)
				}
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("the states of the crash are %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a crash that is not counted because the target crashed before it
// answered the start, and restarted before the start timed out.
func TestCrashBeforeTheAnswerToAStartCounts(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, h.longJob("j", 1))
	st := one[Start](h)
	h.answerPoll("a", PollReturned{Incarnation: 2})
	h.answerStart(st, StartUnanswered)
	found := one[CrashFound](h).Crash
	if found.State != CrashPossible || found.Incarnation != 1 || !slices.Equal(found.Tasks, []TaskID{st.Run.Task}) {
		t.Errorf("found %+v", found)
	}
}

// Guards against a planned stop that is taken for the reason of a later crash.
func TestCrashAfterDrainingWasCancelledCounts(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	draining := testTarget("a")
	draining.Draining = true
	h.send(TargetsChanged{Targets: []Target{draining}})
	h.advance(2 * minDrainTime)
	h.send(TargetsChanged{Targets: []Target{testTarget("a")}})
	h.startOne("j")
	h.answerPoll("a", PollReturned{Incarnation: 2})
	if found := one[CrashFound](h).Crash; found.State != CrashConfirmed {
		t.Errorf("found %+v", found)
	}
}

// Guards against a crash that is not counted because another owner took the target
// over before the lease on its runs had ended.
func TestCrashOfTargetThatIsTakenOverCounts(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.startOne("j")
	h.now = h.now.Add(lossAfter)
	h.send(PollReturned{Target: "a", ConnectionLost: true})
	h.now = h.now.Add(reconnectPause)
	h.send(Tick{})
	h.send(PollReturned{Target: "a", Answered: true, Fenced: true})
	h.advance(2 * testLease)
	if found := one[CrashFound](h).Crash; found.State != CrashSuspected {
		t.Errorf("found %+v", found)
	}
}

// Guards against polls without pause of a target that has crashed.
func TestCrashedTargetIsPolledWithPauses(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.startOne("j")
	polls := 0
	for range 1000 {
		for _, p := range take[Poll](h) {
			polls++
			h.send(PollReturned{Target: "a", Sent: p.Sent, ConnectionLost: true})
		}
		h.now = h.now.Add(time.Millisecond)
		h.send(Tick{})
	}
	if polls > 12 {
		t.Errorf("%d polls in a second", polls)
	}
}

// Guards against a job that fails because of one crash: its target restarts twice
// before the run on it is known to be over.
func TestRunIsLostWithOneIncarnationOnly(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, h.longJob("j", 1))
	st := one[Start](h)
	h.answerStart(st, StartUnanswered)
	h.answerPoll("a", PollReturned{Incarnation: 2})
	h.advance(10 * time.Millisecond)
	h.answerPoll("a", PollReturned{Incarnation: 3})
	if n := len(take[CrashFound](h)); n != 1 {
		t.Errorf("%d crashes are found, want 1", n)
	}
	none[Reply](h)
}

// Guards against a task that is started without end while it ends one machine after the
// other without a closed connection, and against calling its job failed, because the
// targets may be cut off.
func TestTaskWaitsAfterThreeSilentTargets(t *testing.T) {
	targets := []Target{testTarget("a"), testTarget("b"), testTarget("c"), testTarget("d")}
	h := newHarness(t, targets...)
	h.submit(1, h.longJob("j", 1))
	silent := map[string]bool{}
	for range 3000 {
		for _, st := range h.startAll() {
			silent[st.Target] = true
		}
		h.now = h.now.Add(10 * time.Millisecond)
		h.send(Tick{})
		for _, p := range take[Poll](h) {
			h.send(PollReturned{Target: p.Target, Sent: p.Sent, Answered: !silent[p.Target], Incarnation: 1, ClockMS: h.now.UnixMilli()})
		}
	}
	if len(silent) != maxLosses {
		t.Errorf("the task starts on %d silent targets, want %d", len(silent), maxLosses)
	}
	none[CrashFound](h)
	none[Reply](h)
	for target := range silent {
		h.send(TargetGone{Target: target})
	}
	if o := one[Reply](h).Outcome; o != (Unknown{Reason: ReasonTargetLost}) {
		t.Errorf("the outcome is %#v, want unknown (target_lost)", o)
	}
}

// Guards against a start of a suspect task before the loss is in the store: with its
// owner, the crash would be forgotten, and the next one too.
func TestSuspectTaskStartsOnceItsLossIsRecorded(t *testing.T) {
	for name, tc := range map[string]struct {
		recorded bool
		within   time.Duration
	}{"recorded": {true, 10 * time.Millisecond}, "store down": {false, recordTimeout + 10*time.Millisecond}} {
		targets := []Target{testTarget("a"), testTarget("b")}
		h := newHarness(t, targets...)
		h.keepCrashes = true
		h.startOne("j")
		h.restart("a", 2, targets...)
		found := one[CrashFound](h)
		none[Start](h)
		if tc.recorded {
			h.send(CrashRecorded(found))
		}
		h.advance(tc.within)
		if n := len(take[Start](h)); n != 1 {
			t.Errorf("%s: %d starts within %v, want 1", name, n, tc.within)
		}
	}
}

// Guards against a task that crashes target after target, because each of its runs takes
// longer than the crash before it is remembered.
func TestCrashesOfLongRunsCount(t *testing.T) {
	h := newHarness(t, testTarget("a"), testTarget("b"), testTarget("c"))
	j := testJob("j", 1)
	j.Stretch, j.Deadline = 1000, h.now.Add(10*time.Minute)
	j.Steps[0].Estimate = 4 * time.Minute
	h.submit(1, j)
	task := TaskID{Job: "j"}
	for i, target := range []string{"a", "b"} {
		h.advance(time.Duration(i) * 4 * time.Minute)
		h.send(CrashReported{Crash: Crash{Target: target, Incarnation: 1, State: CrashConfirmed, Tasks: []TaskID{task}}})
	}
	if _, failed := one[Reply](h).Outcome.(Failed); !failed {
		t.Error("a job goes on after two targets have crashed under its task, four minutes apart")
	}
}
