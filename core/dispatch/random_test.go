package dispatch

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stepsPerRun is the number of random steps of a run.
const stepsPerRun = 300

// reportAttempt reports the outcome of an attempt. In some cases the report is
// lost, repeated, from another target, or of an attempt that was never made.
func (sim *simulation) reportAttempt() {
	if len(sim.attempts) == 0 {
		return
	}
	i := sim.draw(len(sim.attempts))
	a := sim.attempts[i]
	ev := AttemptEnded{Attempt: a.start.Attempt, Target: a.start.Target, Outcome: a.outcome}
	switch sim.draw(16) {
	case 12:
		ev.Target = "other"
		sim.handle(a.instance, ev)
		return
	case 13:
		ev.Attempt.Number += 100
		sim.handle(a.instance, ev)
		return
	case 14:
		sim.attempts = slices.Delete(sim.attempts, i, i+1)
		return
	case 15:
		// The report is delivered now and again later.
	default:
		sim.attempts = slices.Delete(sim.attempts, i, i+1)
	}
	a.reported = true
	refused := a.instance.stats.RefusedStarts
	sim.handle(a.instance, ev)
	if a.outcome == (Refused{Cause: TargetLeaving}) && a.instance.stats.RefusedStarts > refused {
		a.instance.reportedLeavingAt[ev.Target] = sim.now
	}
}

// hedge starts a running repeatable task a second time, as a policy is allowed to.
func (sim *simulation) hedge() {
	if len(sim.attempts) == 0 {
		return
	}
	a := sim.attempts[sim.draw(len(sim.attempts))]
	d, id := a.instance.Dispatcher, a.start.Attempt
	j := d.jobs[id.Job]
	if j == nil || !j.state.Repeatable() || j.state.Answered() || j.state.TaskInFlight(id.Task) != 1 || j.state.TaskDone(id.Task) || sim.isLeaving(a.instance, a.start.Target) {
		return
	}
	sim.jobs[id.Job].hedges++
	d.actions = nil
	d.startAttempt(choice{task: &j.tasks[id.Task], target: a.start.Target, address: a.start.Address})
	sim.carryOutActions(a.instance, d.actions)
}

// crashTarget loses the replies of all attempts in flight on a target.
func (sim *simulation) crashTarget() {
	name := sim.randomTarget()
	for _, a := range sim.attempts {
		if a.start.Target == name && !a.reported {
			a.outcome = Ambiguous{Message: "crashed"}
		}
	}
}

func (sim *simulation) randomTarget() string { return "ta" + string(rune('a'+sim.draw(targetCount))) }

func (sim *simulation) updateInstanceList(inst *instance) {
	inst.listedLeaving = map[string]bool{}
	clear(inst.reportedLeavingAt)
	var ev TargetsListed
	for i := range targetCount {
		name := "ta" + string(rune('a'+i))
		inst.listedLeaving[name] = sim.oneIn(4)
		ev.Targets = append(ev.Targets, ListedTarget{Name: name, Address: "127.0.0.1:2", Leaving: inst.listedLeaving[name]})
	}
	sim.handle(inst, ev)
}

// advanceTime advances the clock by milliseconds, by seconds or by minutes, and
// sends a Tick to the instances for which one is due.
func (sim *simulation) advanceTime() {
	switch sim.draw(12) {
	case 10:
		sim.now = sim.now.Add(time.Duration(sim.draw(3000)) * time.Millisecond)
	case 11:
		sim.now = sim.now.Add(time.Duration(sim.draw(1300)) * time.Second)
	default:
		sim.now = sim.now.Add(time.Duration(sim.draw(30)) * time.Millisecond)
	}
	for _, inst := range sim.instances {
		if next := inst.NextWake(); !next.IsZero() && !next.After(sim.now) {
			sim.handle(inst, Tick{})
		}
	}
}

// drain drains the first instance that does not drain yet, but never the last one.
func (sim *simulation) drain() {
	for _, inst := range sim.instances[:len(sim.instances)-1] {
		if !inst.drainSent {
			inst.drainSent = true
			sim.handle(inst, Drain{HasSuccessor: !sim.oneIn(4)})
			return
		}
	}
}

// deliverTransfer delivers a message from the predecessor, sometimes twice.
func (sim *simulation) deliverTransfer(inst *instance) {
	if len(inst.inbox) == 0 {
		return
	}
	sim.deliverMessage(inst, sim.draw(len(inst.inbox)), sim.oneIn(3))
}

// deliverMessage delivers a message from the predecessor. The message is sent
// again if again is set, or if it was rejected because it arrived too early.
func (sim *simulation) deliverMessage(inst *instance, i int, again bool) {
	ev := inst.inbox[i]
	inst.inbox = slices.Delete(inst.inbox, i, i+1)
	sim.lastStatus = 0
	if sim.handle(inst, ev); again || sim.lastStatus == 422 {
		inst.inbox = append(inst.inbox, ev)
	}
}

