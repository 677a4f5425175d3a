package scheduler

import (
	"slices"
	"time"
)

// expireRuns stops hung runs, sends unanswered stops again, removes the given-up runs
// that have lost their lease, and releases the tasks whose runs have lost it on an
// unreachable or fenced target.
func (s *Scheduler) expireRuns(t *target) {
	if !t.ejectedUntil.IsZero() && !s.now.Before(t.ejectedUntil) {
		t.ejectedUntil = time.Time{}
	}
	if !s.hasDueRuns(t) {
		return
	}
	ended := s.leaseEnded(t)
	if t.unreachableOrFenced() && ended {
		s.suspectCrash(t)
	}
	for _, r := range t.sortedRuns() {
		switch {
		case t.unreachableOrFenced() && ended:
			s.releaseTask(r)
			s.endLease(r)
			if t.fenced || t.removed && s.now.After(t.leaseUntil.Add(maxStartDelay)) {
				s.removeRun(r, EvidenceLease)
			}
		case ended && r.limitsLease():
			s.removeRun(r, EvidenceLease)
		case r.state == running && t.inContact() && r.task != nil && !s.now.Before(s.overdueAt(r)):
			s.stopHungRun(r)
		case r.state == stopping && r.resendsStop() && !r.resendStopAt.IsZero() && !s.now.Before(r.resendStopAt):
			s.sendStop(r)
		}
	}
}

// hasDueRuns reports whether expireRuns may have to act on a run of the target.
func (s *Scheduler) hasDueRuns(t *target) bool {
	if s.leaseEnded(t) && (t.unreachableOrFenced() || t.hasLimitingRun()) {
		return true
	}
	for _, r := range t.runs {
		if at := s.nextRunWake(r); !at.IsZero() && !s.now.Before(at) {
			return true
		}
	}
	return false
}

// stopHungRun stops a run that takes far longer than forecast. Its task runs
// again once the run is known to be over.
func (s *Scheduler) stopHungRun(r *run) {
	k := r.task
	s.recordBadRun(r.target, k.job.ID)
	k.avoid = append(slices.Clone(k.avoid), r.target.ID)
	k.hungRuns++
	r.state, r.answered = stopping, false
	s.sendStop(r)
}
