package dispatch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"time"

	"pgregory.net/rapid"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

// simulation runs callers, targets and a chain of instances, each of which hands
// its sessions over to the next. It keeps its own record of starts and runs, and
// checks these guarantees, which failure messages name by number:
//
//   - P1: only one instance starts a job, and it starts each attempt once.
//   - P2: a complete answer has one result for each task.
//   - P3: each result belongs to its task, and a final answer does not change.
//   - P4: a job that is answered not_run is never started.
//   - P5: a task that is not repeatable runs at most once, a repeatable task at
//     most as often as its attempts and hedges allow. A job that is not
//     repeatable is answered failed only if the outcomes of all its attempts
//     are known.
//   - P6: no task is started on a target that is known to be leaving.
//   - P7: an instance reports once that it has drained, after it has replied to
//     all requests.
type simulation struct {
	t               *rapid.T
	now             time.Time
	instances       []*instance
	sessions        []SessionID
	jobs            map[JobID]*jobModel
	jobIDs          []JobID
	pendingRequests map[RequestID]*request
	requestIDs      []RequestID
	lastRequest     RequestID
	attempts        []*modelAttempt
	eventCount      int
	// lastStatus is the HTTP status of the last rejection.
	lastStatus int
}

// instance is an entry instance of the simulation.
type instance struct {
	*Dispatcher
	index int
	// drainSent is set when Drain has been sent to the instance.
	drainSent      bool
	drainedActions int
	// admissible holds the jobs that were submitted before the drain.
	admissible map[JobID]bool
	// inbox holds messages from the predecessor that are not yet delivered.
	inbox         []Event
	listedLeaving map[string]bool
	// reportedLeavingAt holds the time at which a target last reported that it
	// is leaving.
	reportedLeavingAt map[string]time.Time
}

// jobModel is the simulation's own record of a submission.
type jobModel struct {
	repeatable    bool
	tasks         int
	timeout       time.Duration
	startInstance *instance
	attempts      []*modelAttempt
	runsPerTask   map[int]int
	hedges        int
	finalAnswer   answer.Answer
}

type request struct {
	instance *instance
	job      JobID
	// variant identifies the content of the submission. For requests without
	// content it is anyContent.
	variant int
}

const anyContent = -1

// modelAttempt is the simulation's own record of an attempt.
type modelAttempt struct {
	instance *instance
	start    StartAttempt
	// ran is set if the target ran the task.
	ran     bool
	outcome Outcome
	// reported is set when the outcome has been reported to the instance.
	reported bool
}

const targetCount = 3

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: epoch, jobs: map[JobID]*jobModel{}, pendingRequests: map[RequestID]*request{}}
	for i := range 3 {
		cfg := DefaultConfig("e", uint64(i+1))
		cfg.AnswerLimits.Answers = 4
		cfg.MaxSessions = 4
		cfg.SessionIdleTimeout = time.Second
		if sim.oneIn(4) {
			cfg.Policy = PolicyBaseline
		}
		cfg.MaxQueuedTasks = 12
		inst := &instance{Dispatcher: New(cfg, rand.New(rand.NewPCG(1, uint64(i)))), index: i,
			admissible: map[JobID]bool{}, listedLeaving: map[string]bool{}, reportedLeavingAt: map[string]time.Time{}}
		sim.instances = append(sim.instances, inst)
		sim.handle(inst, DirectoryChanged{Directory: sim.directory(targetCount, 2)})
		sim.recordRunTimes(inst)
	}
	sim.openSession(sim.instances[0])
	return sim
}

// recordRunTimes records enough run times in half of the cases that the policy
// can hedge.
func (sim *simulation) recordRunTimes(inst *instance) {
	if p, ok := inst.policy.(*loadPolicy); ok && sim.oneIn(2) {
		for range 100 {
			p.table.RecordRunTime("check", "taa", 0, 10*time.Millisecond)
		}
	}
}

// directory returns a configuration that allows many hedges in half of the cases
// and none in the others.
func (sim *simulation) directory(targets, slots int) *directory.Directory {
	d := testDirectory(targets, slots)
	s := d.State.Services["check"]
	s.HedgePercent = 50 * sim.draw(2)
	d.State.Services["check"] = s
	return d
}

func (sim *simulation) draw(n int) int { return rapid.IntRange(0, n-1).Draw(sim.t, "n") }

// oneIn returns true with a probability of 1/n.
func (sim *simulation) oneIn(n int) bool { return sim.draw(n) == n-1 }

func (sim *simulation) randomInstance() *instance { return sim.instances[sim.draw(len(sim.instances))] }

// handle applies an event to an instance, and checks and carries out the resulting
// actions.
func (sim *simulation) handle(inst *instance, ev Event) {
	sim.eventCount++
	sim.carryOutActions(inst, inst.Handle(sim.now, ev))
}

