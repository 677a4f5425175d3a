package poolrun

import (
	"time"

	"marigoldfront.dev/core/scheduler"
)

const (
	// maxLease is the longest lease that a target grants.
	maxLease = time.Second
	// requestTimeout is how long the instance waits for the reply to a start or
	// stop. A poll times out pollSlack after its maximum wait.
	requestTimeout = 125 * time.Millisecond
	pollSlack      = 250 * time.Millisecond
	// listDelay is the time from a change of the target list until an owner
	// receives it. After a crash, a target stays listed for
	// crashDetectionDelay.
	listDelay           = 700 * time.Millisecond
	crashDetectionDelay = 4500 * time.Millisecond
)

// target is a simulated target with a lease.
type target struct {
	sim   *simulation
	owner *owner
	// listed is the entry of the target in the list that owners receive. It is
	// left out while unlisted is set.
	listed scheduler.Target
	// slowness is the factor of all run times on the target.
	slowness       float64
	crashed        bool
	unlisted       bool
	running        map[scheduler.RunID]*run
	highestAttempt map[scheduler.TaskID]int
	completions    []scheduler.Completion
	lastCompletion int64
	leaseEnd       time.Time
	// leaseCheckQueued is set while a call of checkLease is queued.
	leaseCheckQueued bool
	usedCPU          int64
	// replyToPoll replies to the poll that waits for a completion. It is nil if
	// no poll waits.
	replyToPoll func()
	// slowFactor, failShare, hangShare and lossShare are the effects of the
	// active faults. Lost requests are carried out after lostRequestDelay.
	slowFactor                      float64
	failShare, hangShare, lossShare float64
	lostRequestDelay                time.Duration
}

// run is a run of a task on a target.
type run struct {
	cpu       int64
	startedAt time.Time
}

// clockMS returns the time of the target's clock in milliseconds.
func (t *target) clockMS() int64 { return t.sim.Now.UnixMilli() }

// send sends a request to the target, which carries it out after the network
// delay. onReply is called when the reply arrives, or with false if there is
// none: the target has crashed, or the request is lost and carried out late.
func (t *target) send(carryOut func(), onReply func(answered bool)) {
	sim := t.sim
	sim.After(sim.targetDelay, func() {
		switch {
		case t.crashed:
			sim.After(sim.targetDelay, func() { onReply(false) })
		case sim.rng.Float64() < t.lossShare:
			sim.After(t.lostRequestDelay, carryOut)
			sim.After(requestTimeout-sim.targetDelay, func() { onReply(false) })
		default:
			carryOut()
			sim.After(sim.targetDelay, func() { onReply(true) })
		}
	})
}

// sendStart sends a start and passes its result to the owner.
func (t *target) sendStart(a scheduler.Start) {
	result := scheduler.StartUnanswered
	t.send(func() { result = t.startRun(a) }, func(answered bool) {
		ev := scheduler.StartReturned{Run: a.Run, Target: a.Target, Result: scheduler.StartUnanswered}
		if answered {
			ev.Result, ev.ClockMS = result, t.clockMS()
		}
		t.sim.handle(t.owner, ev)
	})
}

// startRun handles a start at the target: it starts the run or refuses it.
func (t *target) startRun(a scheduler.Start) scheduler.StartResult {
	sim := t.sim
	planned := sim.taskOf(a.Run.Task)
	cpu := planned.job.cpu
	switch {
	case t.crashed:
		return scheduler.StartUnanswered
	case t.running[a.Run] != nil:
		return scheduler.StartAccepted
	case a.Run.Attempt <= t.highestAttempt[a.Run.Task]:
		return scheduler.StartStaleAttempt
	case a.LeaseMS <= t.clockMS():
		return scheduler.StartLeaseExpired
	case t.usedCPU+cpu > t.listed.CPU:
		return scheduler.StartNoCapacity
	}
	t.extendLease(a.LeaseMS)
	t.highestAttempt[a.Run.Task] = a.Run.Attempt
	t.usedCPU += cpu
	t.running[a.Run] = &run{cpu: cpu, startedAt: sim.Now}
	sim.result.Starts++
	runTime := time.Duration(float64(planned.runTime) * t.slowness * t.slowFactor)
	result := scheduler.RunSucceeded
	if sim.rng.Float64() < t.failShare {
		result, runTime = scheduler.RunFailed, runTime/2
	}
	if sim.rng.Float64() >= t.hangShare {
		sim.After(runTime, func() { t.endRun(a.Run, result) })
	}
	if !t.leaseCheckQueued {
		t.leaseCheckQueued = true
		sim.At(t.leaseEnd, t.checkLease)
	}
	return scheduler.StartAccepted
}

