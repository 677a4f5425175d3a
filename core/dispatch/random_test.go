package dispatch

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stepsPerRun is the number of random steps of a run.
const stepsPerRun = 300

// report delivers an end of an attempt, sometimes doubled, crossed or of an
// attempt that was never made, and sometimes loses it.
func (w *world) report() {
	if len(w.flights) == 0 {
		return
	}
	i := w.draw(len(w.flights))
	f := w.flights[i]
	ev := AttemptEnded{Attempt: f.start.Attempt, Target: f.start.Target, Outcome: f.outcome}
	switch w.draw(16) {
	case 12:
		ev.Target = "other"
		w.handle(f.home, ev)
		return
	case 13:
		ev.Attempt.Number += 100
		w.handle(f.home, ev)
		return
	case 14:
		w.flights = slices.Delete(w.flights, i, i+1)
		return
	case 15:
		// The report stays and comes again.
	default:
		w.flights = slices.Delete(w.flights, i, i+1)
	}
	f.reported = true
	refused := f.home.stats.RefusedStarts
	w.handle(f.home, ev)
	if f.outcome == (Refused{Cause: TargetLeaving}) && f.home.stats.RefusedStarts > refused {
		f.home.signalled[ev.Target] = w.now
	}
}

// hedge starts a running repeatable task a second time, as the policy may.
func (w *world) hedge() {
	if len(w.flights) == 0 {
		return
	}
	f := w.flights[w.draw(len(w.flights))]
	d, id := f.home.Dispatcher, f.start.Attempt
	j := d.jobs[id.Job]
	if j == nil || !j.rec.Repeatable() || j.rec.Answered() || j.rec.TaskInFlight(id.Task) != 1 || j.rec.TaskDone(id.Task) || w.isLeaving(f.home, f.start.Target) {
		return
	}
	w.jobs[id.Job].hedges++
	d.out = nil
	d.start(choice{work: &j.work[id.Task], target: f.start.Target, address: f.start.Address})
	w.carryOut(f.home, d.out)
}

// crash loses the replies of everything in flight on a target.
func (w *world) crash() {
	name := w.target()
	for _, f := range w.flights {
		if f.start.Target == name && !f.reported {
			f.outcome = Ambiguous{Message: "crashed"}
		}
	}
}

func (w *world) target() string { return "ta" + string(rune('a'+w.draw(modelTargets))) }

func (w *world) list(h *home) {
	h.leaving = map[string]bool{}
	clear(h.signalled)
	var ev TargetsListed
	for i := range modelTargets {
		name := "ta" + string(rune('a'+i))
		h.leaving[name] = w.rarely(4)
		ev.Targets = append(ev.Targets, ListedTarget{Name: name, Address: "127.0.0.1:2", Leaving: h.leaving[name]})
	}
	w.handle(h, ev)
}

// pass lets time pass: to the next wake, for a while, or for a pause.
func (w *world) pass() {
	switch w.draw(12) {
	case 10:
		w.now = w.now.Add(time.Duration(w.draw(3000)) * time.Millisecond)
	case 11:
		w.now = w.now.Add(time.Duration(w.draw(1300)) * time.Second)
	default:
		w.now = w.now.Add(time.Duration(w.draw(30)) * time.Millisecond)
	}
	for _, h := range w.homes {
		if next := h.NextWake(); !next.IsZero() && !next.After(w.now) {
			w.handle(h, Tick{})
		}
	}
}

// drain stops the first live home, except the last one.
func (w *world) drain() {
	for _, h := range w.homes[:len(w.homes)-1] {
		if !h.drained {
			h.drained = true
			w.handle(h, Drain{HasSuccessor: !w.rarely(4)})
			return
		}
	}
}

// transfer delivers a message of a predecessor, sometimes twice.
func (w *world) transfer(h *home) {
	if len(h.inbox) == 0 {
		return
	}
	w.deliver(h, w.draw(len(h.inbox)), w.rarely(3))
}

// deliver delivers a message, which is sent again if it came too early.
func (w *world) deliver(h *home, i int, again bool) {
	ev := h.inbox[i]
	h.inbox = slices.Delete(h.inbox, i, i+1)
	w.status = 0
	if w.handle(h, ev); again || w.status == 422 {
		h.inbox = append(h.inbox, ev)
	}
}