func (sim *simulation) carryOutActions(inst *instance, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			sim.checkStart(inst, a)
		case ReplyAnswer:
			sim.checkAnswer(inst, a)
		case ReplySession:
			sim.sessions = append(sim.sessions, a.Session)
			sim.checkReply(inst, a.Request)
		case ReplyRunning:
			sim.checkReply(inst, a.Request)
		case ReplyRejected:
			sim.lastStatus = a.Status
			sim.checkReply(inst, a.Request)
		case ReplyHandedOver:
			sim.checkReply(inst, a.Request)
		case ReplyConfirmed:
			sim.checkReply(inst, a.Request)
		case Drained:
			sim.checkDrained(inst)
		case HandOver:
			sim.sendToSuccessor(inst, ImportSessions{Records: a.Records})
		case DeliverAnswers:
			sim.sendToSuccessor(inst, ImportAnswers{Answers: a.Answers})
		}
	}
}

func (sim *simulation) sendToSuccessor(inst *instance, ev Event) {
	if inst.index+1 < len(sim.instances) {
		next := sim.instances[inst.index+1]
		next.inbox = append(next.inbox, ev)
	}
}

// checkDrained checks that an instance reports only once that it has drained, and
// that no request is pending there.
func (sim *simulation) checkDrained(inst *instance) {
	inst.drainedActions++
	for _, r := range sim.pendingRequests {
		if r.instance == inst || inst.drainedActions > 1 {
			sim.t.Fatalf("P7: instance %d reports again that it has drained, or while a request for %v is pending", inst.index, r.job)
		}
	}
}

// isLeaving reports whether the instance has been informed that the target is
// leaving, by the instance list or by a recent refusal of the target.
func (sim *simulation) isLeaving(inst *instance, name string) bool {
	return inst.listedLeaving[name] || sim.now.Sub(inst.reportedLeavingAt[name]) < 3*time.Second
}

// checkStart checks a start and draws its outcome.
func (sim *simulation) checkStart(inst *instance, start StartAttempt) {
	id := start.Attempt
	j := sim.jobs[id.Job]
	switch {
	case j == nil || !inst.admissible[id.Job]:
		sim.t.Fatalf("instance %d starts %v, which was not submitted before its drain", inst.index, id)
	case j.startInstance != nil && j.startInstance != inst:
		sim.t.Fatalf("P1: %v is started by instance %d and by instance %d", id, j.startInstance.index, inst.index)
	case reflect.TypeOf(j.finalAnswer) == reflect.TypeFor[answer.NotRun]():
		sim.t.Fatalf("P4: %v is started after the answer not_run", id)
	case j.finalAnswer != nil:
		sim.t.Fatalf("%v is started after the answer %+v", id, j.finalAnswer)
	case sim.isLeaving(inst, start.Target):
		sim.t.Fatalf("P6: %v is started on the leaving target %s", id, start.Target)
	case start.StartBy.Before(sim.now) || start.LeaseUntil.Before(start.StartBy):
		sim.t.Fatalf("%v is started at %v with StartBy %v and a lease until %v", id, sim.now, start.StartBy, start.LeaseUntil)
	}
	j.startInstance = inst
	for _, a := range j.attempts {
		if a.start.Attempt == id {
			sim.t.Fatalf("P1: attempt %v is started twice", id)
		}
	}
	a := &modelAttempt{instance: inst, start: start}
	a.ran, a.outcome = sim.drawOutcome(start)
	j.attempts = append(j.attempts, a)
	sim.attempts = append(sim.attempts, a)
	if a.ran {
		j.runsPerTask[id.Task]++
	}
	if n := j.runsPerTask[id.Task]; n > 3+j.hedges || (n > 1 && !j.repeatable) {
		sim.t.Fatalf("P5: %v has run %d times", id, n)
	}
}

func (sim *simulation) drawOutcome(start StartAttempt) (bool, Outcome) {
	switch sim.draw(13) {
	case 6:
		return false, Refused{Cause: TargetLeaving}
	case 7:
		return true, TaskFailed{Message: "wrong"}
	case 8:
		return false, Refused{Cause: NoFreeSlot}
	case 9:
		return false, NotSent{Message: "connection refused"}
	case 10:
		return true, Ambiguous{Message: "reset after the run"}
	case 11:
		return false, Ambiguous{Message: "reset before the run"}
	}
	return true, TaskSucceeded{RunTime: 10 * time.Millisecond, Result: fmt.Appendf(nil, "%s#%d", start.Payload, start.Attempt.Number)}
}

