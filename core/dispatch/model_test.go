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

// world is a model of callers, targets and a chain of homes, each of which
// hands over to the next. It counts starts and runs by itself and checks the
// guarantees against what it saw.
type world struct {
	t        *rapid.T
	now      time.Time
	homes    []*home
	sessions []SessionID
	jobs     map[JobID]*truth
	ids      []JobID
	requests map[RequestID]*request
	open     []RequestID
	lastReq  RequestID
	flights  []*flight
	events   int
	// status is that of the last rejection.
	status int
}

type home struct {
	*Dispatcher
	index   int
	drained bool
	ends    int
	// admissible names the jobs that arrived before the seal.
	admissible map[JobID]bool
	// inbox holds the transfers of the predecessor.
	inbox   []Event
	leaving map[string]bool
	// signalled holds when a target said that it is leaving.
	signalled map[string]time.Time
}

// truth is what the model knows of a submission.
type truth struct {
	repeatable bool
	tasks      int
	timeout    time.Duration
	starter    *home
	flights    []*flight
	runs       map[int]int
	hedges     int
	final      answer.Answer
}

type request struct {
	home *home
	job  JobID
	// variant is the content of a submission, or anyContent.
	variant int
}

const anyContent = -1

// flight is one attempt; ran says whether its target ran the task.
type flight struct {
	home     *home
	start    StartAttempt
	ran      bool
	outcome  Outcome
	reported bool
}

const modelTargets = 3

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, jobs: map[JobID]*truth{}, requests: map[RequestID]*request{}}
	for i := range 3 {
		cfg := DefaultConfig("e", uint64(i+1))
		cfg.AnswerLimits.Answers = 4
		cfg.MaxSessions = 4
		cfg.SessionIdleTimeout = time.Second
		if w.rarely(4) {
			cfg.Policy = PolicyBaseline
		}
		cfg.MaxQueuedTasks = 12
		h := &home{Dispatcher: New(cfg, rand.New(rand.NewPCG(1, uint64(i)))), index: i,
			admissible: map[JobID]bool{}, leaving: map[string]bool{}, signalled: map[string]time.Time{}}
		w.homes = append(w.homes, h)
		w.handle(h, DirectoryChanged{Directory: w.directory(modelTargets, 2)})
		w.warmUp(h)
	}
	w.openSession(w.homes[0])
	return w
}

// warmUp lets the policy know run times well enough for hedges.
func (w *world) warmUp(h *home) {
	if p, ok := h.policy.(*loadPolicy); ok && w.rarely(2) {
		for range 100 {
			p.table.RecordRunTime("check", "taa", 0, 10*time.Millisecond)
		}
	}
}

// directory returns a configuration that allows many hedges.
func (w *world) directory(targets, slots int) *directory.Directory {
	d := testDirectory(targets, slots)
	s := d.State.Services["check"]
	s.HedgePercent = 50 * w.draw(2)
	d.State.Services["check"] = s
	return d
}

func (w *world) draw(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "n") }

// rarely is true once in n draws.
func (w *world) rarely(n int) bool { return w.draw(n) == n-1 }

func (w *world) home() *home { return w.homes[w.draw(len(w.homes))] }

// handle applies an event to a home and checks and carries out its actions.
func (w *world) handle(h *home, ev Event) {
	w.events++
	w.carryOut(h, h.Handle(w.now, ev))
}

func (w *world) carryOut(h *home, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			w.started(h, a)
		case ReplyAnswer:
			w.answered(h, a)
		case ReplySession:
			w.sessions = append(w.sessions, a.Session)
			w.replied(h, a.Request)
		case ReplyRunning:
			w.replied(h, a.Request)
		case ReplyRejected:
			w.status = a.Status
			w.replied(h, a.Request)
		case ReplyHandedOver:
			w.replied(h, a.Request)
		case ReplyConfirmed:
			w.replied(h, a.Request)
		case Drained:
			w.ended(h)
		case HandOver:
			w.send(h, ImportSessions{Records: a.Records})
		case DeliverAnswers:
			w.send(h, ImportAnswers{Answers: a.Answers})
		}
	}
}

func (w *world) send(h *home, ev Event) {
	if h.index+1 < len(w.homes) {
		next := w.homes[h.index+1]
		next.inbox = append(next.inbox, ev)
	}
}

// ended checks that a home says once that it has drained, and that nobody
// waits there then.
func (w *world) ended(h *home) {
	h.ends++
	for _, r := range w.requests {
		if r.home == h || h.ends > 1 {
			w.t.Fatalf("P7: home %d says it has drained while a request for %v waits", h.index, r.job)
		}
	}
}

// isLeaving says whether the list, or lately the target, told the home so.
func (w *world) isLeaving(h *home, name string) bool {
	return h.leaving[name] || w.now.Sub(h.signalled[name]) < 3*time.Second
}

