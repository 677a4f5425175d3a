package dispatch

import (
	"fmt"
	"slices"

	"marigoldfront.dev/core/answer"
)

// allowedCodes lists the reason codes that are allowed for each state of an
// answer.
var allowedCodes = map[string][]answer.Code{
	"complete": {""},
	"failed": {answer.CodeDeadline, answer.CodeCancelled, answer.CodeTaskFailed,
		answer.CodeAttemptsExhausted, answer.CodeNoTarget, answer.CodeDraining},
	"not_run": {answer.CodeDeadline, answer.CodeOverloaded, answer.CodeNoTarget, answer.CodeNeverFits,
		answer.CodeCancelled, answer.CodeDraining, answer.CodeNoConfiguration},
	"unknown": {answer.CodeAmbiguousAttempt, answer.CodeDeadline, answer.CodeCancelled,
		answer.CodeHomeUnreachable, answer.CodeHomeReplaced, answer.CodeSessionUnknown,
		answer.CodeAlreadyUsed, answer.CodeDraining},
}

// answerKey returns the state and the reason code of an answer.
func answerKey(a answer.Answer) AnswerKey {
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

// countUnanswered counts a new job, which has no answer yet.
func (d *Dispatcher) countUnanswered(e *sessionEntry) {
	e.unanswered++
	d.unanswered++
}

// countAnswer counts an answer of a job that ran at this instance. It panics if
// the reason code is not allowed for the state.
func (d *Dispatcher) countAnswer(a answer.Answer) {
	k := answerKey(a)
	if d.violates(slices.Contains(allowedCodes[k.State], k.Code)) {
		panic(fmt.Sprintf("dispatch: the answer state %s does not allow the reason code %q", k.State, k.Code))
	}
	d.stats.Answers[k]++
}

// fail ends a job without results.
func (d *Dispatcher) fail(j *activeJob, code answer.Code, msg string) {
	d.finish(j, j.state.Fail(answer.Reason{Code: code, Message: msg}))
}

// finish removes the queued tasks of a job, stores its answer and replies to the
// pending requests. The job stays active as long as it has attempts in flight.
func (d *Dispatcher) finish(j *activeJob, a answer.Answer) {
	d.countAnswer(a)
	for i := range j.tasks {
		d.policy.remove(&j.tasks[i])
	}
	d.storeAnswer(j, a)
	j.submission.Tasks = nil
	if j.state.InFlight() == 0 {
		d.release(j)
		return
	}
	d.timers.move(j, j.deadline.Add(d.cfg.LeaseGrace))
	j.state.ForEachInFlight(func(task, number int, target string) {
		d.orphans = append(d.orphans, orphan{job: j, task: task, number: number, target: target})
	})
}

// storeAnswer stores the answer in the session and replies to the pending
// requests for it.
func (d *Dispatcher) storeAnswer(j *activeJob, a answer.Answer) {
	j.session.unanswered--
	d.unanswered--
	j.session.Finish(j.record, a, d.now, d.answerCache)
	if d.isHandedOver(j.session) {
		d.undelivered = append(d.undelivered, FinalAnswer{Job: j.id, Answer: a})
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

// finishRemote ends a job that ran at the predecessor.
func (d *Dispatcher) finishRemote(j *activeJob, a answer.Answer) {
	d.stats.Answers[answerKey(a)]++
	d.storeAnswer(j, a)
	d.timers.remove(j)
	delete(d.jobs, j.id)
}

// release removes a job that has an answer and no attempts in flight.
func (d *Dispatcher) release(j *activeJob) {
	if d.violates(j.state.Answered() && j.state.InFlight() == 0) {
		panic(fmt.Sprintf("dispatch: job %s is released with %d attempts in flight, answered: %t", j.id, j.state.InFlight(), j.state.Answered()))
	}
	d.stats.InvariantChecks += j.state.InvariantChecks()
	d.timers.remove(j)
	delete(d.jobs, j.id)
}

func (d *Dispatcher) answerRequest(req RequestID, a answer.Answer) {
	d.emit(ReplyAnswer{Request: req, Answer: a})
}

// violates counts the check of an invariant and reports whether the invariant is
// violated. The caller then panics. The panic message is formatted only in that
// case, to keep the check cheap.
func (d *Dispatcher) violates(invariant bool) bool {
	d.stats.InvariantChecks++
	return !invariant
}
