package scheduler

import (
	"slices"
	"testing"
	"time"
)

// leaseHarness runs a job with a long run on target a, beside another long run. The
// target answers polls, but no stop.
type leaseHarness struct {
	*harness
	run RunID
	// running and completions are what the target reports.
	running     []RunID
	completions []Completion
	// until is the latest end of a lease that was sent, on the slowest clock.
	until time.Time
}

func newLeaseHarness(t *testing.T, delay time.Duration, j Job) *leaseHarness {
	h := &leaseHarness{harness: newHarness(t)}
	h.s.cfg.ResubmissionDelay = delay
	h.send(TargetsChanged{Targets: []Target{testTarget("a")}})
	one[Poll](h.harness)
	h.answerPoll("a", PollReturned{})
	long := testJob("long", 1)
	long.Stretch, long.Deadline = 50, h.now.Add(20*time.Second)
	long.Steps[0].Estimate = 5 * time.Second
	h.submit(1, long)
	h.submit(2, j)
	for _, st := range take[Start](h.harness) {
		h.recordLease(st.LeaseMS)
		h.running = append(h.running, st.Run)
		if st.Run.Task.Job == j.ID {
			h.run = st.Run
		}
		h.answerStart(st, StartAccepted)
	}
	if len(h.running) != 2 {
		t.Fatalf("%d starts", len(h.running))
	}
	return h
}

func (h *leaseHarness) recordLease(ms int64) {
	if ms == 0 {
		return
	}
	left := time.Duration(ms-h.now.UnixMilli()) * time.Millisecond
	if end := h.now.Add(time.Duration(float64(left) / (1 - testClockDrift))); end.After(h.until) {
		h.until = end
	}
}

// advance lets the target answer polls after their wait, and immediately if there are
// completions.
func (h *leaseHarness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.send(Tick{})
		h.answerPolls()
		take[Stop](h.harness)
	}
}

func (h *leaseHarness) answerPolls() {
	for _, p := range take[Poll](h.harness) {
		h.recordLease(p.LeaseMS)
		if p.MaxWait == 0 || len(h.completions) > 0 {
			h.answerPoll("a", PollReturned{Sent: p.Sent, Running: h.running, Completions: h.completions})
			continue
		}
		h.actions = append(h.actions, p)
		if h.now.Sub(p.Sent) < p.MaxWait {
			return
		}
		take[Poll](h.harness)
		h.answerPoll("a", PollReturned{Sent: p.Sent, Running: h.running, Completions: h.completions})
	}
}

// listStopped makes the target list the run of the job as stopped.
func (h *leaseHarness) listStopped() {
	h.running = slices.DeleteFunc(h.running, func(id RunID) bool { return id == h.run })
	h.completions = []Completion{{Number: 1, Run: h.run, Result: RunStopped}}
}

// assertOverBy fails the test if a lease may keep the run alive after a time.
func (h *leaseHarness) assertOverBy(limit time.Time) {
	h.t.Helper()
	if h.until.After(limit) {
		h.t.Errorf("a lease lasts %v longer than the run may", h.until.Sub(limit))
	}
	if limit.Sub(h.until) > 2*leaseMargin {
		h.t.Errorf("the last lease ends %v too early", limit.Sub(h.until))
	}
}

func hungJob(id string) Job {
	j := testJob(id, 1)
	j.Steps[0].Estimate = 800 * time.Millisecond
	return j
}

