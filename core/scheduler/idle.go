package scheduler

import "time"

const (
	// idleSampleInterval is the interval at which the idle CPU is sampled while jobs
	// wait.
	idleSampleInterval = 100 * time.Millisecond
	// minIdleWait is how long a job must have waited to count. Shorter waits are those
	// for the next event of a target.
	minIdleWait = 50 * time.Millisecond
)

// IdleReason says why CPU of a target is free while jobs wait.
type IdleReason int

const (
	// IdleNotServing means that the target takes no tasks: it does not answer, drains or
	// is handed over.
	IdleNotServing IdleReason = iota
	// IdleResting means that the target is ejected or paused.
	IdleResting
	// IdleFragment means that the free capacity is too small for each waiting task.
	IdleFragment
	// IdleConstrained means that the tasks that fit may not start on the target, because
	// of a label, a limit, a lease or a crash.
	IdleConstrained
	// IdleDeclined means that a task that fits waits for a better target.
	IdleDeclined
	// NumIdleReasons is the number of reasons.
	NumIdleReasons
)

var idleReasonNames = [...]string{
	IdleNotServing: "not_serving", IdleResting: "resting", IdleFragment: "fragment",
	IdleConstrained: "constrained", IdleDeclined: "declined",
}

// String returns the value of the label "reason".
func (r IdleReason) String() string { return idleReasonNames[r] }

// IdleCPU holds the CPU that was free while jobs waited, by reason, in core-milliseconds.
type IdleCPU [NumIdleReasons]int64

// Minus returns the difference from an earlier total.
func (c IdleCPU) Minus(earlier IdleCPU) IdleCPU {
	for r := range c {
		c[r] -= earlier[r]
	}
	return c
}

// sampleIdle adds the free CPU of all targets to the totals, if a job has waited for
// longer than minIdleWait. It is called after place, and takes a sample at most once
// in idleSampleInterval.
func (s *Scheduler) sampleIdle() {
	since := s.now.Sub(s.idleSampledAt)
	if since < idleSampleInterval {
		return
	}
	s.idleSampledAt = s.now
	waiting := s.longWaitingTasks()
	if len(waiting) == 0 {
		return
	}
	// After a longer time without events, it is unknown how long the jobs have waited.
	interval := min(since, 2*idleSampleInterval)
	for _, t := range s.sortedTargets {
		if t.free.cpu > 0 && !t.removed {
			s.idleCPU[s.idleReason(t, waiting)] += t.free.cpu * interval.Milliseconds() / 1000
		}
	}
}

// longWaitingTasks returns one waiting task of each step of the jobs that have waited
// for longer than minIdleWait.
func (s *Scheduler) longWaitingTasks() []*task {
	var waiting []*task
	for _, j := range s.queue {
		if s.now.Sub(j.Arrived) < minIdleWait {
			continue
		}
		for _, ts := range j.tasks {
			for _, k := range ts {
				if k.waiting() {
					waiting = append(waiting, k)
					break
				}
			}
		}
	}
	return waiting
}

// idleReason returns why no waiting task uses the free capacity of a target.
func (s *Scheduler) idleReason(t *target, waiting []*task) IdleReason {
	switch {
	case !t.usable():
		return IdleNotServing
	case s.resting(t):
		return IdleResting
	}
	reason := IdleFragment
	for _, k := range waiting {
		if k.job.Service != t.Service || !t.free.fits(k.step.need()) {
			continue
		}
		if s.isCandidate(t, k) && s.canStartNow(t, k) {
			return IdleDeclined
		}
		reason = IdleConstrained
	}
	return reason
}
