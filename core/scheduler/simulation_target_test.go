package scheduler

import (
	"slices"
	"time"
)

// clock returns the target's steady clock, in milliseconds. It starts anew with each
// incarnation.
func (t *simTarget) clock() int64 {
	return 1 + int64(float64(t.sim.now.Sub(t.born).Milliseconds())*t.clockRate)
}

// acceptsFence applies the fencing token of a request. It returns false if the
// token is outdated.
func (t *simTarget) acceptsFence(fence int64) bool {
	if fence < t.fence {
		return false
	}
	t.fence = fence
	return true
}

func (t *simTarget) extendLease(leaseMS int64) {
	left := min(time.Duration(leaseMS-t.clock())*time.Millisecond, testLease)
	until := t.sim.now.Add(time.Duration(float64(left) / t.clockRate))
	if leaseMS > 0 && until.After(t.lease) {
		t.lease = until
	}
}

func (t *simTarget) start(a Start) StartResult {
	sim := t.sim
	switch {
	case !t.acceptsFence(a.Fence):
		return StartFenced
	case t.running[a.Run] != nil:
		return StartAccepted
	case a.Run.Attempt <= t.highestAttempt[a.Run.Task]:
		return StartStaleAttempt
	case a.LeaseMS <= t.clock():
		return StartLeaseExpired
	}
	j := sim.jobs[a.Run.Task.Job]
	step := j.job.Steps[a.Run.Task.Step]
	used := step.CPU
	for _, r := range t.running {
		used += r.cpu
	}
	switch {
	case sim.resizes && used > t.largestSize():
		sim.t.Fatalf("%v: %v brings %s to a CPU of %d, more than the %d of the last %v", sim.now, a.Run, t.ID, used, t.largestSize(), sizeNotice)
	case !sim.resizes && used > t.CPU:
		return StartNoCapacity
	}
	t.extendLease(a.LeaseMS)
	if _, refused := j.answered.(Refused); refused {
		sim.t.Fatalf("%v: run %v starts after the refusal of its job", sim.now, a.Run)
	}
	j.ran = true
	t.highestAttempt[a.Run.Task] = a.Run.Attempt
	if j.deadly && a.Run.Task.Index == 0 && a.Run.Task.Step == 0 {
		sim.after(time.Duration(1+sim.rng.IntN(30))*time.Millisecond, func() {
			if t.running[a.Run] != nil {
				j.crashes++
				t.silent = j.silent
				t.crash(time.Duration(sim.rng.IntN(3000)) * time.Millisecond)
			}
		})
	}
	took := time.Duration(float64(step.Estimate) * (0.5 + sim.rng.Float64()))
	if sim.slowdown > 0 {
		took = time.Duration(float64(took) * sim.slowdown)
	}
	if sim.rng.Float64() < sim.faults/4 {
		took = time.Hour
	}
	t.running[a.Run] = &simRun{cpu: step.CPU, until: sim.now.Add(took), fails: sim.rng.Float64() < sim.faults/2}
	return StartAccepted
}

// crash ends the target's process. It restarts after a time, and is listed a second
// later.
func (t *simTarget) crash(downtime time.Duration) {
	if traceSimulation {
		t.sim.t.Logf("%v target %s crashes for %v", t.sim.now.Sub(time.Unix(1000, 0)), t.ID, downtime)
	}
	t.Incarnation++
	t.running, t.highestAttempt, t.completions, t.lastCompletion = map[RunID]*simRun{}, map[TaskID]int{}, nil, 0
	t.fence, t.lease, t.born = 0, time.Time{}, t.sim.now
	t.downUntil = t.sim.now.Add(downtime)
	t.sim.after(downtime+time.Second, t.sim.sendTargets)
}

func (t *simTarget) down() bool { return t.sim.now.Before(t.downUntil) }

// largestSize returns the largest CPU of the target within sizeNotice.
func (t *simTarget) largestSize() int64 {
	largest := t.CPU
	for _, s := range t.sizes {
		if t.sim.now.Sub(s.until) < sizeNotice {
			largest = max(largest, s.cpu)
		}
	}
	return largest
}

// resize changes the capacity of the target. The list shows it within two seconds.
func (t *simTarget) resize(cpu int64) {
	t.sizes = append(t.sizes, simSize{t.CPU, t.sim.now})
	t.CPU = cpu
	t.sim.after(time.Duration(t.sim.rng.IntN(2000))*time.Millisecond, t.sim.sendTargets)
}

func (t *simTarget) complete(id RunID, result RunResult) {
	if t.running[id] == nil {
		return
	}
	delete(t.running, id)
	t.lastCompletion++
	t.completions = append(t.completions, Completion{Number: t.lastCompletion, Run: id, Result: result})
}

func (t *simTarget) tick() {
	var ids []RunID
	for id := range t.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareRuns)
	for _, id := range ids {
		r := t.running[id]
		switch {
		case t.sim.now.After(t.lease):
			t.complete(id, RunLeaseExpired)
		case t.sim.now.After(r.until) && r.fails:
			t.complete(id, RunFailed)
		case t.sim.now.After(r.until):
			t.complete(id, RunSucceeded)
		}
	}
}