// started checks a start and decides what its target does.
func (w *world) started(h *home, a StartAttempt) {
	id := a.Attempt
	j := w.jobs[id.Job]
	switch {
	case j == nil || !h.admissible[id.Job]:
		w.t.Fatalf("home %d starts %v, which never arrived before its seal", h.index, id)
	case j.starter != nil && j.starter != h:
		w.t.Fatalf("P1: %v starts at home %d and at home %d", id, j.starter.index, h.index)
	case reflect.TypeOf(j.final) == reflect.TypeFor[answer.NotRun]():
		w.t.Fatalf("P4: %v starts after the answer not_run", id)
	case j.final != nil:
		w.t.Fatalf("%v starts after the answer %+v", id, j.final)
	case w.isLeaving(h, a.Target):
		w.t.Fatalf("P6: %v starts on the leaving target %s", id, a.Target)
	case a.StartBy.Before(w.now) || a.LeaseUntil.Before(a.StartBy):
		w.t.Fatalf("%v starts at %v by %v with a lease until %v", id, w.now, a.StartBy, a.LeaseUntil)
	}
	j.starter = h
	for _, f := range j.flights {
		if f.start.Attempt == id {
			w.t.Fatalf("P1: attempt %v starts twice", id)
		}
	}
	f := &flight{home: h, start: a}
	f.ran, f.outcome = w.fate(a)
	j.flights = append(j.flights, f)
	w.flights = append(w.flights, f)
	if f.ran {
		j.runs[id.Task]++
	}
	if n := j.runs[id.Task]; n > 3+j.hedges || (n > 1 && !j.repeatable) {
		w.t.Fatalf("P5: %v has run %d times", id, n)
	}
}

func (w *world) fate(a StartAttempt) (bool, Outcome) {
	switch w.draw(13) {
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
	return true, TaskSucceeded{RunTime: 10 * time.Millisecond, Result: fmt.Appendf(nil, "%s#%d", a.Payload, a.Attempt.Number)}
}

// replied checks that each request gets one reply from the home it went to.
func (w *world) replied(h *home, req RequestID) *request {
	if req == 0 {
		return nil
	}
	r := w.requests[req]
	if r == nil || r.home != h {
		w.t.Fatalf("home %d replies to request %d, which does not wait there", h.index, req)
	}
	delete(w.requests, req)
	return r
}

func (w *world) answered(h *home, a ReplyAnswer) {
	r := w.replied(h, a.Request)
	j := w.jobs[r.job]
	if j == nil {
		return
	}
	switch got := a.Answer.(type) {
	case answer.Complete:
		w.checkResults(r, j, got)
	case answer.NotRun:
		if len(j.flights) > 0 {
			w.t.Fatalf("P4: %v is answered not_run after %d starts", r.job, len(j.flights))
		}
	case answer.Failed:
		w.checkFailed(r, j, got)
	case answer.Unknown:
		if c := got.Reason.Code; c != answer.CodeAmbiguousAttempt && c != answer.CodeDeadline {
			return
		}
	}
	if j.final != nil && !reflect.DeepEqual(j.final, a.Answer) {
		w.t.Fatalf("P3: %v is answered %+v and %+v", r.job, j.final, a.Answer)
	}
	j.final = a.Answer
}

// checkResults checks that every result is that of the request's own task.
func (w *world) checkResults(r *request, j *truth, c answer.Complete) {
	if len(c.Results) != j.tasks {
		w.t.Fatalf("P2: %v has %d of %d results", r.job, len(c.Results), j.tasks)
	}
	for i, res := range c.Results {
		own := func(variant int) bool {
			return bytes.HasPrefix(res, append(payload(r.job, i, variant), '#'))
		}
		if !own(r.variant) && (r.variant != anyContent || !own(0) && !own(1)) {
			w.t.Fatalf("P3: task %d of %v has the result %q", i, r.job, res)
		}
	}
}

// checkFailed checks that the failure is certain where the job says so.
func (w *world) checkFailed(r *request, j *truth, f answer.Failed) {
	if f.Starts == 0 || f.Starts > len(j.flights) {
		w.t.Fatalf("%v failed after %d starts, the model has %d", r.job, f.Starts, len(j.flights))
	}
	for _, fl := range j.flights {
		_, lost := fl.outcome.(Ambiguous)
		if !j.repeatable && (lost || !fl.reported) {
			w.t.Fatalf("P5: %v failed while attempt %v is ambiguous", r.job, fl.start.Attempt)
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

// ask registers a request at a home.
func (w *world) ask(h *home, id JobID, variant int) RequestID {
	w.lastReq++
	w.requests[w.lastReq] = &request{home: h, job: id, variant: variant}
	w.open = append(w.open, w.lastReq)
	return w.lastReq
}

func (w *world) openSession(h *home) {
	w.handle(h, OpenSession{Request: w.ask(h, JobID{}, anyContent), Caller: "shop"})
}

func (w *world) session() SessionID { return w.sessions[w.draw(len(w.sessions))] }

func (w *world) submit(h *home, id JobID, ack uint64) {
	j := w.jobs[id]
	if j == nil {
		j = &truth{repeatable: w.rarely(2), tasks: 1 + w.draw(3), runs: map[int]int{},
			timeout: time.Duration(1+w.draw(400)) * 5 * time.Millisecond}
		w.jobs[id] = j
		w.ids = append(w.ids, id)
	}
	variant := 0
	if w.rarely(10) {
		variant = 1
	}
	if !h.drained {
		h.admissible[id] = true
	}
	s := Submission{Service: "check", Repeatable: j.repeatable, Timeout: j.timeout, Digest: 1 + uint64(variant)}
	for i := range j.tasks {
		s.Tasks = append(s.Tasks, Task{Payload: payload(id, i, variant)})
	}
	w.handle(h, Submit{Request: w.ask(h, id, variant), Job: id, Caller: "shop", Submission: s, AcknowledgedBelow: ack})
}

func (w *world) job() (JobID, bool) {
	if len(w.ids) == 0 {
		return JobID{}, false
	}
	// Recent jobs are more often still active.
	return w.ids[max(0, len(w.ids)-1-w.draw(12))], true
}
