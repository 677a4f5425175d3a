package placement

import (
	"slices"
	"sort"
	"time"
)

const (
	// resortInterval is the minimum time between two sorts of the targets of a
	// service.
	resortInterval = 100 * time.Millisecond
	// reportFreshness is how long a report of free slots allows starts outside the
	// assigned slots.
	reportFreshness = 50 * time.Millisecond
	// minUnreportedBacklog is the backlog from which a target with unknown load may
	// be tried.
	minUnreportedBacklog = 4 * time.Second
	// If at most 1/shortageDivisor of the assigned slots is on usable targets,
	// other slots are used without a report too, up to 1/spillDivisor of the slots
	// of each target.
	shortageDivisor = 4
	spillDivisor    = 4
	// runTimeBudgetShare is the fraction of the run time budget that the forecast
	// of a task on a slow target may use. It leaves a margin for forecast errors.
	// With 0.6 or 0.9, the p99 slowdown was 1.75 or 1.63 instead of 1.58 where
	// target speeds differ by a factor of four.
	runTimeBudgetShare = 0.75
	// criticalShare is the assumed fraction of waiting tasks that determine when
	// their job ends. Only they need a fast target, so only they count as ahead
	// in the wait for one. With 1 or 0.05, the p99 slowdown was 1.9 or 1.8 instead
	// of 1.7 where target speeds differ by a factor of four.
	criticalShare = 0.25
	// unreliableWaitFactor increases the forecast wait if forecasts do not
	// distinguish short tasks from long ones, because waiting slows short tasks
	// down most. With 1, the p99 slowdown with wrong declared times was 3.5
	// instead of 2.9.
	unreliableWaitFactor = 4
	// reservedFreeSlots is the number of reported free slots that are not
	// borrowed. They stay with the instances to which they are assigned, because
	// two instances that both use the last free slot collide.
	reservedFreeSlots = 2
)

// Result reports whether Choose found a target and, if not, why.
type Result int

// The results of Choose.
const (
	// Found means that a target was chosen.
	Found Result = iota + 1
	// NotSuitable means that no free slot is suitable for the task, or that the
	// task should wait for a faster target. Tasks of other jobs may still be
	// placed.
	NotSuitable
	// NoFreeSlot means that no slot is likely to be free.
	NoFreeSlot
)

// Choose returns the target on which the task is expected to complete first. It
// chooses no target if the task is expected to complete earlier by waiting for a
// slot on a faster one. A task that does not delay its job gets a slow target
// instead, so that fast ones stay free.
func (t *Table) Choose(now time.Time, r Request) (Choice, Result) {
	s := t.services[r.Service]
	if s == nil || len(s.order) == 0 {
		return Choice{}, NoFreeSlot
	}
	if now.Sub(s.sortedAt) >= resortInterval || len(s.free[0]) == 0 {
		t.sort(now, s)
	}
	base := s.baseRunTime(r.Declared)
	result := NoFreeSlot
	borrow := t.backlog(s, r.Waiting) >= t.cfg.MinBorrowBacklog
	for tier := range tiers {
		if tier != assigned && !borrow {
			break
		}
		p, free := t.fastestFree(now, s, tier, &r)
		if q := s.slowestWithinBudget(tier, base, &r); q != nil && tier == assigned {
			return q.choice(base, 0), Found
		}
		if free {
			result = NotSuitable
		}
		if p == nil {
			continue
		}
		extra := 0.0
		if tier == otherZone {
			extra = float64(t.cfg.CrossZonePenalty)
		}
		if s.shouldWait(p, base, extra, &r) {
			return Choice{}, NotSuitable
		}
		return p.choice(base, extra), Found
	}
	if !s.hasAssignedTarget(&r) {
		if p := s.unassignedTarget(&r); p != nil {
			return p.choice(base, float64(t.cfg.CrossZonePenalty)), Found
		}
		return Choice{}, NotSuitable
	}
	if !r.AllowUnreported || t.backlog(s, r.Waiting) < minUnreportedBacklog {
		return Choice{}, result
	}
	if p := s.unreportedTarget(&r); p != nil {
		c := p.choice(base, 0)
		c.Unreported = true
		return c, Found
	}
	return Choice{}, result
}

// backlog forecasts how long the assigned slots need for the waiting tasks.
func (t *Table) backlog(s *service, waiting int) time.Duration {
	if t.assignedSlots == 0 {
		return time.Hour
	}
	return time.Duration(s.mean * float64(waiting) / float64(t.assignedSlots))
}

func (p *profile) choice(base, extra float64) Choice {
	return Choice{Target: p.target.Name, Address: p.target.address, Expected: time.Duration(base*p.slowness + extra)}
}

