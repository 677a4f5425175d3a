package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSkippedJobs limits how many jobs without a suitable target one call of
	// place passes over.
	maxSkippedJobs = 16
	// minFastUse is the use of the fast targets that is assumed while they are idle,
	// so that tasks to which all targets are equal leave them free.
	minFastUse = 0.1
	// packingEfficiency is the fraction of the CPU that can be used, because
	// tasks of different sizes do not fill the targets completely.
	packingEfficiency = 0.85
	// minForecastWait is assumed for runs that have exceeded their forecast.
	minForecastWait = 20 * time.Millisecond
)

// compareJobs orders the queue: first the jobs that have started, then those that
// are forecast to be in time, and among them by the latest start that meets the
// objective.
func compareJobs(a, b *job) int {
	if a.started != b.started {
		if a.started {
			return -1
		}
		return 1
	}
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return cmp.Or(a.latestStart().Compare(b.latestStart()), cmp.Compare(a.ID, b.ID))
}

// place starts tasks of the queued jobs, in the order of the queue.
func (s *Scheduler) place() {
	s.reserved = nil
	if len(s.queue) == 0 {
		return
	}
	slices.SortStableFunc(s.queue, compareJobs)
	skipped, maxFree := 0, s.maxFreeCPU()
	for _, j := range slices.Clone(s.queue) {
		if skipped >= maxSkippedJobs {
			return
		}
		if s.placeJob(j, maxFree) {
			maxFree = s.maxFreeCPU()
		}
		if j.unplaced > 0 {
			skipped++
		} else {
			s.dequeue(j)
		}
	}
}

// maxFreeCPU returns the largest free CPU of a target that accepts work, in
// thousandths of a core. Tasks that need more are skipped without a search.
func (s *Scheduler) maxFreeCPU() int64 {
	most := int64(-1)
	for _, t := range s.sortedTargets {
		if t.acceptsWork() || t.serving() && s.isJustLeaving(t) {
			most = max(most, t.free.cpu)
		}
	}
	return most
}

// placeJob starts the tasks of a job for which there is a target, and reports
// whether it started any.
func (s *Scheduler) placeJob(j *job, maxFree int64) (placed bool) {
	for _, ts := range j.tasks {
		for _, k := range ts {
			if !k.waiting() {
				continue
			}
			if k.step.CPU > maxFree {
				break
			}
			t := s.chooseTarget(k)
			if t == nil && k.crashes.all > 0 {
				s.reserve(k)
				continue
			}
			if t == nil {
				break
			}
			s.startTask(k, t)
			j.unplaced--
			placed = true
		}
	}
	return placed
}

// chooseTarget returns the best target for a task, or nil if none has free
// capacity or it is better to wait for a faster one.
func (s *Scheduler) chooseTarget(k *task) *target {
	if s.givenUpRuns[k.id] > 0 {
		// A run of an earlier submission may go on.
		return nil
	}
	if k.held() || s.now.Before(k.recordTimeout) || k.suspect() && !s.mayIsolate(k) || !k.job.started && s.refusesQueue(k.job.Queue) {
		return nil
	}
	var best *target
	var bestScore, bestValue float64
	base, slownessWeight := s.baseRunTime(k), s.slownessWeight(k.job.Service)
	for _, t := range s.sortedTargets {
		if !s.canStartNow(t, k) || !s.isCandidate(t, k) {
			continue
		}
		value := s.expectedValue(k, base, t, 0)
		score := value + s.preference(k, t, slownessWeight)
		if s.mixes(t, k) {
			score -= mixingPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore, bestValue = t, score, value
		}
	}
	if best != nil && s.worthWaiting(k, base, bestValue+s.policy.WaitGain) {
		return nil
	}
	return best
}

// worthWaiting reports whether the task's expected value exceeds a threshold on
// a target that has no free capacity yet.
func (s *Scheduler) worthWaiting(k *task, base time.Duration, threshold float64) bool {
	if threshold >= 1 || len(k.avoid) > 0 || k.suspect() {
		return false
	}
	return slices.ContainsFunc(s.sortedTargets, func(t *target) bool {
		// waitForCapacity costs more than expectedValue, so that it comes last.
		return !s.canStartNow(t, k) && s.isCandidate(t, k) && s.expectedValue(k, base, t, 0) > threshold &&
			s.expectedValue(k, base, t, t.waitForCapacity(k.step.need(), s.now)) > threshold
	})
}

