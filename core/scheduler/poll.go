package scheduler

import (
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
	// reconnectPause is the time before a target is polled again whose connection was
	// lost. It doubles with each further poll without an answer.
	reconnectPause = 2 * time.Millisecond
	// acknowledgeAfter delays the poll that acknowledges the last completions of
	// an idle target. A start within this time makes the extra poll unnecessary.
	acknowledgeAfter = 2 * time.Second
	// clockRefresh is the age at which the clock of an idle target is read again.
	// The next lease is shorter by the drift that is possible in this time, and
	// must still outlast a poll that is lost.
	clockRefresh = 8 * time.Second
)

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
	case t.acceptsWork() && t.clock.Known():
		return t.clock.ReadAt().Add(clockRefresh)
	}
	return time.Time{}
}

func (t *target) needsPoll() bool {
	if t.fenced {
		return false
	}
	return len(t.runs) > 0 || !t.removed && (!t.synced || !t.described() || t.unanswered > 0 || t.lastCompletion > t.acknowledged)
}

func (s *Scheduler) sendPoll(t *target) {
	p := Poll{Target: t.ID, Address: t.Address, Fence: t.Fence, Sent: s.now, AckThrough: t.lastCompletion}
	if t.synced && len(t.runs) > 0 {
		p.LeaseMS = s.renewLease(t)
		p.MaxWait = pollWait
		if p.LeaseMS > 0 {
			p.MaxWait = min(pollWait, t.leaseUntil.Sub(s.now)/2)
		}
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
		if ev.WrongTarget {
			s.confirmEnd(t)
		}
		t.recordNoAnswer(s.now)
		if ev.ConnectionLost {
			if t.connectionLostAt.IsZero() {
				s.recordLoss(t)
			}
			t.recordConnectionLost(s.now)
		}
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
	if t.unanswered == 0 {
		t.unansweredSince = now
	}
	t.unanswered++
	pause := time.Duration(0)
	if t.unanswered > 1 {
		pause = min(minProbeInterval<<min(t.unanswered-2, 4), maxProbeInterval)
	}
	t.nextPoll = now.Add(pause)
}

// recordConnectionLost keeps the target from getting work until a poll shows whether
// it has restarted. Unlike a single lost answer, this does not happen to a target that
// goes on.
func (t *target) recordConnectionLost(now time.Time) {
	t.synced = false
	if t.connectionLostAt.IsZero() {
		t.connectionLostAt = now
	}
	pause := min(reconnectPause<<min(t.reconnects, 10), minProbeInterval)
	t.reconnects++
	if next := now.Add(pause); t.nextPoll.Before(next) {
		t.nextPoll = next
	}
}

// connectionLost polls a target that has closed a connection. A poll in flight shows by
// itself whether the target has restarted.
func (s *Scheduler) connectionLost(address string) {
	for _, t := range s.sortedTargets {
		if t.Address == address && !t.polling && !t.removed && !t.fenced {
			t.recordConnectionLost(s.now)
		}
	}
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
	if ev.Incarnation != 0 && t.incarnation != 0 && ev.Incarnation != t.incarnation {
		s.confirmRestart(t, ev)
		s.resetTarget(t)
	} else {
		t.lossRefuted()
	}
	s.inheritLease(t, ev.Sent)
	t.connectionLostAt, t.reconnects = time.Time{}, 0
	t.updateClock(ev.ClockMS, s.now)
	t.recordAnswer(s.now)
	t.nextPoll = s.now
	if ev.Incarnation != 0 {
		t.incarnation = ev.Incarnation
	}
	s.refuteSuspected(t)
	s.confirmEarlierIncarnations(t)
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
	switch {
	case len(t.runs) > 0:
	case !t.described():
		t.nextPoll = s.now.Add(minProbeInterval)
	default:
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
		case r.leaseOver && !running[r.id]:
			s.runLost(r)
		case r.leaseOver:
			// The list is older than the end of the lease.
			s.resumeLease(r)
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
