package scheduler

import "time"

const (
	// leaseMargin is added to the longest possible lease before the runs under
	// it are assumed to have ended.
	leaseMargin = 100 * time.Millisecond
	// maxReportAge is the age of a sender's last report up to which its jobs get full
	// leases. Senders report every 250 ms.
	maxReportAge = 280 * time.Millisecond
	// minLease is the shortest lease that is sent to a target.
	minLease = 50 * time.Millisecond
	// stallTime is the time without a call of Handle after which the instance may
	// have been paused. It must exceed maxWakeInterval.
	stallTime = 200 * time.Millisecond
	// maxWakeInterval bounds the time between two calls of Handle while there are jobs.
	maxWakeInterval = 100 * time.Millisecond
	// settleTime is the time after a stall in which the instance learns which callers
	// have disconnected during it.
	settleTime = 100 * time.Millisecond
)

// A run that its job no longer needs ends with a stop or with its lease. Stops may stay
// without an answer, and the lease is that of all runs on the target. So that a task
// never starts at another owner while an earlier run of it goes on, no lease of a
// target outlasts the time from which on the job of one of its runs may be submitted
// again. This needs no message between owners, and it holds if an owner is paused,
// restarted or cut off.

// waiter is a request that awaits a job.
type waiter struct {
	request RequestID
	// sender is the instance that has sent the request, or empty for a request of this
	// instance, which ends with it.
	sender string
	// awaitedAt is when the sender is last known to have awaited the job. For a request
	// of this instance, it is when the request arrived.
	awaitedAt time.Time
}

func (s *Scheduler) newWaiter(ev Submit) waiter {
	w := waiter{request: ev.Request, sender: ev.Job.Sender, awaitedAt: ev.Job.SentAt}
	if w.sender == "" {
		w.awaitedAt = s.now
	}
	return w
}

// recordStall notes a time in which the instance may have been paused.
func (s *Scheduler) recordStall(now time.Time) {
	if len(s.jobs) > 0 && now.Sub(s.now) >= stallTime {
		s.stallBegan, s.stallEnded = s.now, now
	}
}

// awaitedAt returns the last time at which the caller of a request certainly awaited
// its job.
func (s *Scheduler) awaitedAt(w waiter) time.Time {
	switch {
	case w.sender != "":
		return w.awaitedAt
	case s.now.Sub(s.stallEnded) >= settleTime:
		return s.now
	case s.stallBegan.After(w.awaitedAt):
		return s.stallBegan
	}
	return w.awaitedAt
}

// awaited handles a report of the jobs that a sender awaits.
func (s *Scheduler) awaited(ev Awaited) {
	for _, id := range ev.Jobs {
		j := s.jobs[id]
		if j == nil {
			continue
		}
		for i := range j.waiters {
			if w := &j.waiters[i]; w.sender == ev.Sender && ev.At.After(w.awaitedAt) {
				w.awaitedAt = ev.At
			}
		}
	}
}

// resubmissionAt returns the earliest time at which the job may be submitted again, to
// this owner or another one.
func (s *Scheduler) resubmissionAt(j *job) time.Time {
	at := earliest(s.now, j.Deadline)
	for _, w := range j.waiters {
		at = earliest(at, s.awaitedAt(w))
	}
	return earliest(at, j.withdrawnAt).Add(s.cfg.ResubmissionDelay)
}

// mustEndBy returns the time at which the run must be over, because its job may be
// submitted again from then on.
func (s *Scheduler) mustEndBy(r *run) time.Time {
	at := r.resubmissionAt
	if r.task != nil {
		at = s.resubmissionAt(r.task.job)
	}
	return at.Add(-leaseMargin)
}

// canLease reports whether a task may start under the leases of the target: the one in
// force must not outlast the time at which the task must be over.
func (s *Scheduler) canLease(t *target, k *task) bool {
	end := s.resubmissionAt(k.job).Add(-leaseMargin)
	return !t.leaseUntil.After(end) && earliest(end, s.leaseLimit(t)).Sub(s.now) >= minLease && !s.outlastsLease(t, k)
}

// leaseLimit returns the latest end of a lease on the runs of the target that is sent
// now.
func (s *Scheduler) leaseLimit(t *target) time.Time {
	limit := s.now.Add(s.longestLease())
	for _, r := range t.runs {
		if !r.leaseOver && !r.foreign {
			limit = earliest(limit, s.mustEndBy(r))
		}
	}
	return limit
}

