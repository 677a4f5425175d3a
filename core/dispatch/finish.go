package dispatch

import (
	"fmt"
	"slices"

	"marigoldfront.dev/core/answer"
)

// codes lists the reason codes that each state of an answer may carry.
var codes = map[string][]answer.Code{
	"complete": {""},
	"failed": {answer.CodeDeadline, answer.CodeCancelled, answer.CodeTaskFailed,
		answer.CodeAttemptsExhausted, answer.CodeNoTarget, answer.CodeDraining},
	"not_run": {answer.CodeDeadline, answer.CodeOverloaded, answer.CodeNoTarget, answer.CodeNeverFits,
		answer.CodeCancelled, answer.CodeDraining, answer.CodeNoConfiguration},
	"unknown": {answer.CodeAmbiguousAttempt, answer.CodeDeadline, answer.CodeCancelled,
		answer.CodeHomeUnreachable, answer.CodeHomeReplaced, answer.CodeSessionUnknown,
		answer.CodeAlreadyUsed, answer.CodeDraining},
}

// keyOf returns the state and the code of an answer.
func keyOf(a answer.Answer) AnswerKey {
	switch a := a.(type) {
	case answer.Complete:
		return AnswerKey{State: "complete"}
	case answer.Failed:
		return AnswerKey{State: "failed", Code: a.Reason.Code}
	case answer.NotRun:
		return AnswerKey{State: "not_run", Code: a.Reason.Code}
	case answer.Unknown:
		return AnswerKey{State: "unknown", Code: a.Reason.Code}
	}
	panic(fmt.Sprintf("dispatch: unknown answer %T", a))
}

// opened counts a job without an answer.
func (d *Dispatcher) opened(e *sessionEntry) {
	e.active++
	d.unanswered++
}

// count adds an answer made here to the counters. It panics where the code
// does not belong to the state.
func (d *Dispatcher) count(a answer.Answer) {
	k := keyOf(a)
	if d.violates(slices.Contains(codes[k.State], k.Code)) {
		panic(fmt.Sprintf("dispatch: answer %s has the code %q", k.State, k.Code))
	}
	d.stats.Answers[k]++
}

// fail closes a job without results.
func (d *Dispatcher) fail(j *activeJob, code answer.Code, msg string) {
	d.finish(j, j.rec.Fail(answer.Reason{Code: code, Message: msg}))
}

// finish stores the answer of a job, replies to those who wait, and drops the
// job's queued tasks. Attempts in flight keep the job on record.
func (d *Dispatcher) finish(j *activeJob, a answer.Answer) {
	d.count(a)
	for i := range j.work {
		d.policy.remove(&j.work[i])
	}
	d.settleRecord(j, a)
	j.sub.Tasks = nil
	if j.rec.InFlight() == 0 {
		d.release(j)
		return
	}
	d.timers.move(j, j.deadline.Add(d.cfg.LeaseGrace))
	j.rec.ForEachInFlight(func(task, number int, target string) {
		d.orphans = append(d.orphans, orphan{job: j, task: task, number: number, target: target})
	})
}

// settleRecord stores the answer with the session and replies to the waiters.
func (d *Dispatcher) settleRecord(j *activeJob, a answer.Answer) {
	j.session.active--
	d.unanswered--
	j.session.Finish(j.record, a, d.now, d.keeper)
	if d.isMoved(j.session) {
		d.deliveries = append(d.deliveries, FinalAnswer{Job: j.id, Answer: a})
	}
	for _, req := range j.waiters {
		if d.violates(d.requests[req] == j) {
			panic(fmt.Sprintf("dispatch: request %d does not wait for job %s", req, j.id))
		}
		delete(d.requests, req)
		d.answerRequest(req, a)
	}
	j.waiters = nil
}

// answerRemote closes a job that ran at the predecessor.
func (d *Dispatcher) answerRemote(j *activeJob, a answer.Answer) {
	d.stats.Answers[keyOf(a)]++
	d.settleRecord(j, a)
	d.timers.remove(j)
	delete(d.jobs, j.id)
}

// release forgets a job with an answer and without attempts in flight.
func (d *Dispatcher) release(j *activeJob) {
	if d.violates(j.rec.Answered() && j.rec.InFlight() == 0) {
		panic(fmt.Sprintf("dispatch: job %s is released while it is active", j.id))
	}
	d.stats.InvariantChecks += j.rec.InvariantChecks()
	d.timers.remove(j)
	delete(d.jobs, j.id)
}

func (d *Dispatcher) answerRequest(req RequestID, a answer.Answer) {
	d.emit(ReplyAnswer{Request: req, Answer: a})
}

// violates counts a checked invariant and reports whether it does not hold. The
// caller panics then; it formats the ids only in that case.
func (d *Dispatcher) violates(invariant bool) bool {
	d.stats.InvariantChecks++
	return !invariant
}
