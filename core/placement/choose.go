package placement

import (
	"slices"
	"sort"
	"time"
)

const (
	// sortEvery bounds how often a service's targets are ordered anew.
	sortEvery = 100 * time.Millisecond
	// freshReport is how long a report of free slots allows a start outside
	// the assigned slots.
	freshReport = 50 * time.Millisecond
	// unreportedFrom is the backlog from which a target may be tried of which
	// nothing is known.
	unreportedFrom = 4 * time.Second
	// shortPart is the part of the assigned slots that must be left, or else
	// the targets of other availability zones are used without a report, up to
	// spillPart of each one's slots.
	shortPart = 4
	spillPart = 4
	// withinShare is the part of a job's time that the forecast of a task on a
	// slow target may take up, because forecasts err. With 0.6 or 0.9 the p99
	// slowdown at fourfold speeds was 1.75 or 1.63 instead of 1.58.
	withinShare = 0.75
	// criticalShare is the share of the waiting tasks that decide when their
	// job ends, so that a wait delays the job. With 1 or 0.05 the p99 slowdown
	// at fourfold speeds was 1.9 or 1.8 instead of 1.7.
	criticalShare = 0.25
	// unsizedFactor makes waiting count for more where forecasts do not tell
	// short tasks from long ones, because the short ones suffer most. With 1 the
	// p99 slowdown with wrong declared times was 3.5 instead of 2.9.
	unsizedFactor = 4
	// reserve is the number of reported free slots that are left to their
	// owner, because two instances that both take the last one collide.
	reserve = 2
)

// Result says what Choose found.
type Result int

// The verdicts of Choose.
const (
	// Found says that there is a target for the task.
	Found Result = iota + 1
	// NotSuitable says that slots are free but the task must not or should rather
	// not use them; a task of another job may.
	NotSuitable
	// NoFreeSlot says that no slot is likely to be free.
	NoFreeSlot
)

// Choose returns the target on which the task is expected to complete first,
// unless waiting for a slot on a faster target is expected to pay.
func (t *Table) Choose(now time.Time, n Request) (Choice, Result) {
	s := t.services[n.Service]
	if s == nil || len(s.order) == 0 {
		return Choice{}, NoFreeSlot
	}
	if now.Sub(s.sortedAt) >= sortEvery || len(s.free[0]) == 0 {
		t.sort(now, s)
	}
	base := s.base(n.Declared)
	verdict := NoFreeSlot
	borrow := t.backlog(s, n.Waiting) >= t.cfg.MinBorrowBacklog
	for tier := range tiers {
		if tier != assigned && !borrow {
			break
		}
		p, free := t.first(now, s, tier, &n)
		if q := s.slowest(tier, base, &n); q != nil && tier == assigned {
			return q.choice(base, 0), Found
		}
		if free {
			verdict = NotSuitable
		}
		if p == nil {
			continue
		}
		extra := 0.0
		if tier == otherZone {
			extra = float64(t.cfg.CrossZonePenalty)
		}
		if s.waitPays(p, base, extra, &n) {
			return Choice{}, NotSuitable
		}
		return p.choice(base, extra), Found
	}
	if !s.hasAssigned(&n) {
		if p := s.elsewhere(&n); p != nil {
			return p.choice(base, float64(t.cfg.CrossZonePenalty)), Found
		}
		return Choice{}, NotSuitable
	}
	if !n.AllowUnreported || t.backlog(s, n.Waiting) < unreportedFrom {
		return Choice{}, verdict
	}
	if p := s.unreported(&n); p != nil {
		c := p.choice(base, 0)
		c.Unreported = true
		return c, Found
	}
	return Choice{}, verdict
}

// backlog forecasts how long the waiting tasks occupy the assigned slots.
func (t *Table) backlog(s *service, ahead int) time.Duration {
	if t.shares == 0 {
		return time.Hour
	}
	return time.Duration(s.mean * float64(ahead) / float64(t.shares))
}

func (p *pair) choice(base, extra float64) Choice {
	return Choice{Target: p.target.Name, Address: p.target.address, Expected: time.Duration(base*p.slowness + extra)}
}

