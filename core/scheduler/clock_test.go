package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// idleTargetHarness drives a Scheduler whose only target has a steady clock of the
// given rate and answers every poll at once.
type idleTargetHarness struct {
	*harness
	rate float64
	born time.Time
	// polls counts the polls that were answered.
	polls int
}

func newIdleTargetHarness(t *testing.T, rate float64) *idleTargetHarness {
	h := &idleTargetHarness{harness: newHarness(t), rate: rate}
	h.born = h.now.Add(-time.Hour)
	h.send(TargetsChanged{Targets: []Target{testTarget("a")}})
	h.answerPolls()
	return h
}

func (h *idleTargetHarness) clockMS() int64 {
	return int64(float64(h.now.Sub(h.born).Milliseconds()) * h.rate)
}

func (h *idleTargetHarness) answerPolls() {
	for _, p := range take[Poll](h.harness) {
		h.polls++
		h.send(PollReturned{Target: p.Target, Sent: p.Sent, Answered: true, Incarnation: 1, ClockMS: h.clockMS()})
	}
}

func (h *idleTargetHarness) idle(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		if next := h.s.NextWake(); !next.IsZero() && !next.After(h.now) {
			h.send(Tick{})
		}
		h.answerPolls()
	}
}

// Guards against a lease that is too long on a target with a slow clock: a start that
// was held in the network is then carried out, and its run goes on, after its task
// has been released and started on another target.
func TestLeaseAfterIdleTimeCoversSlowClocks(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 40 * time.Second, 10 * time.Minute} {
		t.Run(fmt.Sprint(idle), func(t *testing.T) {
			h := newIdleTargetHarness(t, 0.98)
			h.idle(idle)
			h.submit(1, testJob("j", 1))
			for _, leaseMS := range []int64{one[Start](h.harness).LeaseMS, one[Poll](h.harness).LeaseMS} {
				if left := leaseMS - h.clockMS(); left > testLease.Milliseconds() {
					t.Errorf("the lease ends in %d ms of the target's clock, want at most %v", left, testLease)
				}
			}
		})
	}
}

// Guards against starts that targets refuse because the estimate of their clock is
// too far behind, and against leases that end before they are renewed.
func TestLeaseAfterIdleTimeIsLongEnough(t *testing.T) {
	h := newIdleTargetHarness(t, 1)
	h.idle(10 * time.Minute)
	h.submit(1, testJob("j", 1))
	left := time.Duration(one[Start](h.harness).LeaseMS-h.clockMS()) * time.Millisecond
	if minLeft := pollWait + 250*time.Millisecond; left < minLeft {
		t.Errorf("the lease ends in %v of the target's clock, want at least %v", left, minLeft)
	}
	if most := 600 / 5; h.polls > most {
		t.Errorf("an idle target was polled %d times in ten minutes, want at most %d", h.polls, most)
	}
}

// Guards against a release before the end of a lease: a lease that a target with a
// slow clock accepted takes longer than on an exact clock.
func TestTaskIsReleasedAfterTheLeaseOnTheSlowestClock(t *testing.T) {
	h := newIdleTargetHarness(t, 0.98)
	h.idle(40 * time.Second)
	h.submit(1, testJob("j", 1))
	st := one[Start](h.harness)
	ends := h.born.Add(time.Duration(float64(st.LeaseMS)/h.rate) * time.Millisecond)
	if end := h.s.leaseEnd(h.s.targets["a"]); end.Before(ends) {
		t.Errorf("the run counts as ended %v before its lease ends", ends.Sub(end))
	}
}

// Guards against leases in the clock of an earlier incarnation: a reply of the
// previous incarnation must not set the clock of the new one, which started anew.
func TestReplyOfPreviousIncarnationDoesNotSetTheClock(t *testing.T) {
	h := newIdleTargetHarness(t, 1)
	h.submit(1, testJob("j", 1))
	st := one[Start](h.harness)
	old := h.clockMS()
	p := one[Poll](h.harness)
	h.born = h.now
	h.now = h.now.Add(20 * time.Millisecond)
	h.send(PollReturned{Target: "a", Sent: p.Sent, Answered: true, Incarnation: 2, ClockMS: h.clockMS()})
	h.send(StartReturned{Run: st.Run, Target: "a", Result: StartAccepted, ClockMS: old})
	h.submit(2, testJob("k", 1))
	for _, st := range take[Start](h.harness) {
		if left := st.LeaseMS - h.clockMS(); left > testLease.Milliseconds() {
			t.Errorf("the lease of %v ends in %d ms of the target's clock, want at most %v", st.Run, left, testLease)
		}
	}
}

// Guards against polls without a pause of a target whose answers lack its clock.
func TestTargetWithoutClockIsNotPolledAllTheTime(t *testing.T) {
	h := newIdleTargetHarness(t, 0)
	h.idle(10 * time.Second)
	if most := 20; h.polls > most {
		t.Errorf("an idle target was polled %d times in 10 s, want at most %d", h.polls, most)
	}
}
