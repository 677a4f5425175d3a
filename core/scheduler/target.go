package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// pollWait is how long a target may wait for a completion before it answers
	// a poll. Each poll renews the lease, and the interval is short enough that
	// the next poll still renews it in time if one is lost.
	pollWait = 450 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between two polls of
	// a target that does not answer.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	// recentContact is the time after an answer in which unanswered requests do
	// not count against the target.
	recentContact = 150 * time.Millisecond
	// acknowledgeAfter delays the poll that acknowledges the last completions of
	// an idle target. A start within this time makes the extra poll unnecessary.
	acknowledgeAfter = 2 * time.Second
	// clockRefresh is the age at which the clock of an idle target is read again.
	// The next lease is shorter by the drift that is possible in this time, and
	// must still outlast a poll that is lost.
	clockRefresh = 8 * time.Second
	// stopRetryInterval is the time between two attempts to stop a run.
	stopRetryInterval = 200 * time.Millisecond
	// maxStartDelay is the longest delay after which an unanswered start may
	// still take effect.
	maxStartDelay = 15 * time.Second
	// leaseMargin is added to the longest possible lease before the runs under
	// it are assumed to have ended.
	leaseMargin = 100 * time.Millisecond
	// minEjection and maxEjection bound the time for which an ejected target
	// gets no work.
	minEjection = 2 * time.Second
	maxEjection = 16 * time.Second
	// unhealthyPause is the time for which a target gets no start after it
	// refused one as unhealthy or invalid.
	unhealthyPause = 250 * time.Millisecond
)

// capacity is an amount of a target's resources: CPU in thousandths of a core,
// memory in MB, and accelerators.
type capacity struct{ cpu, memory, accelerators int64 }

func (c capacity) fits(n capacity) bool {
	return n.cpu <= c.cpu && n.memory <= c.memory && n.accelerators <= c.accelerators
}

func (c *capacity) add(n capacity, sign int64) {
	c.cpu += sign * n.cpu
	c.memory += sign * n.memory
	c.accelerators += sign * n.accelerators
}

func (st *Step) need() capacity {
	return capacity{cpu: st.CPU, memory: st.MemoryMB, accelerators: st.Accelerators}
}

// target is the state of a target that the instance owns.
type target struct {
	Target
	free capacity
	runs map[RunID]*run
	// synced is set once a poll has shown that the target has no foreign runs.
	synced bool
	// removed is set for a target that this instance no longer owns, but whose
	// runs are not known to be over.
	removed bool

	// clockMS is the last reading of the target's clock, which arrived at clockAt.
	clockMS int64
	clockAt time.Time
	// bornAt is when the Scheduler learned of the current incarnation, or zero if
	// there was no other before.
	bornAt time.Time
	// leaseSentAt is when the lease was last renewed by a start or a poll.
	leaseSentAt time.Time

	polling  bool
	nextPoll time.Time
	// lastCompletion is the number of the last completion that was processed.
	// acknowledged is the highest number whose acknowledgement the target has
	// received in a poll.
	lastCompletion, acknowledged int64
	// ackInFlight is the acknowledgement in the poll in flight.
	ackInFlight int64
	// fenced is set once the target reports that another instance holds it.
	fenced bool
	// unanswered counts consecutive requests without an answer. lastContact is
	// the time of the last answer.
	unanswered  int
	lastContact time.Time

	// consecutiveBadRuns counts failures since the last success, and lastBadJob
	// is the job of the last failure. See recordBadRun.
	consecutiveBadRuns int
	lastBadJob         string
	ejections          int
	ejectedUntil       time.Time
}

// usable reports whether the target accepts tasks of new jobs.
func (t *target) usable() bool { return t.acceptsWork() && !t.Releasing }

// acceptsWork reports whether the target accepts tasks of jobs that have started.
func (t *target) acceptsWork() bool {
	return t.synced && !t.removed && !t.Draining && !t.fenced && t.unanswered == 0
}