// HasSuitableTarget says whether any target that is not leaving is large enough for the
// task and has not been tried.
func (t *Table) HasSuitableTarget(n Request) bool {
	s := t.services[n.Service]
	return s != nil && slices.ContainsFunc(s.order, func(p *pair) bool {
		return !p.target.gone() && p.target.holds(&n) && !slices.Contains(n.Tried, p.target.Name)
	})
}

// ChooseForProbe returns the choice of a target under a limit, for a single task that
// shows whether it works again.
func (t *Table) ChooseForProbe(on string, n Request) (Choice, bool) {
	p := t.pair(on, n.Service)
	if p == nil || p.target.gone() || !p.target.fits(&n) || slices.Contains(n.Tried, on) {
		return Choice{}, false
	}
	return p.choice(p.service.base(n.Declared), 0), true
}

// hasAssigned says whether the task can wait for an assigned slot at all. It
// cannot where it was tried on all such targets, or where none is large enough.
func (s *service) hasAssigned(n *Request) bool {
	for _, p := range s.order {
		tg := p.target
		if tg.share > 0 && tg.usable() && tg.holds(n) && !slices.Contains(n.Tried, tg.Name) {
			return true
		}
	}
	return false
}

// elsewhere returns the fastest target without assigned slots that may have a
// free one, those of the own availability zone first.
func (s *service) elsewhere(n *Request) *pair {
	var found *pair
	for _, p := range s.order {
		if tg := p.target; tg.share > 0 || !tg.usable() || !tg.mayHaveRoom(s) || !p.allows(n) {
			continue
		}
		if p.target.sameAZ {
			return p
		}
		if found == nil {
			found = p
		}
	}
	return found
}

// holds says whether the idle target is large enough for the task.
func (t *target) holds(n *Request) bool {
	return n.MemoryMB <= t.MemoryMB && n.Accelerators <= t.Accelerators
}

// mayHaveRoom says whether one more start is within the part of the slots that
// may be used without a report, and within what is believed to be free.
func (t *target) mayHaveRoom(s *service) bool {
	return t.outstanding < min(t.connCap, max(1, t.Slots/spillPart)) && t.freeSlots(s) > 0
}

// freeSlots is the number of slots that are believed to be free.
func (t *target) freeSlots(s *service) int {
	others := t.others
	// A slot that another instance borrowed is free again after about one run
	// time, and no reply says so where none is awaited.
	if s.sortedAt.Sub(t.reportedAt) > time.Duration(s.mean) {
		others = min(others, t.Slots-max(t.share, 1))
	}
	return t.Slots - t.outstanding - others
}

// unreported returns a target on which this instance has no attempt, so that
// no reply will say whether it has a free slot.
func (s *service) unreported(n *Request) *pair {
	for _, p := range s.order {
		if p.target.usable() && p.target.outstanding == 0 && p.target.fits(n) && !slices.Contains(n.Tried, p.target.Name) {
			return p
		}
	}
	return nil
}

// first returns the fastest target of a tier that the task may use, and
// whether the tier has a free slot at all.
func (t *Table) first(now time.Time, s *service, tier int, n *Request) (found *pair, free bool) {
	for i := s.free[tier].next(0); i >= 0; i = s.free[tier].next(i + 1) {
		p := s.order[i]
		if tier != assigned && now.Sub(p.target.reportedAt) > freshReport && !t.shortOfSlots {
			s.free[tier].set(i, false)
			continue
		}
		free = true
		if p.allows(n) {
			return p, true
		}
	}
	return nil, free
}

// slowest returns the slowest target of a tier on which the task still ends
// within the time that its job needs anyway, so that the fast ones are left to
// the tasks that decide when their job ends.
func (s *service) slowest(tier int, base float64, n *Request) *pair {
	limit := float64(n.RunTimeBudget) * withinShare / base
	if limit < s.order[0].slowness {
		return nil
	}
	end := sort.Search(len(s.order), func(i int) bool { return s.order[i].slowness > limit })
	for i := s.free[tier].prev(end - 1); i >= 0; i = s.free[tier].prev(i - 1) {
		if p := s.order[i]; p.allows(n) && p.slowness <= limit {
			return p
		}
	}
	return nil
}