// deliverAll lets all jobs reach their deadlines and delivers all messages. It
// checks that then no instance waits for an answer from its predecessor.
func (sim *simulation) deliverAll() {
	sim.now = sim.now.Add(4 * time.Second)
	for _, inst := range sim.instances {
		sim.handle(inst, Tick{})
		for n := 3 * len(inst.inbox); n > 0 && len(inst.inbox) > 0; n-- {
			sim.deliverMessage(inst, 0, false)
		}
		for id, j := range inst.jobs {
			if j.state == nil {
				sim.t.Fatalf("instance %d still waits for the answer to %v", inst.index, id)
			}
		}
	}
}

// step performs one random operation.
func (sim *simulation) step() {
	inst := sim.randomInstance()
	id, found := sim.recentJob()
	switch n := sim.draw(40); {
	case n < 8:
		sim.submit(inst, JobID{sim.randomSession(), 1 + uint64(sim.draw(40))}, 0)
	case n < 24:
		sim.reportAttempt()
	case n < 29:
		sim.advanceTime()
	case n < 31:
		sim.deliverTransfer(inst)
	case n == 31:
		sim.crashTarget()
	case n == 32:
		sim.updateInstanceList(inst)
	case n == 33 && sim.oneIn(4):
		sim.drain()
	case n == 34 && len(sim.sessions) < 10:
		sim.openSession(inst)
	case !found:
	case n == 35:
		sim.submit(inst, id, uint64(sim.draw(40)))
	case n == 36:
		sim.handle(inst, Cancel{Request: sim.newRequest(inst, id, anyContent), Job: id, Caller: "shop"})
	case n == 37:
		sim.handle(inst, Collect{Request: sim.newRequest(inst, id, anyContent), Job: id, Caller: "shop", Wait: sim.oneIn(2)})
	case n == 38:
		sim.disconnectCaller()
	case n == 39:
		sim.rareStep(inst, id)
	default:
		sim.submit(inst, id, 0)
	}
}

func (sim *simulation) rareStep(inst *instance, id JobID) {
	switch sim.draw(10) {
	case 0, 4:
		sim.handle(inst, CloseSession{Request: sim.newRequest(inst, JobID{}, anyContent), Session: id.Session, Caller: "shop"})
	case 3:
		if inst.drainSent {
			sim.handle(inst, StopNow{})
		}
	case 1, 5:
		sim.hedge()
	case 2:
		sim.handle(inst, DirectoryChanged{Directory: sim.directory(1+sim.draw(targetCount), 1+sim.draw(3))})
	default:
		sim.handle(inst, Acknowledge{Request: sim.newRequest(inst, JobID{}, anyContent), Session: id.Session, Caller: "shop", Below: uint64(sim.draw(20))})
	}
}

// disconnectCaller disconnects the caller of a recent request that is still
// pending.
func (sim *simulation) disconnectCaller() {
	req := sim.requestIDs[max(0, len(sim.requestIDs)-1-sim.draw(8))]
	if r := sim.pendingRequests[req]; r != nil {
		delete(sim.pendingRequests, req)
		sim.handle(r.instance, CallerDisconnected{Request: req})
	}
}

// runToCompletion sends a Tick at each NextWake until none is due any more. It
// checks that every request has received its reply and that no state is left.
func (sim *simulation) runToCompletion() {
	sim.deliverAll()
	for _, inst := range sim.instances {
		for n := 0; !inst.NextWake().IsZero(); n++ {
			if n > 10_000 {
				sim.t.Fatalf("instance %d still requests ticks, the next one at %v, %+v", inst.index, inst.NextWake(), inst.Stats())
			}
			sim.now = latest(sim.now, inst.NextWake())
			sim.handle(inst, Tick{})
		}
	}
	if n := len(sim.pendingRequests); n > 0 {
		sim.t.Fatalf("%d requests have received no reply", n)
	}
	for _, inst := range sim.instances {
		if inst.drainSent && inst.drainedActions != 1 {
			sim.t.Fatalf("instance %d reports %d times that it has drained", inst.index, inst.drainedActions)
		}
		s := inst.Stats()
		if s.ActiveJobs != 0 || s.QueuedTasks != 0 || s.KeptAnswers != 0 || s.KeptBytes != 0 || len(inst.timers) != 0 {
			sim.t.Fatalf("instance %d still holds %+v and %d timers", inst.index, s, len(inst.timers))
		}
	}
}

// Guards against sequences of requests, replies, lost replies, pauses, drains and
// handovers that violate P1 to P7, leave a request without a reply or leak state.
func TestRandomRuns(t *testing.T) {
	var runs, events int
	var checks, starts, retries, hedges, late uint64
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		for range stepsPerRun {
			sim.step()
		}
		sim.runToCompletion()
		runs++
		events += sim.eventCount
		for _, inst := range sim.instances {
			s := inst.Stats()
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