// Guards against leases that keep a run alive after its job has ended, until the job
// may be submitted again.
func TestLeaseEndsBeforeTheJobIsSubmittedAgain(t *testing.T) {
	const senderName = "s"
	for _, delay := range []time.Duration{800 * time.Millisecond, DefaultResubmissionDelay, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Run("deadline", func(t *testing.T) {
				h := newLeaseHarness(t, delay, hungJob("j"))
				deadline := h.s.jobs["j"].Deadline
				h.advance(deadline.Sub(h.now) + delay - 2*leaseMargin)
				h.assertOverBy(deadline.Add(delay))
			})
			t.Run("withdrawn", func(t *testing.T) {
				h := newLeaseHarness(t, delay, hungJob("j"))
				h.advance(300 * time.Millisecond)
				left := h.now
				h.send(Withdraw{Request: 2})
				h.advance(delay - 2*leaseMargin)
				h.assertOverBy(left.Add(delay))
			})
			t.Run("withdrawn after a pause", func(t *testing.T) {
				h := newLeaseHarness(t, delay, hungJob("j"))
				h.advance(300 * time.Millisecond)
				left := h.now
				h.now = h.now.Add(600 * time.Millisecond)
				h.send(Tick{})
				h.answerPolls()
				h.now = h.now.Add(50 * time.Millisecond)
				h.send(Withdraw{Request: 2})
				h.advance(delay)
				if h.until.After(left.Add(delay)) {
					t.Errorf("a lease lasts %v longer than the run may", h.until.Sub(left.Add(delay)))
				}
			})
			t.Run("sender is silent", func(t *testing.T) {
				j := hungJob("j")
				j.Sender, j.SentAt = senderName, time.Unix(1000, 0)
				h := newLeaseHarness(t, delay, j)
				h.advance(250 * time.Millisecond)
				last := h.now
				h.send(Awaited{Sender: senderName, Jobs: []string{"j"}, At: last})
				h.advance(400 * time.Millisecond)
				h.send(Awaited{Sender: "other", Jobs: []string{"j"}, At: h.now})
				h.advance(300 * time.Millisecond)
				h.send(Withdraw{Request: 2})
				h.advance(delay - 800*time.Millisecond)
				if h.until.After(last.Add(delay)) {
					t.Errorf("a lease lasts %v longer than the run may", h.until.Sub(last.Add(delay)))
				}
			})
		})
	}
}

// Guards against leases that stay limited after the run has ended, which would end the
// other runs on the target.
func TestLeaseIsRenewedOnceTheRunIsStopped(t *testing.T) {
	h := newLeaseHarness(t, DefaultResubmissionDelay, hungJob("j"))
	deadline := h.s.jobs["j"].Deadline
	h.advance(deadline.Sub(h.now) + 600*time.Millisecond)
	h.listStopped()
	h.send(StopReturned{Run: h.run, Target: "a", Answered: true})
	take[Stop](h.harness)
	p := one[Poll](h.harness)
	h.answerPoll("a", PollReturned{Sent: p.Sent, Running: h.running, Completions: h.completions})
	next := one[Poll](h.harness)
	h.recordLease(next.LeaseMS)
	if left := h.until.Sub(h.now); left < 800*time.Millisecond {
		t.Errorf("the next lease ends in %v", left)
	}
	over := one[GivenUpRunOver](h.harness)
	if over.Run != h.run || over.Evidence != EvidenceListed {
		t.Errorf("reported as over: %+v", over)
	}
}

// Guards against a target that gets no lease again after a run on it could not be
// stopped. The run is over once its lease has ended.
func TestLeaseIsRenewedOnceTheGivenUpRunHasLapsed(t *testing.T) {
	h := newLeaseHarness(t, DefaultResubmissionDelay, hungJob("j"))
	deadline := h.s.jobs["j"].Deadline
	h.advance(deadline.Sub(h.now) + DefaultResubmissionDelay + 50*time.Millisecond)
	over := one[GivenUpRunOver](h.harness)
	if over.Run != h.run || over.Evidence != EvidenceLease {
		t.Errorf("reported as over: %+v", over)
	}
	h.running = nil
	h.advance(time.Second)
	if !h.until.After(deadline.Add(DefaultResubmissionDelay)) {
		t.Error("no lease was sent after the run was over")
	}
}