// extendLease extends the lease until leaseMS, but by at most maxLease from now.
func (t *target) extendLease(leaseMS int64) {
	until := t.sim.Now.Add(min(time.Duration(leaseMS-t.clockMS())*time.Millisecond, maxLease))
	if leaseMS > 0 && until.After(t.leaseEnd) {
		t.leaseEnd = until
	}
}

// checkLease ends all runs if the lease has expired. If the lease has been
// extended, it queues the next check.
func (t *target) checkLease() {
	t.leaseCheckQueued = false
	switch {
	case len(t.running) == 0:
	case t.sim.Now.Before(t.leaseEnd):
		t.leaseCheckQueued = true
		t.sim.At(t.leaseEnd, t.checkLease)
	default:
		for _, id := range sortedRuns(t.running) {
			t.endRun(id, scheduler.RunLeaseExpired)
		}
	}
}

// endRun ends a run and adds its completion to the list for the owner.
func (t *target) endRun(id scheduler.RunID, result scheduler.RunResult) {
	r := t.running[id]
	if r == nil {
		return
	}
	delete(t.running, id)
	t.usedCPU -= r.cpu
	if result != scheduler.RunSucceeded {
		t.sim.result.WastedCoreSeconds += float64(r.cpu) / 1000 * t.sim.Now.Sub(r.startedAt).Seconds()
	}
	t.lastCompletion++
	t.completions = append(t.completions, scheduler.Completion{Number: t.lastCompletion, Run: id, Result: result})
	if t.replyToPoll != nil {
		t.replyToPoll()
	}
}

// sendStop sends a stop and passes to the owner whether it was answered.
func (t *target) sendStop(a scheduler.Stop) {
	t.send(func() {
		t.highestAttempt[a.Run.Task] = max(t.highestAttempt[a.Run.Task], a.Run.Attempt)
		t.endRun(a.Run, scheduler.RunStopped)
	}, func(answered bool) {
		t.sim.handle(t.owner, scheduler.StopReturned{Run: a.Run, Target: a.Target, Answered: answered})
	})
}

// sendPoll sends a poll. The target replies once it has a completion that is not
// acknowledged, or after the maximum wait.
func (t *target) sendPoll(a scheduler.Poll) {
	sim := t.sim
	sim.result.Polls++
	answered := false
	reply := func(ev scheduler.PollReturned) {
		if answered {
			return
		}
		answered = true
		ev.Target, ev.Sent = a.Target, a.Sent
		sim.After(sim.targetDelay, func() { sim.handle(t.owner, ev) })
	}
	sim.After(a.MaxWait+pollSlack, func() { reply(scheduler.PollReturned{}) })
	sim.After(sim.targetDelay, func() {
		if t.crashed || sim.rng.Float64() < t.lossShare {
			return
		}
		for len(t.completions) > 0 && t.completions[0].Number <= a.AckThrough {
			t.completions = t.completions[1:]
		}
		t.extendLease(a.LeaseMS)
		replyNow := func() {
			if answered {
				return
			}
			t.replyToPoll = nil
			if t.crashed {
				return
			}
			reply(scheduler.PollReturned{
				Answered: true, Incarnation: t.listed.Incarnation, ClockMS: t.clockMS(), Running: sortedRuns(t.running),
				Completions: append([]scheduler.Completion{}, t.completions...),
			})
		}
		if len(t.completions) > 0 || a.MaxWait == 0 {
			replyNow()
			return
		}
		t.replyToPoll = replyNow
		sim.After(a.MaxWait, replyNow)
	})
}

// crash ends all runs, discards the state of the target and starts a new
// incarnation, which does not respond until the fault is cleared.
func (t *target) crash() {
	for _, id := range sortedRuns(t.running) {
		t.endRun(id, scheduler.RunOther)
	}
	t.crashed, t.replyToPoll = true, nil
	t.highestAttempt, t.completions, t.lastCompletion, t.leaseEnd = map[scheduler.TaskID]int{}, nil, 0, time.Time{}
	t.listed.Incarnation++
}