// checkReply checks that a request receives one reply, from the instance that it
// was sent to.
func (sim *simulation) checkReply(inst *instance, req RequestID) *request {
	if req == 0 {
		return nil
	}
	r := sim.pendingRequests[req]
	if r == nil || r.instance != inst {
		sim.t.Fatalf("instance %d replies to request %d, which is not pending there", inst.index, req)
	}
	delete(sim.pendingRequests, req)
	return r
}

func (sim *simulation) checkAnswer(inst *instance, a ReplyAnswer) {
	r := sim.checkReply(inst, a.Request)
	j := sim.jobs[r.job]
	if j == nil {
		return
	}
	switch got := a.Answer.(type) {
	case answer.Complete:
		sim.checkResults(r, j, got)
	case answer.NotRun:
		if len(j.attempts) > 0 {
			sim.t.Fatalf("P4: %v is answered not_run after %d starts", r.job, len(j.attempts))
		}
	case answer.Failed:
		sim.checkFailed(r, j, got)
	case answer.Unknown:
		if c := got.Reason.Code; c != answer.CodeAmbiguousAttempt && c != answer.CodeDeadline {
			return
		}
	}
	if j.finalAnswer != nil && !reflect.DeepEqual(j.finalAnswer, a.Answer) {
		sim.t.Fatalf("P3: %v is answered %+v and %+v", r.job, j.finalAnswer, a.Answer)
	}
	j.finalAnswer = a.Answer
}

// checkResults checks that every result belongs to the task of the request.
func (sim *simulation) checkResults(r *request, j *jobModel, c answer.Complete) {
	if len(c.Results) != j.tasks {
		sim.t.Fatalf("P2: %v has %d of %d results", r.job, len(c.Results), j.tasks)
	}
	for i, res := range c.Results {
		own := func(variant int) bool {
			return bytes.HasPrefix(res, append(payload(r.job, i, variant), '#'))
		}
		if !own(r.variant) && (r.variant != anyContent || !own(0) && !own(1)) {
			sim.t.Fatalf("P3: task %d of %v has the result %q", i, r.job, res)
		}
	}
}

// checkFailed checks the number of starts in a failed answer and, for a job that
// is not repeatable, that the outcomes of all attempts are known.
func (sim *simulation) checkFailed(r *request, j *jobModel, f answer.Failed) {
	if f.Starts == 0 || f.Starts > len(j.attempts) {
		sim.t.Fatalf("%v failed after %d starts, the model has %d", r.job, f.Starts, len(j.attempts))
	}
	for _, a := range j.attempts {
		_, ambiguous := a.outcome.(Ambiguous)
		if !j.repeatable && (ambiguous || !a.reported) {
			sim.t.Fatalf("P5: %v failed while attempt %v is ambiguous", r.job, a.start.Attempt)
		}
	}
}

func payload(id JobID, task, variant int) []byte {
	return fmt.Appendf(nil, "%v/%d/%d", id, task, variant)
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// newRequest registers a pending request to an instance.
func (sim *simulation) newRequest(inst *instance, id JobID, variant int) RequestID {
	sim.lastRequest++
	sim.pendingRequests[sim.lastRequest] = &request{instance: inst, job: id, variant: variant}
	sim.requestIDs = append(sim.requestIDs, sim.lastRequest)
	return sim.lastRequest
}

func (sim *simulation) openSession(inst *instance) {
	sim.handle(inst, OpenSession{Request: sim.newRequest(inst, JobID{}, anyContent), Caller: "shop"})
}

func (sim *simulation) randomSession() SessionID { return sim.sessions[sim.draw(len(sim.sessions))] }

func (sim *simulation) submit(inst *instance, id JobID, ack uint64) {
	j := sim.jobs[id]
	if j == nil {
		j = &jobModel{repeatable: sim.oneIn(2), tasks: 1 + sim.draw(3), runsPerTask: map[int]int{},
			timeout: time.Duration(1+sim.draw(400)) * 5 * time.Millisecond}
		sim.jobs[id] = j
		sim.jobIDs = append(sim.jobIDs, id)
	}
	variant := 0
	if sim.oneIn(10) {
		variant = 1
	}
	if !inst.drainSent {
		inst.admissible[id] = true
	}
	s := Submission{Service: "check", Repeatable: j.repeatable, Timeout: j.timeout, Digest: 1 + uint64(variant)}
	for i := range j.tasks {
		s.Tasks = append(s.Tasks, Task{Payload: payload(id, i, variant)})
	}
	sim.handle(inst, Submit{Request: sim.newRequest(inst, id, variant), Job: id, Caller: "shop", Submission: s, AcknowledgedBelow: ack})
}

func (sim *simulation) recentJob() (JobID, bool) {
	if len(sim.jobIDs) == 0 {
		return JobID{}, false
	}
	// Choose a recent job, because it is more likely to be active.
	return sim.jobIDs[max(0, len(sim.jobIDs)-1-sim.draw(12))], true
}
