package dispatch

import (
	"fmt"
	"slices"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/job"
	"marigoldfront.dev/core/session"
)

func (d *Dispatcher) submit(ev Submit) {
	d.stats.Submissions++
	e := d.findSession(ev.Request, ev.Job.Session, ev.Caller)
	if e == nil || !d.validate(ev) || !d.acknowledgeBelow(e, ev) {
		return
	}
	state, r := e.Lookup(ev.Job.Seq)
	switch {
	case state == session.Recorded && d.rejectConflict(ev, r):
	case state == session.Unused && !d.isHandedOver(e):
		d.submitNew(e, ev)
	case state == session.OutsideWindow && !d.isHandedOver(e):
		d.reject(ev.Request, 422, "seq", "%d is outside of the window at %d", ev.Job.Seq, e.LowWater())
	default:
		d.stats.RepeatedSubmissions++
		d.replyFor(e, ev.Request, ev.Job, r)
	}
}

// validate reports whether a submission is within the limits of the caller API,
// and rejects it otherwise.
func (d *Dispatcher) validate(ev Submit) bool {
	n := len(ev.Submission.Tasks)
	t := ev.Submission.Timeout
	switch {
	case n < 1 || n > d.cfg.MaxTasks:
		d.reject(ev.Request, 400, "tasks", "%d tasks, allowed are 1 to %d", n, d.cfg.MaxTasks)
	case t < time.Millisecond || t > d.cfg.MaxTimeout:
		d.reject(ev.Request, 400, "timeout_ms", "%v, allowed are 1ms to %v", t, d.cfg.MaxTimeout)
	default:
		return true
	}
	return false
}

func (d *Dispatcher) acknowledgeBelow(e *sessionEntry, ev Submit) bool {
	switch {
	case d.isHandedOver(e):
	case !e.CanAcknowledge(ev.AcknowledgedBelow):
		d.reject(ev.Request, 422, "acknowledged_below", "%d is outside of the window at %d", ev.AcknowledgedBelow, e.LowWater())
		return false
	default:
		e.Acknowledge(ev.AcknowledgedBelow, d.answerCache)
	}
	return true
}

// rejectConflict rejects a submission whose sequence number was used for other
// content, and reports whether it did.
func (d *Dispatcher) rejectConflict(ev Submit, r *session.Record) bool {
	if r.Digest == 0 || r.Digest == ev.Submission.Digest {
		return false
	}
	d.reject(ev.Request, 409, "seq", "%d was used for a submission with other content", r.Seq)
	return true
}

// submitNew admits or refuses a submission whose sequence number is unused.
func (d *Dispatcher) submitNew(e *sessionEntry, ev Submit) {
	if d.dir != nil && !slices.Contains(d.dir.State.Callers[ev.Caller].Services, ev.Submission.Service) {
		d.reject(ev.Request, 403, "service", "caller %q may not use service %q", ev.Caller, ev.Submission.Service)
		return
	}
	received := d.now
	if r := ev.Submission.Received; !r.IsZero() && r.Before(received) {
		received = r
	}
	j := &activeJob{
		id:         ev.Job,
		session:    e,
		submission: ev.Submission,
		caller:     ev.Caller,
		admitted:   d.now,
		deadline:   received.Add(ev.Submission.Timeout),
	}
	j.state = job.New(j, len(ev.Submission.Tasks), ev.Submission.Repeatable)
	if code, msg := d.refusalReason(e, j); code != "" {
		d.refuse(e, j, ev.Request, answer.Reason{Code: code, Message: msg})
		return
	}
	d.admit(e, j)
	d.addWaiter(j, ev.Request)
}

// refusalReason returns the reason for which a job is not admitted, or an empty
// code.
func (d *Dispatcher) refusalReason(e *sessionEntry, j *activeJob) (answer.Code, string) {
	switch {
	case e.Sealed():
		return answer.CodeDraining, "the instance is draining"
	case d.dir == nil:
		return answer.CodeNoConfiguration, "the instance has no configuration"
	case !j.deadline.After(d.now):
		return answer.CodeDeadline, "the submission may have waited longer than its time limit before it was read"
	}
	return d.policy.admit(d.now, j)
}