// allows says whether the task may run on the target at all.
func (p *pair) allows(n *Request) bool {
	return p.target.fits(n) && !slices.Contains(n.Tried, p.target.Name) && !(n.HealthyOnly && p.target.limit > 0)
}

// waitPays says whether the task should rather wait for a slot on a clearly
// faster target, given how many tasks wait.
func (s *service) waitPays(p *pair, base, extra float64, n *Request) bool {
	f := s.faster[p.pos]
	if f.slots == 0 || len(n.Tried) > 0 {
		return false
	}
	ahead := float64(n.Waiting) * unsizedFactor
	if s.sized(n.Declared) {
		ahead = float64(n.Waiting) * criticalShare
	}
	wait := s.mean * max(ahead, 1) / f.rate
	return base*p.slowness+extra > wait+base*f.slots/f.rate && s.fasterBusy(p, n)
}

// fasterBusy says whether an attempt runs on a clearly faster target that the
// task may use, so that its end lets the task be looked at again.
func (s *service) fasterBusy(p *pair, n *Request) bool {
	for _, q := range s.order[:p.pos] {
		if q.class() > p.class()-clearClasses {
			return false
		}
		if q.target.outstanding > 0 && q.target.share > 0 && q.target.usable() && q.target.holds(n) {
			return true
		}
	}
	return false
}

// ExpectedRunTime forecasts a task's run time on an average target.
func (t *Table) ExpectedRunTime(name string, declared time.Duration) time.Duration {
	if s := t.services[name]; s != nil {
		return time.Duration(s.base(declared))
	}
	return declared
}

// TailRunTime returns the learned 95th percentile of a task's run time on a target,
// and whether enough runs support it.
func (t *Table) TailRunTime(name, on string, declared time.Duration) (time.Duration, bool) {
	p := t.pair(on, name)
	if p == nil || p.service.samples < 100 {
		return 0, false
	}
	return time.Duration(p.service.base(declared) * p.slowness * p.service.tail), true
}

// RecordRunTime takes in the run time of a task that was done.
func (t *Table) RecordRunTime(name, on string, declared, took time.Duration) {
	p := t.pair(on, name)
	if p == nil || took <= 0 {
		return
	}
	s := p.service
	base := s.base(declared)
	s.learnTail(float64(took) / (base * p.slowness))
	s.learn(declared, float64(took)/p.slowness)
	p.learn(float64(took), float64(took)/base)
}

func (t *Table) pair(on, name string) *pair {
	n := t.targets[on]
	if n == nil {
		return nil
	}
	for _, p := range n.pairs {
		if p.service.name == name {
			return p
		}
	}
	return nil
}

// refresh rebuilds all indexes after a change of targets, shares or limits.
func (t *Table) refresh() {
	t.shares = 0
	all := 0
	for _, n := range t.targets {
		all += n.share
		if n.usable() {
			t.shares += n.share
		}
	}
	t.shortOfSlots = t.shares*shortPart <= all
	for _, s := range t.services {
		s.sortedAt = time.Time{}
	}
}

// update marks a target's free slots in all its services.
func (t *Table) update(n *target) {
	for _, p := range n.pairs {
		if len(p.service.free[0]) > 0 && p.pos < len(p.service.order) {
			t.mark(p.service.sortedAt, p)
		}
	}
}

func (t *Table) mark(now time.Time, p *pair) {
	n, s := p.target, p.service
	if !n.goneAt.IsZero() && now.Sub(n.goneAt) > directMark {
		t.comeBack(n.Name)
	}
	room := n.usable() && n.outstanding < n.connCap && (n.limit < 0 || n.outstanding < n.limit)
	free := n.freeSlots(s)
	s.free[assigned].set(p.pos, room && n.outstanding < n.share && free > 0)
	borrow := room && free > reserve && !n.reportedAt.IsZero()
	spill := t.shortOfSlots && room && n.mayHaveRoom(s)
	s.free[sameZone].set(p.pos, (borrow || spill) && n.sameAZ)
	s.free[otherZone].set(p.pos, (borrow || spill) && !n.sameAZ)
}
