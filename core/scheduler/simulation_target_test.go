package scheduler

import (
	"slices"
	"time"
)

func (t *modelTarget) clock() int64 { return t.w.now.Add(t.skew).UnixMilli() }

// obeys applies the fencing token of an order.
func (t *modelTarget) obeys(fence int64) bool {
	if fence < t.fence {
		return false
	}
	t.fence = fence
	return true
}

func (t *modelTarget) extend(leaseMS int64) {
	until := t.w.now.Add(min(time.Duration(leaseMS-t.clock())*time.Millisecond, testLease))
	if leaseMS > 0 && until.After(t.lease) {
		t.lease = until
	}
}

func (t *modelTarget) start(a Start) StartResult {
	w := t.w
	switch {
	case !t.obeys(a.Fence):
		return StartFenced
	case t.running[a.Run] != nil:
		return StartAccepted
	case a.Run.Attempt <= t.highest[a.Run.Task]:
		return StartStaleAttempt
	case a.LeaseMS <= t.clock():
		return StartLeaseExpired
	}
	j := w.jobs[a.Run.Task.Job]
	step := j.job.Steps[a.Run.Task.Step]
	used := step.CPU
	for _, r := range t.running {
		used += r.cpu
	}
	if used > t.CPU {
		return StartNoCapacity
	}
	t.extend(a.LeaseMS)
	if _, refused := j.answered.(Refused); refused {
		w.t.Fatalf("%v: run %v starts after the refusal of its job", w.now, a.Run)
	}
	j.ran = true
	t.highest[a.Run.Task] = a.Run.Attempt
	took := time.Duration(float64(step.Estimate) * (0.5 + w.rng.Float64()))
	if w.rng.Float64() < w.faults/4 {
		took = time.Hour
	}
	t.running[a.Run] = &modelRun{cpu: step.CPU, until: w.now.Add(took), fails: w.rng.Float64() < w.faults/2}
	return StartAccepted
}

func (t *modelTarget) end(id RunID, how RunResult) {
	if t.running[id] == nil {
		return
	}
	delete(t.running, id)
	t.lastEnd++
	t.ends = append(t.ends, Completion{Number: t.lastEnd, Run: id, Result: how})
}

func (t *modelTarget) tick() {
	var ids []RunID
	for id := range t.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareRuns)
	for _, id := range ids {
		r := t.running[id]
		switch {
		case t.w.now.After(t.lease):
			t.end(id, RunLeaseExpired)
		case t.w.now.After(r.until) && r.fails:
			t.end(id, RunFailed)
		case t.w.now.After(r.until):
			t.end(id, RunSucceeded)
		}
	}
}
