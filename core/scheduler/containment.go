package scheduler

import (
	"maps"
	"slices"
	"time"
)

// The jobs of one queue may crash target after target, each by another task. Nothing
// is known of a task before its first start, but a queue whose tasks were on most of
// the targets that were lost can be kept apart from the others.
const (
	// lossWindow is how long a lost target counts against the queues of its tasks. It
	// is about the time in which a crashed target returns.
	lossWindow = 5 * time.Second
	// minContainedLosses is the number of lost targets from which on a queue is
	// contained. A target that ran tasks of several queues counts for each in part.
	minContainedLosses = 1.5
	// minBlameRatio is the ratio to the losses of the next queue from which on a queue
	// is contained.
	minBlameRatio = 1.5
	// maxLostShare is the share of an owner's targets that a contained queue may have
	// crashed when its new jobs are refused.
	maxLostShare = 1.0 / 3
	// containmentInterval is the least time between two updates of the containment.
	containmentInterval = 20 * time.Millisecond
	// commonLossTime is the time within which targets are lost together, and
	// minCommonLosses and minCommonShare are the number and the share of the targets
	// from which on a common cause is assumed.
	commonLossTime  = 100 * time.Millisecond
	minCommonLosses = 4
	minCommonShare  = 1.0 / 4
	// maxRecordedQueues is the number of queues from which on those that are no longer
	// in use are forgotten.
	maxRecordedQueues = 256
	// mixingPenalty is the expected value that is given up to keep the tasks of a
	// contained queue apart from those of other queues.
	mixingPenalty = 0.2
)

// containment is the queue that is contained, if any.
type containment struct {
	queue string
	// full is set while new jobs of the queue are refused.
	full bool
}

// recordLoss records the queues of the runs on a target that closes its connections.
func (s *Scheduler) recordLoss(t *target) {
	t.lostAt, t.lostQueues = s.now, nil
	s.containedAt = time.Time{}
	for _, r := range t.runs {
		if r.queue != "" && !slices.Contains(t.lostQueues, r.queue) {
			t.lostQueues = append(t.lostQueues, r.queue)
		}
	}
	if len(t.lostQueues) > 0 {
		s.lastLossAt = s.now
	}
}

// lossRefuted forgets the loss of a target that has answered again without a restart.
func (t *target) lossRefuted() { t.lostQueues = nil }

// hasCommonCause reports whether the target was lost together with so many others that
// its tasks are not the likely cause.
func (s *Scheduler) hasCommonCause(t *target) bool {
	lost, all := 0, 0
	for _, o := range s.sortedTargets {
		if o.removed && o != t {
			continue
		}
		all++
		if !o.lostAt.IsZero() && o.lostAt.Sub(t.lostAt).Abs() < commonLossTime {
			lost++
		}
	}
	return lost >= max(minCommonLosses, int(minCommonShare*float64(all)))
}

// updateContainment finds the queue whose tasks were on most of the targets lost.
func (s *Scheduler) updateContainment() {
	if s.now.Sub(s.containedAt) < containmentInterval {
		return
	}
	s.containedAt, s.contained = s.now, containment{}
	if s.lastLossAt.IsZero() || s.now.Sub(s.lastLossAt) > lossWindow {
		return
	}
	losses := map[string]float64{}
	lost, usable := 0, 0
	for _, t := range s.sortedTargets {
		if t.usable() {
			usable++
		}
		if len(t.lostQueues) == 0 || s.now.Sub(t.lostAt) > lossWindow {
			continue
		}
		lost++
		for _, queue := range t.lostQueues {
			losses[queue] += 1 / float64(len(t.lostQueues))
		}
	}
	var first, second float64
	var queue string
	for q, n := range losses {
		switch {
		case n > first || n == first && q < queue:
			first, second, queue = n, first, q
		case n > second:
			second = n
		}
	}
	if first < minContainedLosses || first < minBlameRatio*second {
		return
	}
	s.contained = containment{
		queue: queue, full: first >= maxLostShare*float64(usable+lost) && s.otherQueuesInUse(queue),
	}
}

// otherQueuesInUse reports whether jobs of other queues have arrived within lossWindow.
func (s *Scheduler) otherQueuesInUse(queue string) bool {
	for q, at := range s.lastSubmit {
		if q != queue && s.now.Sub(at) <= lossWindow {
			return true
		}
	}
	return false
}

// recordSubmit records that a job of the queue has arrived. It forgets queues that are
// no longer in use.
func (s *Scheduler) recordSubmit(queue string) {
	s.lastSubmit[queue] = s.now
	if len(s.lastSubmit) > maxRecordedQueues {
		maps.DeleteFunc(s.lastSubmit, func(_ string, at time.Time) bool { return s.now.Sub(at) > lossWindow })
	}
}

// mixes reports whether a start of the task would bring tasks of the contained queue
// together with those of others.
func (s *Scheduler) mixes(t *target, k *task) bool {
	if s.contained.queue == "" {
		return false
	}
	inside := k.job.Queue == s.contained.queue
	for _, r := range t.runs {
		if (r.queue == s.contained.queue) != inside {
			return true
		}
	}
	return false
}

// refusesQueue reports whether new jobs of the queue are refused because its tasks
// have crashed too many targets.
func (s *Scheduler) refusesQueue(queue string) bool {
	return s.contained.full && s.contained.queue == queue
}