func (s *Scheduler) changeTargets(all []Target) {
	listed := map[string]bool{}
	for _, in := range all {
		listed[in.ID] = true
		t := s.targets[in.ID]
		if t == nil {
			t = &target{Target: in, runs: map[RunID]*run{}, free: capacity{in.CPU, in.MemoryMB, in.Accelerators}, nextPoll: s.now}
			s.targets[in.ID] = t
			s.sortedTargets = append(s.sortedTargets, t)
			continue
		}
		s.updateTarget(t, in)
	}
	for _, t := range s.sortedTargets {
		if !listed[t.ID] && !t.removed {
			t.removed = true
			t.nextPoll = s.now
		}
	}
	s.sortedTargets = slices.DeleteFunc(s.sortedTargets, func(t *target) bool {
		if t.removed && len(t.runs) == 0 {
			delete(s.targets, t.ID)
			return true
		}
		return false
	})
	slices.SortFunc(s.sortedTargets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Scheduler) updateTarget(t *target, in Target) {
	if in.Incarnation != t.Incarnation && t.Incarnation != 0 && in.Incarnation != 0 {
		s.resetTarget(t, in.Incarnation)
	}
	t.free.add(capacity{in.CPU - t.CPU, in.MemoryMB - t.MemoryMB, in.Accelerators - t.Accelerators}, 1)
	if in.Fence != t.Fence {
		t.synced, t.fenced, t.nextPoll = false, false, s.now
	}
	incarnation := t.Incarnation
	t.Target = in
	if in.Incarnation == 0 {
		t.Incarnation = incarnation
	}
	t.removed = false
}

// resetTarget resets the state of a target that has restarted. Its earlier runs
// no longer exist, but a start may already have reached the new incarnation, so
// that the runs are only removed after the next poll.
func (s *Scheduler) resetTarget(t *target, incarnation int64) {
	t.Incarnation = incarnation
	t.lastCompletion, t.acknowledged, t.ackInFlight, t.clockAt = 0, 0, 0, time.Time{}
	t.unanswered, t.consecutiveBadRuns, t.synced, t.nextPoll = 0, 0, false, s.now
	t.bornAt = s.now
	s.model.Forget(t.ID)
}

// leaseMS returns the end of a full lease that begins now, in milliseconds of the
// target's clock, or 0 if the clock is unknown. The clock is assumed to run as slow
// as it may: a lease that is too long would let a start take effect after its task
// was released.
func (s *Scheduler) leaseMS(t *target) int64 {
	if t.clockAt.IsZero() {
		return 0
	}
	elapsed := time.Duration(float64(s.now.Sub(t.clockAt)) * (1 - s.cfg.MaxClockDrift))
	return t.clockMS + elapsed.Milliseconds() + s.cfg.Lease.Milliseconds()
}

func (t *target) updateClock(ms int64, now time.Time) {
	if ms > 0 {
		t.clockMS, t.clockAt = ms, now
	}
}

// leaseEnd returns when all runs on an unreachable target have lost their lease,
// even if its clock runs slow by MaxClockDrift.
func (s *Scheduler) leaseEnd(t *target) time.Time {
	longest := time.Duration(float64(s.cfg.Lease) / (1 - s.cfg.MaxClockDrift))
	return t.leaseSentAt.Add(longest + leaseMargin)
}

// sendDuePolls sends the polls that are due.
func (s *Scheduler) sendDuePolls() {
	for _, t := range s.sortedTargets {
		if t.pollDue(s.now) {
			s.sendPoll(t)
		}
	}
}

func (t *target) pollDue(now time.Time) bool {
	at := t.pollAt()
	return !at.IsZero() && !now.Before(at)
}

// pollAt returns when the next poll is due, or zero if none is.
func (t *target) pollAt() time.Time {
	switch {
	case t.polling:
		return time.Time{}
	case t.needsPoll():
		return t.nextPoll
	case t.acceptsWork():
		return t.clockAt.Add(clockRefresh)
	}
	return time.Time{}
}

func (t *target) needsPoll() bool {
	if t.fenced {
		return false
	}
	return len(t.runs) > 0 || !t.removed && (!t.synced || t.unanswered > 0 || t.lastCompletion > t.acknowledged)
}

// unreachableOrFenced reports whether the target does not answer or is held by
// another instance.
func (t *target) unreachableOrFenced() bool { return t.fenced || t.unanswered > 0 }

// nextTargetWake returns the time of the target's next decision that no event
// causes, or zero.
func (s *Scheduler) nextTargetWake(t *target) time.Time {
	next := t.pollAt()
	for _, r := range t.runs {
		next = earliest(next, s.nextRunWake(r))
	}
	if t.unreachableOrFenced() && t.hasAwaitedRuns() {
		next = earliest(next, s.leaseEnd(t))
	}
	if !t.ejectedUntil.IsZero() {
		next = earliest(next, t.ejectedUntil)
	}
	return next
}

func (s *Scheduler) sendPoll(t *target) {
	p := Poll{Target: t.ID, Address: t.Address, Fence: t.Fence, Sent: s.now, AckThrough: t.lastCompletion}
	if t.synced && len(t.runs) > 0 {
		p.LeaseMS = s.leaseMS(t)
		p.MaxWait = pollWait
		t.leaseSentAt = s.now
	}
	t.polling, t.ackInFlight = true, t.lastCompletion
	s.emit(p)
}

func (s *Scheduler) pollReturned(ev PollReturned) {
	t := s.targets[ev.Target]
	if t == nil || !t.polling {
		return
	}
	t.polling = false
	switch {
	case ev.Fenced:
		s.targetFenced(t)
	case !ev.Answered, ev.WrongTarget:
		t.recordNoAnswer(s.now)
	default:
		s.pollAnswered(t, ev)
	}
	if t.removed && len(t.runs) == 0 {
		delete(s.targets, t.ID)
		s.sortedTargets = slices.DeleteFunc(s.sortedTargets, func(o *target) bool { return o == t })
	}
}

// recordNoAnswer counts a request without an answer, unless the target has just
// answered another one. The target gets no work until it answers again.
func (t *target) recordNoAnswer(now time.Time) {
	if now.Sub(t.lastContact) < recentContact {
		return
	}
	t.unanswered++
	pause := time.Duration(0)
	if t.unanswered > 1 {
		pause = min(minProbeInterval<<min(t.unanswered-2, 4), maxProbeInterval)
	}
	t.nextPoll = now.Add(pause)
}

// recordAnswer records that the target has answered a request.
func (t *target) recordAnswer(now time.Time) {
	t.lastContact = now
	if t.unanswered > 0 {
		t.unanswered, t.nextPoll = 0, now
	}
}

// targetFenced gives up a target that another instance holds. The new owner
// stops the target's runs before it renews the lease. All runs are therefore over
// when the last lease that this instance has given expires.
func (s *Scheduler) targetFenced(t *target) {
	if t.fenced {
		return
	}
	t.fenced, t.synced = true, false
	s.emit(TargetLost{Target: t.ID, Service: t.Service, Zone: t.Zone, Fence: t.Fence})
}

// pollAnswered processes the answer to a poll.
func (s *Scheduler) pollAnswered(t *target, ev PollReturned) {
	if ev.Incarnation != 0 && t.Incarnation != 0 && ev.Incarnation != t.Incarnation {
		s.resetTarget(t, ev.Incarnation)
	}
	t.updateClock(ev.ClockMS, s.now)
	t.recordAnswer(s.now)
	t.nextPoll = s.now
	if ev.Incarnation != 0 {
		t.Incarnation = ev.Incarnation
	}
	t.acknowledged = max(t.acknowledged, t.ackInFlight)
	running := map[RunID]bool{}
	for _, id := range ev.Running {
		running[id] = true
	}
	for _, c := range ev.Completions {
		if c.Number <= t.lastCompletion {
			continue
		}
		t.lastCompletion = c.Number
		if r := t.runs[c.Run]; r != nil {
			s.runCompleted(r, c.Result)
		}
	}
	s.reconcileRuns(t, ev, running)
	s.stopForeign(t, ev.Running)
	t.synced = !t.hasForeign()
	s.resendStops(t)
	if len(t.runs) == 0 {
		t.nextPoll = s.now.Add(acknowledgeAfter)
	}
}

// reconcileRuns removes the runs that the target does not list, although it
// answered their start or stop before the poll was sent. A run that is still
// active after its stop was answered has been started by a new incarnation of the
// target and is stopped again.
func (s *Scheduler) reconcileRuns(t *target, ev PollReturned, running map[RunID]bool) {
	for _, r := range t.sortedRuns() {
		switch {
		case !r.answered || !r.answeredAt.Before(ev.Sent):
		case !running[r.id]:
			s.runLost(r)
		case r.state == stopping && ev.Sent.Sub(r.answeredAt) > stopRetryInterval:
			r.answered = false
			s.sendStop(r)
		}
	}
}

// stopForeign stops runs that this instance has not started or has already
// removed.
func (s *Scheduler) stopForeign(t *target, running []RunID) {
	for _, id := range running {
		if t.runs[id] != nil {
			continue
		}
		r := &run{id: id, target: t, state: stopping, resendStopAt: s.now, answered: false, foreign: true}
		t.runs[id] = r
		s.sendStop(r)
	}
}

// hasAwaitedRuns reports whether a job still awaits a run of the target.
func (t *target) hasAwaitedRuns() bool {
	for _, r := range t.runs {
		if r.task != nil {
			return true
		}
	}
	return false
}

func (t *target) hasForeign() bool {
	for _, r := range t.runs {
		if r.foreign {
			return true
		}
	}
	return false
}

func (t *target) sortedRuns() []*run {
	all := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return all
}

func compareRuns(a, b RunID) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
}
