package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSkip bounds the jobs that one decision passes over because nothing
	// fits their tasks.
	maxSkip = 16
	// packing is the share of the processors that tasks of odd sizes can use.
	packing = 0.85
	// shortestWait is assumed for runs that have outlasted their forecast.
	shortestWait = 20 * time.Millisecond
)

// compareJobs orders the queue: jobs that have started, then by the latest
// start that meets the objective.
func compareJobs(a, b *job) int {
	if a.started != b.started {
		if a.started {
			return -1
		}
		return 1
	}
	return cmp.Or(a.latestStart().Compare(b.latestStart()), cmp.Compare(a.ID, b.ID))
}

// place starts tasks of the queued jobs, in order, as long as any fits.
func (s *Scheduler) place() {
	if len(s.queue) == 0 {
		return
	}
	slices.SortStableFunc(s.queue, compareJobs)
	skipped, roomiest := 0, s.roomiest()
	for _, j := range slices.Clone(s.queue) {
		if skipped >= maxSkip {
			return
		}
		if s.placeJob(j, roomiest) {
			roomiest = s.roomiest()
		}
		if j.unplaced > 0 {
			skipped++
		} else {
			s.dequeue(j)
		}
	}
}

// roomiest is the most free processors of a target that takes work, in
// thousandths of a core. It spares the search for tasks that need more.
func (s *Scheduler) roomiest() int64 {
	most := int64(-1)
	for _, t := range s.order {
		if t.takesWork() {
			most = max(most, t.free.cpu)
		}
	}
	return most
}

// placeJob starts those tasks of a job that fit, and says whether any did.
func (s *Scheduler) placeJob(j *job, roomiest int64) (placed bool) {
	for _, ts := range j.tasks {
		for _, k := range ts {
			if !k.waiting() {
				continue
			}
			if k.step.CPU > roomiest {
				break
			}
			t := s.choose(k)
			if t == nil {
				break
			}
			s.begin(k, t)
			j.unplaced--
			placed = true
		}
	}
	return placed
}

// choose returns the best target for a task, or nil if none has room or
// waiting for a faster one is worth more.
func (s *Scheduler) choose(k *task) *target {
	var best *target
	var bestScore, bestChance float64
	base := s.base(k)
	for _, t := range s.order {
		if !s.hasRoom(t, k) || !s.candidate(t, k) {
			continue
		}
		c := s.chance(k, base, t, 0)
		if score := c + s.preference(k, t); best == nil || score > bestScore {
			best, bestScore, bestChance = t, score, c
		}
	}
	if best != nil && s.worthWaiting(k, base, bestChance+s.policy.WaitGain) {
		return nil
	}
	return best
}

// worthWaiting says whether the task has more than a chance on a target that
// has no room yet.
func (s *Scheduler) worthWaiting(k *task, base time.Duration, chance float64) bool {
	if chance >= 1 || len(k.avoid) > 0 {
		return false
	}
	return slices.ContainsFunc(s.order, func(t *target) bool {
		// The forecast of when there is room costs more than the chance.
		return !s.hasRoom(t, k) && s.candidate(t, k) && s.chance(k, base, t, 0) > chance &&
			s.chance(k, base, t, t.roomAfter(k.step.need(), s.now)) > chance
	})
}

// preference ranks targets with about equal chances: slow ones first, because
// other tasks need the fast ones, then those that are left with little room.
func (s *Scheduler) preference(k *task, t *target) float64 {
	slow := math.Log(s.model.Slowness(t.ID))
	rest := float64(t.free.cpu-k.step.CPU) / float64(max(t.CPU, 1))
	return s.policy.SlownessWeight*min(max(slow, -1), 1) - s.policy.FreeCapacityWeight*rest
}

// roomAfter forecasts when the runs of a target leave room for need.
func (t *target) roomAfter(need capacity, now time.Time) time.Duration {
	runs := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.end().Compare(b.end()) })
	free := t.free
	for _, r := range runs {
		free.add(r.need, 1)
		if free.fits(need) {
			return max(r.end().Sub(now), shortestWait)
		}
	}
	return time.Minute
}

func (r *run) end() time.Time { return r.started.Add(r.expected) }

// expect forecasts the run time of a task on a target from its base.
func (s *Scheduler) expect(k *task, base time.Duration, t *target) time.Duration {
	d := float64(base) * s.model.Slowness(t.ID)
	if k.step.Rack != "" && !slices.Contains(t.Labels, k.step.Rack) {
		d *= max(1, s.cfg.RemoteRackFactor)
	}
	return time.Duration(d)
}

// base is the forecast of a task's run time on a target of average speed. The
// tasks of a step take about equally long, so that the ones that have ended
// tell more than the estimate.
func (s *Scheduler) base(k *task) time.Duration {
	if d := k.job.ended[k.id.Step].mean(); d > 0 {
		return d
	}
	return s.model.BaseRunTime(k.job.Queue, k.step.Estimate)
}