// refuse stores a NotRun answer and replies with it.
func (d *Dispatcher) refuse(e *sessionEntry, j *activeJob, req RequestID, r answer.Reason) {
	record := e.Refuse(j.id.Seq, j.submission.Digest)
	a := j.state.Fail(r)
	d.countAnswer(a)
	e.Finish(record, a, d.now, d.answerCache)
	d.stats.InvariantChecks += j.state.InvariantChecks()
	d.answerRequest(req, a)
}

// admit records a job and queues its tasks. The job is recorded before any of
// its tasks can start.
func (d *Dispatcher) admit(e *sessionEntry, j *activeJob) {
	_, again := d.jobs[j.id]
	if d.violates(!again) {
		panic(fmt.Sprintf("dispatch: job %s is admitted twice", j.id))
	}
	j.record = e.Admit(j.id.Seq, j.submission.Digest)
	d.countUnanswered(e)
	d.jobs[j.id] = j
	d.timers.add(j, j.deadline)
	j.tasks = make([]taskState, j.state.TaskCount())
	for i := range j.tasks {
		j.tasks[i] = taskState{job: j, index: i}
		d.policy.enqueue(d.now, &j.tasks[i], false)
	}
}

// replyFor replies to a request for a used sequence number: with the stored
// answer, or later when the running job has its answer.
func (d *Dispatcher) replyFor(e *sessionEntry, req RequestID, id JobID, r *session.Record) {
	switch {
	case r != nil && r.Running:
		d.addWaiter(d.jobs[id], req)
	case r != nil && r.Answer != nil:
		d.answerRequest(req, r.Answer)
	case d.isHandedOver(e):
		d.replyHandedOver(req)
	default:
		d.answerRequest(req, answer.Unknown{Reason: answer.Reason{
			Code:    answer.CodeAlreadyUsed,
			Message: "the number was used and its answer is no longer kept",
		}})
	}
}

// addWaiter delays the reply to a request until the job has its answer.
func (d *Dispatcher) addWaiter(j *activeJob, req RequestID) {
	_, again := d.requests[req]
	if d.violates(!again) {
		panic(fmt.Sprintf("dispatch: request %d already waits for an answer", req))
	}
	j.waiters = append(j.waiters, req)
	d.requests[req] = j
}

func (d *Dispatcher) callerDisconnected(ev CallerDisconnected) {
	j := d.requests[ev.Request]
	if j == nil {
		return
	}
	delete(d.requests, ev.Request)
	j.waiters = slices.DeleteFunc(j.waiters, func(r RequestID) bool { return r == ev.Request })
}

func (d *Dispatcher) collect(ev Collect) {
	e := d.findSession(ev.Request, ev.Job.Session, ev.Caller)
	if e == nil {
		return
	}
	state, r := e.Lookup(ev.Job.Seq)
	switch {
	case (state == session.Unused || state == session.OutsideWindow) && !d.isHandedOver(e):
		d.reject(ev.Request, 422, "seq", "no submission with the number %d has arrived", ev.Job.Seq)
	case r != nil && r.Running && !ev.Wait:
		d.emit(ReplyRunning{Request: ev.Request})
	default:
		d.replyFor(e, ev.Request, ev.Job, r)
	}
}

// cancel ends a job. If the sequence number is unused, the cancellation may have
// arrived before its submission. The number is then recorded with the answer
// NotRun, so that the submission is not run when it arrives.
func (d *Dispatcher) cancel(ev Cancel) {
	e := d.findSession(ev.Request, ev.Job.Session, ev.Caller)
	if e == nil {
		return
	}
	d.stats.Cancels++
	state, r := e.Lookup(ev.Job.Seq)
	switch {
	case state == session.OutsideWindow && !d.isHandedOver(e):
		d.reject(ev.Request, 422, "seq", "%d is outside of the window at %d", ev.Job.Seq, e.LowWater())
	case state == session.Unused && !d.isHandedOver(e):
		j := &activeJob{id: ev.Job, state: job.New(ev.Job, 0, false)}
		d.refuse(e, j, ev.Request, answer.Reason{Code: answer.CodeCancelled, Message: "the job was cancelled before it arrived"})
	case r != nil && r.Running && !r.Remote:
		j := d.jobs[ev.Job]
		d.addWaiter(j, ev.Request)
		d.cancelJob(j)
	default:
		d.replyFor(e, ev.Request, ev.Job, r)
	}
}
