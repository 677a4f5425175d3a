package scheduler

import (
	"slices"
	"time"
)

// admit decides whether to accept a new job. If not, it returns the reason.
func (s *Scheduler) admit(j *job) (Reason, bool) {
	if s.draining {
		return ReasonDraining, false
	}
	fits, listed := true, false
	for i := range j.Steps {
		ok := false
		for _, t := range s.sortedTargets {
			if t.Service != j.Service || t.removed {
				continue
			}
			listed = true
			whole := capacity{t.CPU, t.MemoryMB, t.Accelerators}
			labelled := j.Steps[i].Label == "" || slices.Contains(t.Labels, j.Steps[i].Label)
			ok = ok || whole.fits(j.Steps[i].need()) && labelled
		}
		fits = fits && ok
	}
	switch {
	case !listed:
		return ReasonNoTarget, false
	case !fits:
		return ReasonNeverFits, false
	}
	if !slices.ContainsFunc(s.sortedTargets, func(t *target) bool { return t.usable() && t.Service == j.Service }) {
		return ReasonNoTarget, false
	}
	if s.refusesQueue(j.Queue) {
		return ReasonOverloaded, false
	}
	if s.bestExpectedValue(j) < s.policy.MinExpectedValue {
		return s.admitOverdue(j)
	}
	if j.MustStartNow {
		return ReasonBusy, s.canStartAllNow(j)
	}
	return "", true
}

// admitOverdue decides whether to accept a job that has missed its objective by so much
// that it may not take room from others, for example because its body took long to
// arrive. Its caller still waits for the answer, so that it gets room that is idle.
func (s *Scheduler) admitOverdue(j *job) (Reason, bool) {
	j.overdue, j.late = true, true
	if s.bestExpectedValue(j) < s.policy.MinExpectedValue {
		return ReasonDeadline, false
	}
	if !s.canStartAllNow(j) {
		return ReasonOverloaded, false
	}
	return "", true
}

// canStartAllNow reports whether all ready tasks can start at once on targets
// whose expected value is close to that of the best target.
func (s *Scheduler) canStartAllNow(j *job) bool {
	if slices.ContainsFunc(s.queue, func(q *job) bool { return !q.late }) {
		return false
	}
	type reservation struct {
		t    *target
		need capacity
	}
	var reservations []reservation
	fits, minValue := true, s.bestExpectedValue(j)-s.policy.MaxValueLoss
	for _, ts := range j.tasks {
		for _, k := range ts {
			if !fits || !k.waiting() {
				continue
			}
			t := s.chooseTarget(k)
			if t == nil || s.expectedValue(k, s.baseRunTime(k), t, 0) < minValue {
				fits = false
				continue
			}
			t.free.add(k.step.need(), -1)
			reservations = append(reservations, reservation{t, k.step.need()})
		}
	}
	for _, r := range reservations {
		r.t.free.add(r.need, 1)
	}
	return fits
}

// latestUsefulEnd returns the time after which an answer has no value to the
// caller.
func (s *Scheduler) latestUsefulEnd(j *job) time.Time {
	return earliest(j.Deadline, s.worthlessAfter(j))
}

// worthlessAfter returns the time at which the latency objective is missed by so
// much that an answer no longer has a value, or is not worth the room of others.
func (s *Scheduler) worthlessAfter(j *job) time.Time {
	if j.overdue {
		return j.Deadline
	}
	return j.Arrived.Add(time.Duration(s.policy.LateFactor * float64(j.objective)))
}

// forecastWait forecasts the time until the tasks of j start after the queued
// jobs before it. If j is nil, it forecasts the wait behind the whole queue.
// It counts only the targets and jobs of a service, unless service is empty.
func (s *Scheduler) forecastWait(j *job, service string) time.Duration {
	var rate, releases, free float64
	for _, t := range s.sortedTargets {
		if !t.usable() || service != "" && t.Service != service {
			continue
		}
		rate += float64(t.CPU) * packingEfficiency
		free += float64(t.free.cpu)
		for _, r := range t.sortedRuns() {
			left := r.started.Add(r.expected).Sub(s.now)
			releases += float64(r.need.cpu) / float64(max(left, 20*time.Millisecond))
		}
	}
	if rate == 0 {
		return time.Minute
	}
	ahead, demand := 0.0, 0.0
	for _, q := range s.queue {
		if q == j || service != "" && q.Service != service || j != nil && compareJobs(q, j) > 0 {
			continue
		}
		w, c := s.unplacedWork(q)
		ahead += w
		demand += c
	}
	if j != nil {
		_, c := s.unplacedWork(j)
		demand += c
	}
	missing := demand - free*packingEfficiency
	if missing <= 0 {
		return 0
	}
	if releases == 0 {
		return time.Duration(ahead / rate)
	}
	return time.Duration(min(missing/releases, float64(time.Minute)) + ahead/rate)
}

// unplacedWork returns the total work and CPU of the waiting tasks. cpu is in
// thousandths of a core, and work is in thousandths of a core times nanoseconds.
func (s *Scheduler) unplacedWork(j *job) (work, cpu float64) {
	for i, ts := range j.tasks {
		if !j.ready(i) {
			continue
		}
		st := &j.Steps[i]
		base := float64(s.model.BaseRunTime(j.Queue, st.Estimate))
		for _, k := range ts {
			if k.waiting() {
				cpu += float64(st.CPU)
				work += float64(st.CPU) * base
			}
		}
	}
	return work, cpu
}