// candidate says whether the task may start on the target once that has room.
func (s *Scheduler) candidate(t *target, k *task) bool {
	if !t.takesWork() || t.Releasing && !k.job.started || !t.ejectedUntil.IsZero() || t.clockAt.IsZero() || t.Service != k.job.Service {
		return false
	}
	whole := capacity{t.CPU, t.MemoryMB, t.Accelerators}
	if !whole.fits(k.step.need()) || slices.Contains(k.avoid, t.ID) && s.hasOther(k) {
		return false
	}
	return s.allowed(t, k)
}

// hasRoom says whether a candidate can start the task now. After an ejection a
// single task shows whether the target has recovered.
func (s *Scheduler) hasRoom(t *target, k *task) bool {
	return t.free.fits(k.step.need()) && (t.badRuns < s.policy.EjectAfter || len(t.runs) == 0)
}

// allowed checks the constraints of the step.
func (s *Scheduler) allowed(t *target, k *task) bool {
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

// hasOther says whether a target exists that the task need not avoid.
func (s *Scheduler) hasOther(k *task) bool {
	return slices.ContainsFunc(s.order, func(t *target) bool {
		return t.usable() && t.Service == k.job.Service && !slices.Contains(k.avoid, t.ID) && s.allowed(t, k)
	})
}

// admit says whether a new job has a chance, and why not.
func (s *Scheduler) admit(j *job) (Reason, bool) {
	if s.draining {
		return ReasonDraining, false
	}
	fits, listed := true, false
	for i := range j.Steps {
		ok := false
		for _, t := range s.order {
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
	if !slices.ContainsFunc(s.order, func(t *target) bool { return t.usable() && t.Service == j.Service }) {
		return ReasonNoTarget, false
	}
	if s.bestChance(j) < s.policy.MinExpectedValue {
		return ReasonDeadline, false
	}
	if j.MustStartNow {
		return ReasonBusy, s.startsNow(j)
	}
	wait := s.backlog(j)
	end := s.now.Add(wait + j.longest)
	if wait > 0 && end.After(s.limit(j)) {
		return ReasonOverloaded, false
	}
	return "", true
}

// startsNow says whether all tasks that are ready would start at once, on
// targets on which they are forecast to end in time.
func (s *Scheduler) startsNow(j *job) bool {
	if len(s.queue) > 0 {
		return false
	}
	type taken struct {
		t    *target
		need capacity
	}
	var all []taken
	fits, least := true, s.bestChance(j)-s.policy.MaxValueLoss
	for _, ts := range j.tasks {
		for _, k := range ts {
			if !fits || !k.waiting() {
				continue
			}
			t := s.choose(k)
			if t == nil || s.chance(k, s.base(k), t, 0) < least {
				fits = false
				continue
			}
			t.free.add(k.step.need(), -1)
			all = append(all, taken{t, k.step.need()})
		}
	}
	for _, a := range all {
		a.t.free.add(a.need, 1)
	}
	return fits
}

// limit is the time after which the answer is of no use to the caller.
func (s *Scheduler) limit(j *job) time.Time { return earliest(j.Deadline, s.worthless(j)) }

// worthless is when the latency objective is missed by so much that an answer
// has no value left.
func (s *Scheduler) worthless(j *job) time.Time {
	return j.Arrived.Add(time.Duration(s.policy.LateFactor * float64(j.objective)))
}

// hopeless says whether a job that has not started cannot meet its objective.
func (s *Scheduler) hopeless(j *job) bool {
	return s.now.Add(s.backlog(j)).After(j.latestStart())
}

// backlog forecasts the time until the tasks of j start, behind the queued
// jobs that come before it; with nil, those of a job behind all others.
func (s *Scheduler) backlog(j *job) time.Duration {
	var rate, releases, free float64
	for _, t := range s.order {
		if !t.usable() {
			continue
		}
		rate += float64(t.CPU) * packing
		free += float64(t.free.cpu)
		for _, r := range t.runs {
			left := r.started.Add(r.expected).Sub(s.now)
			releases += float64(r.need.cpu) / float64(max(left, 20*time.Millisecond))
		}
	}
	if rate == 0 {
		return time.Minute
	}
	ahead, demand := 0.0, 0.0
	for _, q := range s.queue {
		if q == j || j != nil && compareJobs(q, j) > 0 {
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
	missing := demand - free*packing
	if missing <= 0 {
		return 0
	}
	if releases == 0 {
		return time.Duration(ahead / rate)
	}
	return time.Duration(min(missing/releases, float64(time.Minute)) + ahead/rate)
}

// unplacedWork returns the work and the processors of the waiting tasks, in
// thousandths of a core by nanoseconds and thousandths of a core.
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
