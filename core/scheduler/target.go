package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lookWait is how long a target may wait for an end before it answers a
	// look. The lease is extended by each look, so that a second one still
	// comes in time where the first is lost.
	lookWait = 450 * time.Millisecond
	// probeFirst and probeLast bound the time between two looks at a target
	// that does not answer.
	probeFirst = 250 * time.Millisecond
	probeLast  = 4 * time.Second
	// freshContact is how long an answer shows that a target serves although
	// other orders have none.
	freshContact = 150 * time.Millisecond
	// acknowledgeAfter is how long an idle target's last ends may stay without
	// acknowledgement; a later start makes the extra look unnecessary.
	acknowledgeAfter = 2 * time.Second
	// stopAgain is the time between two attempts to stop a run.
	stopAgain = 200 * time.Millisecond
	// lateStart is how late an unanswered start may still be carried out.
	lateStart = 15 * time.Second
	// leaseMargin is added to the longest possible lease before what ran under
	// it is taken to have ended.
	leaseMargin = 100 * time.Millisecond
	// ejectFirst and ejectLast bound the time for which a target that fails
	// what it runs gets no work.
	ejectFirst = 2 * time.Second
	ejectLast  = 16 * time.Second
	// unhealthyPause is how long a target gets no start after it refused one
	// because it is not healthy.
	unhealthyPause = 250 * time.Millisecond
)

// capacity is room on a target.
type capacity struct{ cpu, memory, accelerators int64 }

func (c capacity) fits(n capacity) bool {
	return n.cpu <= c.cpu && n.memory <= c.memory && n.accelerators <= c.accelerators
}

func (c *capacity) add(n capacity, sign int64) {
	c.cpu += sign * n.cpu
	c.memory += sign * n.memory
	c.accelerators += sign * n.accelerators
}

func (st *Step) need() capacity {
	return capacity{cpu: st.CPU, memory: st.MemoryMB, accelerators: st.Accelerators}
}

// target is what the instance knows of a target that it owns.
type target struct {
	Target
	free capacity
	runs map[RunID]*run
	// synced is set once a look has shown what runs there.
	synced bool
	// removed is set for a target that is gone from the list but whose runs
	// are not settled.
	removed bool

	// clockMS is the target's clock at clockAt.
	clockMS int64
	clockAt time.Time
	// extended is the latest time at which an extension of the lease was sent.
	extended time.Time

	looking bool
	lookAt  time.Time
	// seen is the last end that was taken note of, acknowledged the last one
	// that the target was told.
	seen, acknowledged int64
	// told is the acknowledgement in the look that is on its way.
	told int64
	// fenced is set once another instance holds the target.
	fenced bool
	// failures counts orders in a row without an answer; contact is the time
	// of the last answer.
	failures int
	contact  time.Time

	// badRuns counts failed runs in a row, badJob is the job of the last one.
	badRuns      int
	badJob       string
	ejections    int
	ejectedUntil time.Time
}

// usable says whether tasks of new jobs may be placed there, if they fit.
func (t *target) usable() bool { return t.takesWork() && !t.Releasing }

// takesWork says whether tasks of jobs that have started may be placed there.
func (t *target) takesWork() bool {
	return t.synced && !t.removed && !t.Draining && !t.fenced && t.failures == 0
}

