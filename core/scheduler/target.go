package scheduler

import (
	"cmp"
	"slices"
	"time"

	"marigoldfront.dev/core/remoteclock"
)

const (
	// stopRetryInterval is the time between two attempts to stop a run.
	stopRetryInterval = 200 * time.Millisecond
	// urgentStopRetryInterval is the same for a run that limits the lease of its target.
	urgentStopRetryInterval = 50 * time.Millisecond
	// maxStartDelay is the longest delay after which an unanswered start may
	// still take effect.
	maxStartDelay = 15 * time.Second
	// minEjection and maxEjection bound the time for which an ejected target
	// gets no work.
	minEjection = 2 * time.Second
	maxEjection = 16 * time.Second
	// minDrainTime is the shortest time that a target serves after the list has shown
	// it as draining. The list lags by up to a second.
	minDrainTime = time.Second
	// drainStartTime is how long after the list has begun to show a target as draining
	// a task of a started job may start on it. The platform allows two seconds since
	// the target's announcement, which the list shows within one.
	drainStartTime = 500 * time.Millisecond
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

	// clock estimates the target's steady clock. It is never ahead: a lease that is
	// too long would let a start take effect after its task was released.
	clock remoteclock.Clock
	// incarnation is the one that answered the last poll, or 0. Target.Incarnation is
	// the one that the list describes.
	incarnation int64
	// bornAt is when the Scheduler learned of the current incarnation, or zero if
	// there was no other before.
	bornAt time.Time
	// leaseUntil is when the last lease ends that was sent with a start or a poll, on
	// the slowest clock of a target.
	leaseUntil time.Time
	// claimedAt is when this instance got the target with its current fencing token.
	claimedAt time.Time

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
	// unansweredSince is when the first of these requests was found unanswered.
	unansweredSince time.Time

	// connectionLostAt is when a poll lost its connection, or zero if one was answered
	// since. drainingSince is when the list began to show the incarnation as draining,
	// or zero.
	connectionLostAt, drainingSince time.Time
	// reconnects counts the polls that have lost their connection since then.
	reconnects int
	// evacuatedSince is when the instance learned of the evacuation of the target's
	// availability zone, or zero.
	evacuatedSince time.Time
	// lostAt is when the target last lost its connection, and lostQueues holds the
	// queues of its runs at that time.
	lostAt     time.Time
	lostQueues []string
	// isolatedRuns counts the runs of suspect tasks.
	isolatedRuns int

	// consecutiveBadRuns counts failures since the last success, and lastBadJob
	// is the job of the last failure. See recordBadRun.
	consecutiveBadRuns int
	lastBadJob         string
	ejections          int
	ejectedUntil       time.Time
	// pausedUntil is until when the target gets no start after it refused one as
	// unhealthy or invalid.
	pausedUntil time.Time
}

// usable reports whether the target accepts tasks of new jobs.
func (t *target) usable() bool { return t.acceptsWork() && !t.Releasing }

// acceptsWork reports whether the target accepts tasks of jobs that have started.
func (t *target) acceptsWork() bool { return t.serving() && !t.Draining && !t.evacuated() }

// serving reports whether the target accepts tasks, unless it drains or is evacuated.
func (t *target) serving() bool {
	return t.synced && t.described() && !t.removed && !t.fenced && t.unanswered == 0
}

// resting reports whether the target gets no work because it is ejected or paused. If
// all targets of its service are ejected, failing jobs are the more likely cause, and
// these targets are used one task at a time.
func (s *Scheduler) resting(t *target) bool {
	return s.now.Before(t.pausedUntil) || !t.ejectedUntil.IsZero() && slices.ContainsFunc(s.sortedTargets, func(o *target) bool {
		return o.Service == t.Service && o.acceptsWork() && o.ejectedUntil.IsZero()
	})
}

// acceptsStartedUntil returns until when a target that drains or is evacuated accepts
// tasks of jobs that have started before. It returns zero for other targets.
func (s *Scheduler) acceptsStartedUntil(t *target) time.Time {
	var until time.Time
	if t.Draining {
		until = t.drainingSince.Add(drainStartTime)
	}
	if t.evacuated() {
		until = earliest(until, t.evacuatedSince.Add(s.cfg.EvacuationStartTime))
	}
	return until
}

// isJustLeaving reports whether the target has only just begun to drain or to be
// evacuated, so that jobs that have started may still use it.
func (s *Scheduler) isJustLeaving(t *target) bool { return s.now.Before(s.acceptsStartedUntil(t)) }

