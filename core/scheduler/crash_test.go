package scheduler

import (
	"slices"
	"testing"
	"time"
)

// loseConnection makes the poll in flight at a target fail with a lost connection,
// and lets the lease on its runs end.
func (h *harness) loseConnection(target string) {
	h.now = h.now.Add(200 * time.Millisecond)
	h.send(PollReturned{Target: target, ConnectionLost: true})
	for range 200 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.send(Tick{})
		for _, p := range take[Poll](h) {
			h.send(PollReturned{Target: p.Target, Sent: p.Sent, ConnectionLost: p.Target == target, Answered: p.Target != target, Incarnation: 1, ClockMS: h.now.UnixMilli()})
		}
	}
}

// Guards against crashes that cannot be told from partitions and planned stops in
// logs, and against tasks that a crash leaves out.
func TestCrashesAreReported(t *testing.T) {
	for name, tc := range map[string]struct {
		draining bool
		end      func(h *harness)
		want     []CrashState
	}{
		"restarted":              {false, func(h *harness) { h.answerPoll("a", PollReturned{Incarnation: 2}) }, []CrashState{CrashSuspected, CrashConfirmed}},
		"replaced":               {false, func(h *harness) { h.send(PollReturned{Target: "a", Answered: true, WrongTarget: true}) }, []CrashState{CrashSuspected, CrashConfirmed}},
		"removed from the list":  {false, func(h *harness) { h.send(TargetGone{Target: "a"}) }, []CrashState{CrashSuspected, CrashConfirmed}},
		"reachable again":        {false, func(h *harness) { h.answerPoll("a", PollReturned{}) }, []CrashState{CrashSuspected, CrashRefuted}},
		"draining, then removed": {true, func(h *harness) { h.send(TargetGone{Target: "a"}) }, nil},
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
			if tc.draining {
				draining := testTarget("a")
				draining.Draining = true
				h.send(TargetsChanged{Targets: []Target{draining, testTarget("b")}})
			}
			h.loseConnection("a")
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
