package policyrun

import (
	"time"

	"marigoldfront.dev/core/dispatch"
)

// mode is what a target does with a start.
type mode int

const (
	serving mode = iota
	// failing targets fail every task within a few milliseconds.
	failing
	// flaky targets fail half of the tasks, after their run time.
	flaky
	// dead targets refuse connections.
	dead
	// hanging targets accept tasks and never reply.
	hanging
)

// failTime is how long a failing target takes to fail a task.
const failTime = 3 * time.Millisecond

// target is one simulated worker.
type target struct {
	name    string
	zone    int
	speed   float64
	slots   int
	mode    mode
	running map[dispatch.AttemptID]*run
}

// run is one attempt on a target.
type run struct {
	start   dispatch.StartAttempt
	entry   *entry
	sent    time.Time
	begun   time.Time
	stopped bool
}

func (w *world) receive(t *target, r *run) {
	switch {
	case t.mode == dead:
		w.reply(t, r, dispatch.NotSent{Message: "connection refused"}, false)
		return
	case w.Now.After(r.start.StartBy):
		w.reply(t, r, dispatch.Refused{Cause: dispatch.LeaseExpired}, true)
		return
	case len(t.running) >= t.slots:
		w.reply(t, r, dispatch.Refused{Cause: dispatch.NoFreeSlot}, true)
		return
	}
	t.running[r.start.Attempt] = r
	r.begun = w.Now
	if t.mode == hanging {
		w.hang(t, r)
		return
	}
	took, fails := w.runTime(t, r)
	w.After(took, func() { w.end(t, r, fails) })
}

// hang ends an attempt at the end of its lease without a reply.
func (w *world) hang(t *target, r *run) {
	w.At(r.start.LeaseUntil, func() {
		if t.running[r.start.Attempt] == r {
			w.jobs[r.start.Attempt.Job].touched = true
			delete(t.running, r.start.Attempt)
			w.reply(t, r, dispatch.Ambiguous{Message: "no reply until the end of the lease"}, false)
		}
	})
}

// runTime draws how long the attempt takes, and whether it fails then.
func (w *world) runTime(t *target, r *run) (time.Duration, bool) {
	j := w.jobs[r.start.Attempt.Job]
	if t.mode == failing || j.poison {
		return failTime, true
	}
	took := time.Duration(float64(j.tasks[r.start.Attempt.Task]) / t.speed)
	if w.rng.Float64() < w.sc.StragglerShare {
		took *= 10
	}
	return took, t.mode == flaky && w.rng.Float64() < 0.5
}

func (w *world) end(t *target, r *run, fails bool) {
	if r.stopped || t.running[r.start.Attempt] != r {
		return
	}
	delete(t.running, r.start.Attempt)
	if fails {
		j := w.jobs[r.start.Attempt.Job]
		j.touched = j.touched || !j.poison
		w.reply(t, r, dispatch.TaskFailed{Message: "failed"}, true)
		return
	}
	w.ran(t, r)
	w.reply(t, r, dispatch.TaskSucceeded{}, true)
}

// reply sends the end of an attempt back to its entry instance.
func (w *world) reply(t *target, r *run, o dispatch.Outcome, load bool) {
	ev := dispatch.AttemptEnded{Attempt: r.start.Attempt, Target: t.name, Outcome: o}
	if load {
		ev.Load = dispatch.Load{Known: true, Running: len(t.running), Slots: t.slots}
	}
	w.After(w.delay(r.entry.zone, t.zone), func() {
		took := w.Now.Sub(r.sent)
		switch o := ev.Outcome.(type) {
		case dispatch.TaskSucceeded:
			o.RunTime = took
			ev.Outcome = o
		case dispatch.TaskFailed:
			o.RunTime = took
			ev.Outcome = o
		}
		w.handle(r.entry, ev)
	})
}

// stop ends a running attempt on the request of its entry instance.
func (w *world) stop(t *target, id dispatch.AttemptID) {
	if r := t.running[id]; r != nil {
		r.stopped = true
		delete(t.running, id)
		w.reply(t, r, dispatch.Ambiguous{Message: "stopped"}, false)
	}
}

// kill ends a target; the replies of its running attempts are lost.
func (w *world) kill(t *target) {
	t.mode = dead
	for _, id := range sortedAttempts(t.running) {
		r := t.running[id]
		w.jobs[id.Job].touched = true
		delete(t.running, id)
		w.reply(t, r, dispatch.Ambiguous{Message: "connection reset"}, false)
	}
}

// delay draws the one-way time of a message.
func (w *world) delay(a, b int) time.Duration {
	d := 200 * time.Microsecond
	if a != b {
		d = 500 * time.Microsecond
	}
	return d + time.Duration(w.rng.Float64()*float64(100*time.Microsecond))
}