// slownessWeight returns the weight of a target's slowness, which grows with the
// use of the fast targets.
func (s *Scheduler) slownessWeight(service string) float64 {
	return s.policy.SlownessWeight * max(s.usedFastCPU(service), minFastUse)
}

// usedFastCPU returns the used share of the CPU of the service's targets that are
// faster than the average, between 0 and 1.
func (s *Scheduler) usedFastCPU(service string) float64 {
	var free, total int64
	for _, t := range s.sortedTargets {
		if t.Service == service && t.usable() && s.model.Slowness(t.ID) < 1 {
			free += t.free.cpu
			total += t.CPU
		}
	}
	return 1 - float64(free)/float64(max(total, 1))
}

// preference ranks targets with similar expected values: slow ones first,
// because other tasks need the fast ones, then those with little CPU left.
func (s *Scheduler) preference(k *task, t *target, slownessWeight float64) float64 {
	slow := math.Log(s.model.Slowness(t.ID))
	rest := float64(t.free.cpu-k.step.CPU) / float64(max(t.CPU, 1))
	return slownessWeight*min(max(slow, -1), 1) - s.policy.FreeCapacityWeight*rest
}

// waitForCapacity forecasts the time until enough runs of a target have ended to
// free the capacity need.
func (t *target) waitForCapacity(need capacity, now time.Time) time.Duration {
	runs := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.end().Compare(b.end()) })
	free := t.free
	for _, r := range runs {
		free.add(r.need, 1)
		if free.fits(need) {
			return max(r.end().Sub(now), minForecastWait)
		}
	}
	return time.Minute
}

func (r *run) end() time.Time { return r.started.Add(r.expected) }

// expectedRunTime forecasts the run time of a task on a target. base is the
// forecast on a target of average speed.
func (s *Scheduler) expectedRunTime(k *task, base time.Duration, t *target) time.Duration {
	d := float64(base) * s.model.Slowness(t.ID)
	if k.step.Rack != "" && !slices.Contains(t.Labels, k.step.Rack) {
		d *= max(1, s.cfg.RemoteRackFactor)
	}
	return time.Duration(d)
}

// baseRunTime forecasts a task's run time on a target of average speed. The tasks
// of a step have similar run times, so that completed ones predict the run time
// better than the caller's estimate.
func (s *Scheduler) baseRunTime(k *task) time.Duration {
	if d := k.job.stepRuns[k.id.Step].meanBase(); d > 0 {
		return d
	}
	return s.model.BaseRunTime(k.job.Queue, k.step.Estimate)
}

// isCandidate reports whether the task may start on the target once it has free
// capacity.
func (s *Scheduler) isCandidate(t *target, k *task) bool {
	if t.Service != k.job.Service || !t.clock.Known() || !s.acceptsTask(t, k) || s.resting(t) {
		return false
	}
	whole := capacity{t.CPU, t.MemoryMB, t.Accelerators}
	if !whole.fits(k.step.need()) || slices.Contains(k.avoid, t.ID) && s.hasAlternative(k) {
		return false
	}
	return s.meetsConstraints(t, k)
}

// canStartNow reports whether a candidate has the capacity to start the task now.
// After an ejection, a target runs one task at a time until a run succeeds.
func (s *Scheduler) canStartNow(t *target, k *task) bool {
	if k.suspect() && len(t.runs) > 0 || !k.suspect() && (t.isolatedRuns > 0 || t == s.reserved) {
		return false
	}
	return t.free.fits(k.step.need()) && (t.consecutiveBadRuns < s.policy.EjectAfter || len(t.runs) == 0) && s.canLease(t, k)
}

// meetsConstraints reports whether the target has the step's label and runs fewer
// than MaxPerTarget of its tasks.
func (s *Scheduler) meetsConstraints(t *target, k *task) bool {
	st := k.step
	if st.Label != "" && !slices.Contains(t.Labels, st.Label) {
		return false
	}
	if st.MaxPerTarget <= 0 {
		return true
	}
	n := 0
	for _, r := range t.runs {
		if r.id.Task.Job == k.id.Job && r.id.Task.Step == k.id.Step {
			n++
		}
	}
	return n < st.MaxPerTarget
}

// hasAlternative reports whether there is a target that the task does not avoid.
func (s *Scheduler) hasAlternative(k *task) bool {
	return slices.ContainsFunc(s.sortedTargets, func(t *target) bool {
		return t.usable() && t.Service == k.job.Service && !slices.Contains(k.avoid, t.ID) && s.meetsConstraints(t, k)
	})
}