// longestLease returns the longest time for which a lease lasts, on the slowest clock
// of a target. It is short enough for a task to start under a lease that is in force,
// as long as its sender reports in time.
func (s *Scheduler) longestLease() time.Duration {
	longest := time.Duration(float64(s.cfg.Lease) / (1 - s.cfg.MaxClockDrift))
	return min(longest, s.cfg.ResubmissionDelay-leaseMargin-maxReportAge)
}

// inheritLease records the lease that an earlier owner of the target may have sent
// until the target answered a poll with the fencing token of this one. It lasts for all
// runs on the target, also for those that start later.
func (s *Scheduler) inheritLease(t *target, pollSent time.Time) {
	if t.claimedAt.IsZero() {
		return
	}
	if until := s.now.Add(s.longestLease()); until.After(t.leaseUntil) {
		t.leaseUntil = until
	}
	if !pollSent.Before(t.claimedAt) {
		t.claimedAt = time.Time{}
	}
}

// renewLease returns the end of a lease that is sent to the target now, in milliseconds
// of the target's clock, or 0 if the lease must not be renewed.
func (s *Scheduler) renewLease(t *target) int64 {
	limit := s.leaseLimit(t)
	lease := time.Duration(float64(limit.Sub(s.now)) * (1 - s.cfg.MaxClockDrift))
	if !t.clock.Known() || lease < minLease {
		return 0
	}
	if limit.After(t.leaseUntil) {
		t.leaseUntil = limit
	}
	for _, r := range t.runs {
		r.leases++
	}
	return (t.clock.At(s.now) + lease).Milliseconds()
}

// leaseEnd returns when all runs of this instance on the target have lost their lease,
// unless it is renewed, even if the target's clock runs slow by MaxClockDrift.
func (s *Scheduler) leaseEnd(t *target) time.Time { return t.leaseUntil.Add(leaseMargin) }

// leaseEnded reports whether no lease of this instance is in force at the target.
func (s *Scheduler) leaseEnded(t *target) bool { return !s.now.Before(s.leaseEnd(t)) }

// lossDelay is the longest time from the last renewal of a lease until the loss of
// its runs is known.
func (s *Scheduler) lossDelay() time.Duration { return s.longestLease() + leaseMargin }

// outlastsLease reports whether a task is forecast to run on the target for longer than
// its lease can be renewed. Runs whose job has ended limit the lease until they are
// over.
func (s *Scheduler) outlastsLease(t *target, k *task) bool {
	for _, r := range t.runs {
		if r.limitsLease() && s.mustEndBy(r).Before(s.now.Add(s.expectedRunTime(k, s.baseRunTime(k), t))) {
			return true
		}
	}
	return false
}

// hasLimitingRun reports whether a run on the target was given up and is not known to
// be over.
func (t *target) hasLimitingRun() bool {
	for _, r := range t.runs {
		if r.limitsLease() {
			return true
		}
	}
	return false
}

// giveUpRun records that the job of a run has ended before the run.
func (s *Scheduler) giveUpRun(r *run) {
	r.resubmissionAt = s.resubmissionAt(r.task.job)
	r.task.run, r.task = nil, nil
	r.givenUpAt, r.stops, r.leases = s.now, 0, 0
	s.givenUpRuns[r.id.Task]++
}

// forgetGivenUp removes a run that was given up from the count of its task.
func (s *Scheduler) forgetGivenUp(r *run) {
	if s.givenUpRuns[r.id.Task]--; s.givenUpRuns[r.id.Task] == 0 {
		delete(s.givenUpRuns, r.id.Task)
	}
}

// resumeLease makes a run limit the lease of its target again that is listed although
// its lease has ended.
func (s *Scheduler) resumeLease(r *run) {
	r.leaseOver = false
	if r.givenUp() {
		s.givenUpRuns[r.id.Task]++
	}
}

// endLease records that the lease on a run has ended, so that the run is over, or its
// start will be refused.
func (s *Scheduler) endLease(r *run) {
	if r.limitsLease() {
		s.forgetGivenUp(r)
	}
	r.leaseOver = !r.foreign
}

// givenUp reports whether the run may go on although its job does not need it.
func (r *run) givenUp() bool { return r.task == nil && !r.foreign }

// limitsLease reports whether the run was given up and is not known to be over.
func (r *run) limitsLease() bool { return r.givenUp() && !r.leaseOver }
