package scheduler

import (
	"testing"
	"time"
)

const testEvacuationStartTime = 500 * time.Millisecond

func zoneTarget(id, zone string) Target {
	t := testTarget(id)
	t.Zone = zone
	return t
}

func newEvacuationHarness(t *testing.T, targets ...Target) *harness {
	h := newHarness(t, targets...)
	h.s.cfg.EvacuationStartTime = testEvacuationStartTime
	return h
}

// Guards against a job that waits, or is answered as unknown, at an owner whose targets
// are all evacuated. It is refused at once, so that its sender tries another owner. What
// runs ends there.
func TestEvacuationRefusesWhatHasNotStarted(t *testing.T) {
	h := newEvacuationHarness(t, zoneTarget("a", "z"))
	h.submit(1, testJob("running", 2))
	h.submit(2, testJob("waiting", 1))
	starts := take[Start](h)
	for _, s := range starts {
		h.answerStart(s, StartAccepted)
	}
	h.send(ZonesEvacuated{Zones: []string{"z"}})
	if r := one[Reply](h); r.Job != "waiting" || r.Outcome != (Refused{Reason: ReasonNoTarget, RetryAfter: r.Outcome.(Refused).RetryAfter}) {
		t.Errorf("the outcome of %s is %v, want a refusal of waiting for lack of targets", r.Job, r.Outcome)
	}
	h.submit(3, testJob("new", 1))
	if r, ok := one[Reply](h).Outcome.(Refused); !ok || r.Reason != ReasonNoTarget {
		t.Errorf("the outcome of a new job is %v", r)
	}
	if st := h.s.Stats(); st.Usable != 0 || st.CPU != 0 || st.EvacuatedRunning != 2 || st.EvacuatedCPU != 64_000 {
		t.Errorf("the load report is %+v", st)
	}
	none[Stop](h)
	var ends []Completion
	for i, s := range starts {
		ends = append(ends, Completion{Number: int64(i + 1), Run: s.Run, Result: RunSucceeded})
	}
	h.answerPoll("a", PollReturned{Completions: ends})
	if r := one[Reply](h); r.Outcome != (Completed{}) {
		t.Errorf("the outcome of the running job is %v", r.Outcome)
	}
}

// Guards against jobs that are lost because some of their tasks had not started before
// the evacuation, and against starts later than EvacuationStartTime.
func TestStartedJobsMayFinishInAnEvacuatedZoneForAShortTime(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after time.Duration
		want  int
	}{{"in time", testEvacuationStartTime / 2, 1}, {"too late", testEvacuationStartTime, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newEvacuationHarness(t, zoneTarget("a", "z"))
			h.submit(1, testJob("j", 3))
			starts := take[Start](h)
			for _, s := range starts {
				h.answerStart(s, StartAccepted)
			}
			h.advance(10 * time.Millisecond)
			h.send(ZonesEvacuated{Zones: []string{"z"}})
			h.advance(tc.after)
			h.answerPoll("a", PollReturned{Completions: []Completion{{Number: 1, Run: starts[0].Run, Result: RunSucceeded}}, Running: []RunID{starts[1].Run}})
			if got := len(take[Start](h)); got != tc.want {
				t.Errorf("%d tasks have started, want %d", got, tc.want)
			}
			if replies := take[Reply](h); len(replies) != 1-tc.want {
				t.Errorf("the replies are %+v", replies)
			}
		})
	}
}

// Guards against starts in an evacuated zone by an instance that has just learned of an
// evacuation that began long ago: its jobs arrived later.
func TestLaterJobsDoNotFinishInAnEvacuatedZone(t *testing.T) {
	h := newEvacuationHarness(t, zoneTarget("a", "z"), zoneTarget("b", "y"))
	h.send(ZonesEvacuated{Zones: []string{"z"}})
	h.advance(10 * time.Millisecond)
	h.submit(1, testJob("j", 3))
	starts := take[Start](h)
	if len(starts) != 2 || starts[0].Target != "b" || starts[1].Target != "b" {
		t.Fatalf("the starts are %+v, want two on b", starts)
	}
	h.send(TargetsChanged{Targets: []Target{zoneTarget("a", "z")}})
	none[Start](h)
}

// Guards against new owners that start tasks in a zone whose evacuation was known before
// they got its targets, and against queued jobs of one owner that do not move to its
// targets in other zones.
func TestJobsMoveToOtherZonesOfTheirOwner(t *testing.T) {
	h := newEvacuationHarness(t)
	h.send(ZonesEvacuated{Zones: []string{"z"}})
	h.send(TargetsChanged{Targets: []Target{zoneTarget("a", "z"), zoneTarget("b", "y")}})
	for _, p := range take[Poll](h) {
		h.answerPoll(p.Target, PollReturned{})
	}
	h.submit(1, testJob("j", 2))
	for _, s := range take[Start](h) {
		if s.Target != "b" {
			t.Errorf("a task has started on %s", s.Target)
		}
	}
	h.send(ZonesEvacuated{Zones: []string{"y", "z"}})
	h.submit(2, testJob("k", 1))
	if r, ok := one[Reply](h).Outcome.(Refused); !ok || r.Reason != ReasonNoTarget {
		t.Errorf("with all zones evacuated, the outcome is %v", r)
	}
}

// Guards against starts on targets whose clocks were not read during an evacuation, or
// which have restarted meanwhile, and against polls of idle targets in evacuated zones.
func TestTargetsArePolledBeforeTheyGetWorkAgain(t *testing.T) {
	h := newEvacuationHarness(t, zoneTarget("a", "z"))
	h.send(ZonesEvacuated{Zones: []string{"z"}})
	h.advance(2 * clockRefresh)
	none[Poll](h)
	h.send(ZonesEvacuated{})
	none[Start](h)
	h.submit(1, testJob("early", 1))
	if r, ok := one[Reply](h).Outcome.(Refused); !ok || r.Reason != ReasonNoTarget {
		t.Errorf("before the poll, the outcome is %v", r)
	}
	h.answerPoll(one[Poll](h).Target, PollReturned{})
	h.submit(2, testJob("j", 1))
	one[Start](h)
}