// HasSuitableTarget reports whether any target that is not leaving is large enough
// for the task and has not been tried. The target may have no free slot.
func (t *Table) HasSuitableTarget(r Request) bool {
	s := t.services[r.Service]
	return s != nil && slices.ContainsFunc(s.order, func(p *profile) bool {
		return !p.target.isLeaving() && p.target.isLargeEnough(&r) && !slices.Contains(r.Tried, p.target.Name)
	})
}

// ChooseForProbe returns the choice of the named target, even if it is excluded by
// a limit, for a task that probes whether the target works again. It returns false
// if the target is leaving, has been tried, or has too little free memory or too
// few free accelerators for the task.
func (t *Table) ChooseForProbe(targetName string, r Request) (Choice, bool) {
	p := t.profile(targetName, r.Service)
	if p == nil || p.target.isLeaving() || !p.target.hasCapacity(&r) || slices.Contains(r.Tried, targetName) {
		return Choice{}, false
	}
	return p.choice(p.service.baseRunTime(r.Declared), 0), true
}

// hasAssignedTarget reports whether any usable target with assigned slots is large
// enough for the task and has not been tried. If none is, waiting for an assigned
// slot is useless.
func (s *service) hasAssignedTarget(r *Request) bool {
	for _, p := range s.order {
		tg := p.target
		if tg.assignedSlots > 0 && tg.usable() && tg.isLargeEnough(r) && !slices.Contains(r.Tried, tg.Name) {
			return true
		}
	}
	return false
}

// unassignedTarget returns the fastest target without assigned slots that may have
// a free slot. It prefers targets in the availability zone of this instance.
func (s *service) unassignedTarget(r *Request) *profile {
	var found *profile
	for _, p := range s.order {
		if tg := p.target; tg.assignedSlots > 0 || !tg.usable() || !tg.mayHaveSlot(s) || !p.allows(r) {
			continue
		}
		if p.target.sameZone {
			return p
		}
		if found == nil {
			found = p
		}
	}
	return found
}

// isLargeEnough reports whether the target could hold the task if it were idle.
func (t *target) isLargeEnough(r *Request) bool {
	return r.MemoryMB <= t.MemoryMB && r.Accelerators <= t.Accelerators
}

// mayHaveSlot reports whether one more attempt stays within the fraction of slots
// that may be used without a report, and within the estimated free slots.
func (t *target) mayHaveSlot(s *service) bool {
	return t.outstanding < min(t.maxConnections, max(1, t.Slots/spillDivisor)) && t.estimatedFreeSlots(s) > 0
}

// estimatedFreeSlots returns the number of slots that are probably free.
func (t *target) estimatedFreeSlots(s *service) int {
	others := t.otherTasks
	// A slot borrowed by another instance is free again after about one run time.
	// If this instance has no attempt on the target, no reply reports that.
	if s.sortedAt.Sub(t.reportedAt) > time.Duration(s.mean) {
		others = min(others, t.Slots-max(t.assignedSlots, 1))
	}
	return t.Slots - t.outstanding - others
}

// unreportedTarget returns the fastest usable target on which this instance has no
// attempt in flight. No reply will report the free slots of such a target.
func (s *service) unreportedTarget(r *Request) *profile {
	for _, p := range s.order {
		if p.target.usable() && p.target.outstanding == 0 && p.target.hasCapacity(r) && !slices.Contains(r.Tried, p.target.Name) {
			return p
		}
	}
	return nil
}

// fastestFree returns the fastest target with a free slot in a tier that the task
// may use, and whether the tier has any free slot.
func (t *Table) fastestFree(now time.Time, s *service, tier int, r *Request) (found *profile, free bool) {
	for i := s.free[tier].next(0); i >= 0; i = s.free[tier].next(i + 1) {
		p := s.order[i]
		if tier != assigned && now.Sub(p.target.reportedAt) > reportFreshness && !t.shortOfSlots {
			s.free[tier].set(i, false)
			continue
		}
		free = true
		if p.allows(r) {
			return p, true
		}
	}
	return nil, free
}

// slowestWithinBudget returns the slowest target in a tier on which the task still
// ends within its run time budget. The fast targets stay free for tasks that
// determine when their job ends.
func (s *service) slowestWithinBudget(tier int, base float64, r *Request) *profile {
	limit := float64(r.RunTimeBudget) * runTimeBudgetShare / base
	if limit < s.order[0].slowness {
		return nil
	}
	end := sort.Search(len(s.order), func(i int) bool { return s.order[i].slowness > limit })
	for i := s.free[tier].prev(end - 1); i >= 0; i = s.free[tier].prev(i - 1) {
		if p := s.order[i]; p.allows(r) && p.slowness <= limit {
			return p
		}
	}
	return nil
}