// acceptsTask reports whether the target accepts a task. Where all targets of its
// service drain or are evacuated, a job that has started before may still use those that
// have just begun to.
func (s *Scheduler) acceptsTask(t *target, k *task) bool {
	switch {
	case t.acceptsWork():
		return !t.Releasing || k.job.started
	case t.serving() && s.mayFinishOn(t, k.job):
		return !slices.ContainsFunc(s.sortedTargets, func(o *target) bool { return o.Service == t.Service && o.acceptsWork() })
	}
	return false
}

// inContact reports whether the runs on the target are known. A run on a target that
// may have crashed does not count as hung.
func (t *target) inContact() bool { return t.unanswered == 0 && t.connectionLostAt.IsZero() }

// left reports whether the target has left rather than crashed, if it is gone now.
func (t *target) left() bool {
	end := t.connectionLostAt
	if end.IsZero() {
		end = t.lastContact
	}
	return !t.drainingSince.IsZero() && end.Sub(t.drainingSince) >= minDrainTime
}

// described reports whether the list describes the incarnation that answers the polls.
// A target may restart as another kind, with other labels and another capacity.
func (t *target) described() bool {
	return t.Target.Incarnation == 0 || t.incarnation == 0 || t.Target.Incarnation == t.incarnation
}

func (s *Scheduler) changeTargets(all []Target) {
	listed := map[string]bool{}
	for _, in := range all {
		listed[in.ID] = true
		t := s.targets[in.ID]
		if t == nil {
			t = s.newTarget(in)
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

func (s *Scheduler) newTarget(in Target) *target {
	return &target{
		Target: in, runs: map[RunID]*run{}, free: capacity{in.CPU, in.MemoryMB, in.Accelerators},
		clock: remoteclock.New(s.cfg.MaxClockDrift), nextPoll: s.now, drainingSince: s.drainStart(in, true),
		claimedAt: s.now, evacuatedSince: s.evacuatedSince[in.Zone],
	}
}

// drainStart returns when the target has begun to drain, or zero. A target that this
// instance has just got may have been draining for longer than the list shows.
func (s *Scheduler) drainStart(in Target, justGot bool) time.Time {
	switch {
	case !in.Draining:
		return time.Time{}
	case justGot:
		return s.now.Add(-drainStartTime)
	}
	return s.now
}

func (s *Scheduler) updateTarget(t *target, in Target) {
	t.free.add(capacity{in.CPU - t.CPU, in.MemoryMB - t.MemoryMB, in.Accelerators - t.Accelerators}, 1)
	if in.Fence != t.Fence {
		t.synced, t.fenced, t.nextPoll, t.claimedAt = false, false, s.now, s.now
	}
	t.Target = in
	t.evacuatedSince = s.evacuatedSince[in.Zone]
	if t.described() && (!in.Draining || t.drainingSince.IsZero()) {
		t.drainingSince = s.drainStart(in, t.removed)
	}
	if !t.described() {
		// The poll shows whether the target or the list is ahead.
		t.nextPoll = s.now
	}
	t.removed = false
}

// resetTarget resets the state of a target that has restarted. Its earlier runs
// no longer exist, but a start may already have reached the new incarnation, so
// that the runs are only removed after the next poll.
func (s *Scheduler) resetTarget(t *target) {
	t.lastCompletion, t.acknowledged, t.ackInFlight = 0, 0, 0
	t.clock.Reset()
	t.unanswered, t.consecutiveBadRuns, t.synced, t.nextPoll = 0, 0, false, s.now
	t.bornAt = s.now
	t.drainingSince = time.Time{}
	s.model.Forget(t.ID)
}

func (t *target) updateClock(ms int64, now time.Time) {
	if ms > 0 {
		t.clock.Observe(now, time.Duration(ms)*time.Millisecond)
	}
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
	if t.unreachableOrFenced() && (t.hasAwaitedRuns() || s.mustSuspectCrash(t)) || t.hasLimitingRun() {
		next = earliest(next, s.leaseEnd(t))
	}
	if !t.ejectedUntil.IsZero() {
		next = earliest(next, t.ejectedUntil)
	}
	if s.now.Before(t.pausedUntil) {
		next = earliest(next, t.pausedUntil)
	}
	if s.isJustLeaving(t) {
		next = earliest(next, s.acceptsStartedUntil(t))
	}
	return next
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