func (s *Scheduler) changeTargets(all []Target) {
	listed := map[string]bool{}
	for _, in := range all {
		listed[in.ID] = true
		t := s.targets[in.ID]
		if t == nil {
			t = &target{Target: in, runs: map[RunID]*run{}, free: capacity{in.CPU, in.MemoryMB, in.Accelerators}}
			s.targets[in.ID] = t
			s.order = append(s.order, t)
			continue
		}
		s.updateTarget(t, in)
	}
	for _, t := range s.order {
		if !listed[t.ID] && !t.removed {
			t.removed = true
			t.lookAt = s.now
		}
	}
	s.order = slices.DeleteFunc(s.order, func(t *target) bool {
		if t.removed && len(t.runs) == 0 {
			delete(s.targets, t.ID)
			return true
		}
		return false
	})
	slices.SortFunc(s.order, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Scheduler) updateTarget(t *target, in Target) {
	if in.Incarnation != t.Incarnation && t.Incarnation != 0 && in.Incarnation != 0 {
		s.reborn(t, in.Incarnation)
	}
	t.free.add(capacity{in.CPU - t.CPU, in.MemoryMB - t.MemoryMB, in.Accelerators - t.Accelerators}, 1)
	if in.Fence != t.Fence {
		t.synced, t.fenced, t.lookAt = false, false, s.now
	}
	born := t.Incarnation
	t.Target = in
	if in.Incarnation == 0 {
		t.Incarnation = born
	}
	t.removed = false
}

// reborn begins a new life of a target. What ran in the old one is gone, but a
// start may have reached the new one already: the next look tells.
func (s *Scheduler) reborn(t *target, born int64) {
	t.Incarnation = born
	t.seen, t.acknowledged, t.told, t.clockAt = 0, 0, 0, time.Time{}
	t.failures, t.badRuns, t.synced, t.lookAt = 0, 0, false, s.now
	s.model.Forget(t.ID)
}

// leaseMS returns the end of a full lease from now on the target's clock.
func (s *Scheduler) leaseMS(t *target) int64 {
	if t.clockAt.IsZero() {
		return 0
	}
	return t.clockMS + s.now.Sub(t.clockAt).Milliseconds() + s.cfg.Lease.Milliseconds()
}

func (t *target) learnClock(ms int64, now time.Time) {
	if ms > 0 {
		t.clockMS, t.clockAt = ms, now
	}
}

// leaseEnd is when everything that runs on a target without contact has lost
// its lease, whatever its clock does.
func (s *Scheduler) leaseEnd(t *target) time.Time {
	longest := time.Duration(float64(s.cfg.Lease) * (1 + s.cfg.MaxClockDrift))
	return t.extended.Add(longest + leaseMargin)
}

// lookAll sends the looks that are due.
func (s *Scheduler) lookAll() {
	for _, t := range s.order {
		if t.lookDue(s.now) {
			s.look(t)
		}
	}
}

func (t *target) lookDue(now time.Time) bool {
	return !t.looking && t.wantsLook() && !now.Before(t.lookAt)
}

func (t *target) wantsLook() bool {
	if t.fenced {
		return false
	}
	return len(t.runs) > 0 || !t.removed && (!t.synced || t.failures > 0 || t.seen > t.acknowledged)
}

// lost says whether the target is out of contact or another's.
func (t *target) lost() bool { return t.fenced || t.failures > 0 }

// wakeTarget is the time of the target's next decision without an event.
func (s *Scheduler) wakeTarget(t *target) time.Time {
	var next time.Time
	if !t.looking && t.wantsLook() {
		next = t.lookAt
	}
	for _, r := range t.runs {
		next = earliest(next, s.wakeRun(r))
	}
	if t.lost() && t.hasWanted() {
		next = earliest(next, s.leaseEnd(t))
	}
	if !t.ejectedUntil.IsZero() {
		next = earliest(next, t.ejectedUntil)
	}
	return next
}

func (s *Scheduler) look(t *target) {
	l := Poll{Target: t.ID, Address: t.Address, Fence: t.Fence, Sent: s.now, AckThrough: t.seen}
	if t.synced && len(t.runs) > 0 {
		l.LeaseMS = s.leaseMS(t)
		l.MaxWait = lookWait
		t.extended = s.now
	}
	t.looking, t.told = true, t.seen
	s.emit(l)
}

func (s *Scheduler) lookEnded(ev PollReturned) {
	t := s.targets[ev.Target]
	if t == nil || !t.looking {
		return
	}
	t.looking = false
	switch {
	case ev.Fenced:
		s.lost(t)
	case !ev.Answered, ev.WrongTarget:
		t.unanswered(s.now)
	default:
		s.seen(t, ev)
	}
	if t.removed && len(t.runs) == 0 {
		delete(s.targets, t.ID)
		s.order = slices.DeleteFunc(s.order, func(o *target) bool { return o == t })
	}
}

// unanswered counts an order without an answer, unless another one was answered
// just now. The target gets no work until it answers again.
func (t *target) unanswered(now time.Time) {
	if now.Sub(t.contact) < freshContact {
		return
	}
	t.failures++
	pause := time.Duration(0)
	if t.failures > 1 {
		pause = min(probeFirst<<min(t.failures-2, 4), probeLast)
	}
	t.lookAt = now.Add(pause)
}

// answered notes that the target has answered an order.
func (t *target) answered(now time.Time) {
	t.contact = now
	if t.failures > 0 {
		t.failures, t.lookAt = 0, now
	}
}

// lost gives up a target that another instance holds. Its new owner stops what
// runs there before it extends the lease, so that every run is over when the
// last lease given here has ended.
func (s *Scheduler) lost(t *target) {
	if t.fenced {
		return
	}
	t.fenced, t.synced = true, false
	s.emit(TargetLost{Target: t.ID, Service: t.Service, Zone: t.Zone, Fence: t.Fence})
}

// seen takes in an answered look.
func (s *Scheduler) seen(t *target, ev PollReturned) {
	if ev.Incarnation != 0 && t.Incarnation != 0 && ev.Incarnation != t.Incarnation {
		s.reborn(t, ev.Incarnation)
	}
	t.learnClock(ev.ClockMS, s.now)
	t.answered(s.now)
	t.lookAt = s.now
	if ev.Incarnation != 0 {
		t.Incarnation = ev.Incarnation
	}
	t.acknowledged = max(t.acknowledged, t.told)
	running := map[RunID]bool{}
	for _, id := range ev.Running {
		running[id] = true
	}
	for _, e := range ev.Completions {
		if e.Number <= t.seen {
			continue
		}
		t.seen = e.Number
		if r := t.runs[e.Run]; r != nil {
			s.ended(r, e.Result)
		}
	}
	s.settle(t, ev, running)
	s.stopForeign(t, ev.Running)
	t.synced = !t.hasForeign()
	s.repeatStops(t)
	if len(t.runs) == 0 {
		t.lookAt = s.now.Add(acknowledgeAfter)
	}
}

// settle ends the runs that the target neither runs nor lists, although it
// answered for them before the look was sent. A run that goes on after its stop
// was answered has started in a new life of the target and is stopped again.
func (s *Scheduler) settle(t *target, ev PollReturned, running map[RunID]bool) {
	for _, r := range t.sortedRuns() {
		switch {
		case !r.settled || !r.settledAt.Before(ev.Sent):
		case !running[r.id]:
			s.gone(r)
		case r.state == stopping && ev.Sent.Sub(r.settledAt) > stopAgain:
			r.settled = false
			s.sendStop(r)
		}
	}
}

// stopForeign stops runs that this instance has not started or no longer wants.
func (s *Scheduler) stopForeign(t *target, running []RunID) {
	for _, id := range running {
		if t.runs[id] != nil {
			continue
		}
		r := &run{id: id, target: t, state: stopping, stopAt: s.now, settled: false, foreign: true}
		t.runs[id] = r
		s.sendStop(r)
	}
}

// hasWanted says whether a job still wants a run of the target.
func (t *target) hasWanted() bool {
	for _, r := range t.runs {
		if r.task != nil {
			return true
		}
	}
	return false
}

func (t *target) hasForeign() bool {
	for _, r := range t.runs {
		if r.foreign {
			return true
		}
	}
	return false
}

func (t *target) sortedRuns() []*run {
	all := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return all
}

func compareRuns(a, b RunID) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
}