// allows reports whether the task may be sent to the target.
func (p *profile) allows(r *Request) bool {
	return p.target.hasCapacity(r) && !slices.Contains(r.Tried, p.target.Name) && !(r.HealthyOnly && p.target.limit > 0)
}

// shouldWait reports whether the task is expected to complete earlier if it waits
// for a slot on a clearly faster target, given the number of waiting tasks.
func (s *service) shouldWait(p *profile, base, extra float64, r *Request) bool {
	f := s.faster[p.pos]
	if f.slots == 0 || len(r.Tried) > 0 {
		return false
	}
	ahead := float64(r.Waiting) * unreliableWaitFactor
	if s.declaredTimeReliable(r.Declared) {
		ahead = float64(r.Waiting) * criticalShare
	}
	wait := s.mean * max(ahead, 1) / f.rate
	return base*p.slowness+extra > wait+base*f.slots/f.rate && s.fasterTargetBusy(p, r)
}

// fasterTargetBusy reports whether an attempt is in flight on a clearly faster
// target that the task may use. Its end causes the task to be considered again.
func (s *service) fasterTargetBusy(p *profile, r *Request) bool {
	for _, q := range s.order[:p.pos] {
		if q.class() > p.class()-clearlyFasterClasses {
			return false
		}
		if q.target.outstanding > 0 && q.target.assignedSlots > 0 && q.target.usable() && q.target.isLargeEnough(r) {
			return true
		}
	}
	return false
}

// ExpectedRunTime forecasts the run time of a task on an average target.
func (t *Table) ExpectedRunTime(serviceName string, declared time.Duration) time.Duration {
	if s := t.services[serviceName]; s != nil {
		return time.Duration(s.baseRunTime(declared))
	}
	return declared
}

// TailRunTime returns the learned 95th percentile of the run time of a task on a
// target, and whether it is based on enough runs.
func (t *Table) TailRunTime(serviceName, targetName string, declared time.Duration) (time.Duration, bool) {
	p := t.profile(targetName, serviceName)
	if p == nil || p.service.samples < 100 {
		return 0, false
	}
	return time.Duration(p.service.baseRunTime(declared) * p.slowness * p.service.tail), true
}

// RecordRunTime updates the learned run times with a completed task.
func (t *Table) RecordRunTime(serviceName, targetName string, declared, took time.Duration) {
	p := t.profile(targetName, serviceName)
	if p == nil || took <= 0 {
		return
	}
	s := p.service
	base := s.baseRunTime(declared)
	s.updateTail(float64(took) / (base * p.slowness))
	s.recordRunTime(declared, float64(took)/p.slowness)
	p.recordRunTime(float64(took), float64(took)/base)
}

// profile returns what is learned about a target for a service, or nil if the
// target is unknown or does not serve it.
func (t *Table) profile(targetName, serviceName string) *profile {
	tg := t.targets[targetName]
	if tg == nil {
		return nil
	}
	for _, p := range tg.profiles {
		if p.service.name == serviceName {
			return p
		}
	}
	return nil
}

// refresh updates the totals of assigned slots after a change of targets,
// assignments or limits, and causes every service to be sorted again.
func (t *Table) refresh() {
	t.assignedSlots = 0
	all := 0
	for _, tg := range t.targets {
		all += tg.assignedSlots
		if tg.usable() {
			t.assignedSlots += tg.assignedSlots
		}
	}
	t.shortOfSlots = t.assignedSlots*shortageDivisor <= all
	for _, s := range t.services {
		s.sortedAt = time.Time{}
	}
}

// updateFreeSlots updates the free slot sets of all services of a target.
func (t *Table) updateFreeSlots(tg *target) {
	for _, p := range tg.profiles {
		if len(p.service.free[0]) > 0 && p.pos < len(p.service.order) {
			t.markFreeSlots(p.service.sortedAt, p)
		}
	}
}

// markFreeSlots updates the position of a target in the free slot sets of one
// service.
func (t *Table) markFreeSlots(now time.Time, p *profile) {
	tg, s := p.target, p.service
	if !tg.leavingSince.IsZero() && now.Sub(tg.leavingSince) > leavingNoticeTTL {
		t.clearLeaving(tg.Name)
	}
	canStart := tg.usable() && tg.outstanding < tg.maxConnections && (tg.limit < 0 || tg.outstanding < tg.limit)
	free := tg.estimatedFreeSlots(s)
	s.free[assigned].set(p.pos, canStart && tg.outstanding < tg.assignedSlots && free > 0)
	borrow := canStart && free > reservedFreeSlots && !tg.reportedAt.IsZero()
	spill := t.shortOfSlots && canStart && tg.mayHaveSlot(s)
	s.free[sameZone].set(p.pos, (borrow || spill) && tg.sameZone)
	s.free[otherZone].set(p.pos, (borrow || spill) && !tg.sameZone)
}
