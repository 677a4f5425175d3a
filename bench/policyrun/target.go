package policyrun

import (
	"time"

	"marigoldfront.dev/core/dispatch"
)

// targetMode is the behaviour of a target when it receives a start.
type targetMode int

const (
	healthy targetMode = iota
	// failing targets fail every task after failTime.
	failing
	// flaky targets fail half of the tasks, each after its run time.
	flaky
	// crashed targets refuse connections.
	crashed
	// hanging targets accept tasks and never reply.
	hanging
)

// failTime is how long a task runs on a failing target until it fails.
const failTime = 3 * time.Millisecond

// target is a simulated target that runs at most slots tasks at a time.
type target struct {
	name    string
	zone    int
	speed   float64
	slots   int
	mode    targetMode
	running map[dispatch.AttemptID]*run
}

// run is an attempt on a target.
type run struct {
	start     dispatch.StartAttempt
	entry     *entryInstance
	sentAt    time.Time
	startedAt time.Time
	stopped   bool
}

// receiveStart handles a start that reaches its target: the target refuses it or
// runs the task.
func (sim *simulation) receiveStart(t *target, r *run) {
	switch {
	case t.mode == crashed:
		sim.sendOutcome(t, r, dispatch.NotSent{Message: "connection refused"}, false)
		return
	case sim.Now.After(r.start.StartBy):
		sim.sendOutcome(t, r, dispatch.Refused{Cause: dispatch.LeaseExpired}, true)
		return
	case len(t.running) >= t.slots:
		sim.sendOutcome(t, r, dispatch.Refused{Cause: dispatch.NoFreeSlot}, true)
		return
	}
	t.running[r.start.Attempt] = r
	r.startedAt = sim.Now
	if t.mode == hanging {
		sim.hangUntilLeaseEnd(t, r)
		return
	}
	took, fails := sim.drawOutcome(t, r)
	sim.After(took, func() { sim.endRun(t, r, fails) })
}

// hangUntilLeaseEnd ends an attempt at the end of its lease. The target does not
// reply, so that the outcome is ambiguous.
func (sim *simulation) hangUntilLeaseEnd(t *target, r *run) {
	sim.At(r.start.LeaseUntil, func() {
		if t.running[r.start.Attempt] == r {
			sim.jobs[r.start.Attempt.Job].affected = true
			delete(t.running, r.start.Attempt)
			sim.sendOutcome(t, r, dispatch.Ambiguous{Message: "no reply until the end of the lease"}, false)
		}
	})
}

// drawOutcome returns how long an attempt runs, and whether it fails.
func (sim *simulation) drawOutcome(t *target, r *run) (time.Duration, bool) {
	j := sim.jobs[r.start.Attempt.Job]
	if t.mode == failing || j.poison {
		return failTime, true
	}
	took := time.Duration(float64(j.tasks[r.start.Attempt.Task]) / t.speed)
	if sim.attemptRNG.Float64() < sim.sc.StragglerShare {
		took *= 10
	}
	return took, t.mode == flaky && sim.attemptRNG.Float64() < 0.5
}

// endRun ends an attempt, unless it has been stopped or lost in a crash.
func (sim *simulation) endRun(t *target, r *run, fails bool) {
	if r.stopped || t.running[r.start.Attempt] != r {
		return
	}
	delete(t.running, r.start.Attempt)
	if fails {
		j := sim.jobs[r.start.Attempt.Job]
		j.affected = j.affected || !j.poison
		sim.sendOutcome(t, r, dispatch.TaskFailed{Message: "failed"}, true)
		return
	}
	sim.recordRun(t, r)
	sim.sendOutcome(t, r, dispatch.TaskSucceeded{}, true)
}

// sendOutcome sends the outcome of an attempt to its entry instance, together
// with the load of the target if withLoad is set.
func (sim *simulation) sendOutcome(t *target, r *run, o dispatch.Outcome, withLoad bool) {
	ev := dispatch.AttemptEnded{Attempt: r.start.Attempt, Target: t.name, Outcome: o}
	if withLoad {
		ev.Load = dispatch.Load{Known: true, Running: len(t.running), Slots: t.slots}
	}
	sim.After(sim.networkDelay(r.entry.zone, t.zone), func() {
		took := sim.Now.Sub(r.sentAt)
		switch o := ev.Outcome.(type) {
		case dispatch.TaskSucceeded:
			o.RunTime = took
			ev.Outcome = o
		case dispatch.TaskFailed:
			o.RunTime = took
			ev.Outcome = o
		}
		sim.handle(r.entry, ev)
	})
}

// stopRun ends a running attempt at the request of its entry instance.
func (sim *simulation) stopRun(t *target, id dispatch.AttemptID) {
	if r := t.running[id]; r != nil {
		r.stopped = true
		delete(t.running, id)
		sim.sendOutcome(t, r, dispatch.Ambiguous{Message: "stopped"}, false)
	}
}

// crash crashes a target. The outcomes of its running attempts are ambiguous.
func (sim *simulation) crash(t *target) {
	t.mode = crashed
	for _, id := range sortedAttempts(t.running) {
		r := t.running[id]
		sim.jobs[id.Job].affected = true
		delete(t.running, id)
		sim.sendOutcome(t, r, dispatch.Ambiguous{Message: "connection reset"}, false)
	}
}

// networkDelay draws the one-way delay of a message between two availability
// zones.
func (sim *simulation) networkDelay(a, b int) time.Duration {
	d := 200 * time.Microsecond
	if a != b {
		d = 500 * time.Microsecond
	}
	return d + time.Duration(sim.attemptRNG.Float64()*float64(100*time.Microsecond))
}