// Guards against a task that starts at the same owner while its earlier run goes on,
// and against one that never starts again.
func TestTaskWaitsForItsEarlierRun(t *testing.T) {
	h := newLeaseHarness(t, DefaultResubmissionDelay, hungJob("j"))
	h.send(TargetsChanged{Targets: []Target{testTarget("a"), testTarget("b")}})
	for _, p := range take[Poll](h.harness) {
		if p.Target == "b" {
			h.answerPoll("b", PollReturned{})
		} else {
			h.actions = append(h.actions, p)
		}
	}
	h.advance(300 * time.Millisecond)
	h.send(Withdraw{Request: 2})
	h.submit(3, hungJob("j"))
	none[Start](h.harness)
	h.listStopped()
	p := one[Poll](h.harness)
	h.answerPoll("a", PollReturned{Sent: p.Sent, Running: h.running, Completions: h.completions})
	if st := one[Start](h.harness); st.Run.Task.Job != "j" {
		t.Errorf("started %+v", st)
	}
}

// Guards against a task that starts where a run that cannot be stopped will end the
// lease first, although a shorter task may start there.
func TestLongTaskAvoidsLimitedLease(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, hungJob("j"))
	st := one[Start](h)
	h.answerStart(st, StartAccepted)
	h.advance(300 * time.Millisecond)
	h.send(Withdraw{Request: 1})
	h.advance(400 * time.Millisecond)
	long := hungJob("long")
	long.Steps[0].Estimate = 1200 * time.Millisecond
	h.submit(2, long)
	none[Start](h)
	h.submit(3, testJob("short", 1))
	if st := one[Start](h); st.Run.Task.Job != "short" {
		t.Errorf("started %+v", st)
	}
}

// Guards against a task whose sender may have died, on a target whose lease in force
// outlasts the time at which the job may be submitted again.
func TestTaskOfSilentSenderDoesNotStartUnderLongLease(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, testJob("first", 2))
	starts := take[Start](h)
	for _, st := range starts {
		h.answerStart(st, StartAccepted)
	}
	j := testJob("j", 1)
	j.Stretch, j.Sender, j.SentAt = 20, "s", h.now
	h.submit(2, j)
	h.advance(400 * time.Millisecond)
	running := []RunID{starts[0].Run, starts[1].Run}
	h.answerPoll("a", PollReturned{Sent: one[Poll](h).Sent, Running: running})
	h.advance(20 * time.Millisecond)
	completed := []Completion{{Number: 1, Run: starts[0].Run, Result: RunSucceeded}}
	h.answerPoll("a", PollReturned{Sent: one[Poll](h).Sent, Running: running[1:], Completions: completed})
	none[Start](h)
	h.send(Awaited{Sender: "s", Jobs: []string{"j"}, At: h.now})
	if st := one[Start](h); st.Run.Task.Job != "j" {
		t.Errorf("started %+v after a report of the sender", st)
	}
}

// Guards against a task that is submitted again while its earlier run goes on: the lease
// that an earlier owner has sent to a target lasts longer than the one of the run.
func TestLeaseOfEarlierOwnerCounts(t *testing.T) {
	for _, c := range []struct {
		reportAge time.Duration
		starts    int
	}{{0, 1}, {maxReportAge, 1}, {700 * time.Millisecond, 0}} {
		h := newHarness(t, testTarget("a"))
		claimed := testTarget("a")
		claimed.Fence++
		h.now = h.now.Add(5 * time.Second)
		h.send(TargetsChanged{Targets: []Target{claimed}})
		one[Poll](h)
		h.answerPoll("a", PollReturned{})
		j := testJob("j", 1)
		j.Sender, j.SentAt, j.Deadline = "s", h.now.Add(-c.reportAge), h.now.Add(20*time.Second)
		h.submit(1, j)
		if n := len(take[Start](h)); n != c.starts {
			t.Errorf("%d tasks start on a target that has just changed its owner, %v after the caller was known to wait, want %d", n, c.reportAge, c.starts)
		}
	}
}