// deliverAll ends all jobs at their homes and delivers all transfers. Then no
// home may wait for the answer of another one.
func (w *world) deliverAll() {
	w.now = w.now.Add(4 * time.Second)
	for _, h := range w.homes {
		w.handle(h, Tick{})
		for n := 3 * len(h.inbox); n > 0 && len(h.inbox) > 0; n-- {
			w.deliver(h, 0, false)
		}
		for id, j := range h.jobs {
			if j.rec == nil {
				w.t.Fatalf("home %d still waits for the answer of %v", h.index, id)
			}
		}
	}
}

// step does one random thing.
func (w *world) step() {
	h := w.home()
	id, found := w.job()
	switch n := w.draw(40); {
	case n < 8:
		w.submit(h, JobID{w.session(), 1 + uint64(w.draw(40))}, 0)
	case n < 24:
		w.report()
	case n < 29:
		w.pass()
	case n < 31:
		w.transfer(h)
	case n == 31:
		w.crash()
	case n == 32:
		w.list(h)
	case n == 33 && w.rarely(4):
		w.drain()
	case n == 34 && len(w.sessions) < 10:
		w.openSession(h)
	case !found:
	case n == 35:
		w.submit(h, id, uint64(w.draw(40)))
	case n == 36:
		w.handle(h, Cancel{Request: w.ask(h, id, anyContent), Job: id, Caller: "shop"})
	case n == 37:
		w.handle(h, Collect{Request: w.ask(h, id, anyContent), Job: id, Caller: "shop", Wait: w.rarely(2)})
	case n == 38:
		w.forgetRequest()
	case n == 39:
		w.rare(h, id)
	default:
		w.submit(h, id, 0)
	}
}

func (w *world) rare(h *home, id JobID) {
	switch w.draw(10) {
	case 0, 4:
		w.handle(h, CloseSession{Request: w.ask(h, JobID{}, anyContent), Session: id.Session, Caller: "shop"})
	case 3:
		if h.drained {
			w.handle(h, StopNow{})
		}
	case 1, 5:
		w.hedge()
	case 2:
		w.handle(h, DirectoryChanged{Directory: w.directory(1+w.draw(modelTargets), 1+w.draw(3))})
	default:
		w.handle(h, Acknowledge{Request: w.ask(h, JobID{}, anyContent), Session: id.Session, Caller: "shop", Below: uint64(w.draw(20))})
	}
}

// forgetRequest lets a caller go away, sometimes one that has its reply.
func (w *world) forgetRequest() {
	req := w.open[max(0, len(w.open)-1-w.draw(8))]
	if r := w.requests[req]; r != nil {
		delete(w.requests, req)
		w.handle(r.home, CallerDisconnected{Request: req})
	}
}

// finish follows NextWake until nothing is due any more, and checks that every
// request has its reply and that nothing is left behind.
func (w *world) finish() {
	w.deliverAll()
	for _, h := range w.homes {
		for n := 0; !h.NextWake().IsZero(); n++ {
			if n > 10_000 {
				w.t.Fatalf("home %d does not come to rest, next wake %v, %+v", h.index, h.NextWake(), h.Stats())
			}
			w.now = latest(w.now, h.NextWake())
			w.handle(h, Tick{})
		}
	}
	if n := len(w.requests); n > 0 {
		w.t.Fatalf("%d requests never got a reply", n)
	}
	for _, h := range w.homes {
		if h.drained && h.ends != 1 {
			w.t.Fatalf("home %d says %d times that it has drained", h.index, h.ends)
		}
		s := h.Stats()
		if s.ActiveJobs != 0 || s.QueuedTasks != 0 || s.KeptAnswers != 0 || s.KeptBytes != 0 || len(h.timers) != 0 {
			w.t.Fatalf("home %d keeps %+v with %d timers after the end", h.index, s, len(h.timers))
		}
	}
}

// Guards against any sequence of requests, replies, losses, pauses, drains and
// transfers that breaks P1 to P5, leaves a request without a reply, or leaks.
func TestRandomRuns(t *testing.T) {
	var runs, events int
	var checks, starts, retries, hedges, late uint64
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range stepsPerRun {
			w.step()
		}
		w.finish()
		runs++
		events += w.events
		for _, h := range w.homes {
			s := h.Stats()
			checks += s.InvariantChecks
			starts += s.Starts
			retries += s.Retries
			hedges += s.Hedges
			late += s.LateReplies
		}
	})
	t.Logf("%d runs, %d events, %d invariants checked, %d starts, %d retries, %d hedges, %d late replies",
		runs, events, checks, starts, retries, hedges, late)
}
