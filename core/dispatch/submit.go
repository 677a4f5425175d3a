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
	e := d.find(ev.Request, ev.Job.Session, ev.Caller)
	if e == nil || !d.valid(ev) || !d.acknowledgeBelow(e, ev) {
		return
	}
	state, r := e.Lookup(ev.Job.Seq)
	switch {
	case state == session.Recorded && d.conflicts(ev, r):
	case state == session.Unused && !d.isMoved(e):
		d.submitNew(e, ev)
	case state == session.OutsideWindow && !d.isMoved(e):
		d.reject(ev.Request, 422, "seq", "%d is outside of the window at %d", ev.Job.Seq, e.LowWater())
	default:
		d.stats.RepeatedSubmissions++
		d.replyFor(e, ev.Request, ev.Job, r)
	}
}

// valid rejects a submission that breaks the limits of the caller API.
func (d *Dispatcher) valid(ev Submit) bool {
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
	case d.isMoved(e):
	case !e.CanAcknowledge(ev.AcknowledgedBelow):
		d.reject(ev.Request, 422, "acknowledged_below", "%d is outside of the window at %d", ev.AcknowledgedBelow, e.LowWater())
		return false
	default:
		e.Acknowledge(ev.AcknowledgedBelow, d.keeper)
	}
	return true
}

// conflicts rejects other content under a used number.
func (d *Dispatcher) conflicts(ev Submit, r *session.Record) bool {
	if r.Digest == 0 || r.Digest == ev.Submission.Digest {
		return false
	}
	d.reject(ev.Request, 409, "seq", "%d was used for a submission with other content", r.Seq)
	return true
}

// submitNew decides on a submission whose number was never used.
func (d *Dispatcher) submitNew(e *sessionEntry, ev Submit) {
	if d.dir != nil && !slices.Contains(d.dir.State.Callers[ev.Caller].Services, ev.Submission.Service) {
		d.reject(ev.Request, 403, "service", "caller %q may not use service %q", ev.Caller, ev.Submission.Service)
		return
	}
	j := &activeJob{
		id:       ev.Job,
		session:  e,
		sub:      ev.Submission,
		caller:   ev.Caller,
		admitted: d.now,
		deadline: d.now.Add(ev.Submission.Timeout),
	}
	j.rec = job.New(j, len(ev.Submission.Tasks), ev.Submission.Repeatable)
	if code, msg := d.refusal(e, j); code != "" {
		d.refuse(e, j, ev.Request, answer.Reason{Code: code, Message: msg})
		return
	}
	d.admit(e, j)
	d.wait(j, ev.Request)
}

// refusal returns why a job is not admitted, or an empty code.
func (d *Dispatcher) refusal(e *sessionEntry, j *activeJob) (answer.Code, string) {
	switch {
	case e.Sealed():
		return answer.CodeDraining, "the instance is draining"
	case d.dir == nil:
		return answer.CodeNoConfiguration, "the instance has no configuration"
	}
	return d.policy.admit(d.now, j)
}

// refuse stores and replies a NotRun answer.
func (d *Dispatcher) refuse(e *sessionEntry, j *activeJob, req RequestID, r answer.Reason) {
	record := e.Refuse(j.id.Seq, j.sub.Digest)
	a := j.rec.Fail(r)
	d.count(a)
	e.Finish(record, a, d.now, d.keeper)
	d.stats.InvariantChecks += j.rec.InvariantChecks()
	d.answerRequest(req, a)
}

// admit puts a job on record before any of its tasks can start.
func (d *Dispatcher) admit(e *sessionEntry, j *activeJob) {
	_, again := d.jobs[j.id]
	if d.violates(!again) {
		panic(fmt.Sprintf("dispatch: job %s is admitted twice", j.id))
	}
	j.record = e.Admit(j.id.Seq, j.sub.Digest)
	d.opened(e)
	d.jobs[j.id] = j
	d.timers.add(j, j.deadline)
	j.work = make([]pending, j.rec.TaskCount())
	for i := range j.work {
		j.work[i] = pending{job: j, task: i}
		d.policy.enqueue(d.now, &j.work[i], false)
	}
}

// replyFor replies with what is known of a used number.
func (d *Dispatcher) replyFor(e *sessionEntry, req RequestID, id JobID, r *session.Record) {
	switch {
	case r != nil && r.Running:
		d.wait(d.jobs[id], req)
	case r != nil && r.Answer != nil:
		d.answerRequest(req, r.Answer)
	case d.isMoved(e):
		d.moved(req)
	default:
		d.answerRequest(req, answer.Unknown{Reason: answer.Reason{
			Code:    answer.CodeAlreadyUsed,
			Message: "the number was used and its answer is no longer kept",
		}})
	}
}

// wait holds a request until the job has its answer.
func (d *Dispatcher) wait(j *activeJob, req RequestID) {
	_, again := d.requests[req]
	if d.violates(!again) {
		panic(fmt.Sprintf("dispatch: request %d waits twice", req))
	}
	j.waiters = append(j.waiters, req)
	d.requests[req] = j
}

func (d *Dispatcher) requestGone(ev CallerDisconnected) {
	j := d.requests[ev.Request]
	if j == nil {
		return
	}
	delete(d.requests, ev.Request)
	j.waiters = slices.DeleteFunc(j.waiters, func(r RequestID) bool { return r == ev.Request })
}

func (d *Dispatcher) collect(ev Collect) {
	e := d.find(ev.Request, ev.Job.Session, ev.Caller)
	if e == nil {
		return
	}
	state, r := e.Lookup(ev.Job.Seq)
	switch {
	case (state == session.Unused || state == session.OutsideWindow) && !d.isMoved(e):
		d.reject(ev.Request, 422, "seq", "no submission with the number %d has arrived", ev.Job.Seq)
	case r != nil && r.Running && !ev.Wait:
		d.emit(ReplyRunning{Request: ev.Request})
	default:
		d.replyFor(e, ev.Request, ev.Job, r)
	}
}

// cancel ends a job. A number that was never used is answered NotRun for good,
// because the cancellation may have overtaken its submission.
func (d *Dispatcher) cancel(ev Cancel) {
	e := d.find(ev.Request, ev.Job.Session, ev.Caller)
	if e == nil {
		return
	}
	d.stats.Cancels++
	state, r := e.Lookup(ev.Job.Seq)
	switch {
	case state == session.OutsideWindow && !d.isMoved(e):
		d.reject(ev.Request, 422, "seq", "%d is outside of the window at %d", ev.Job.Seq, e.LowWater())
	case state == session.Unused && !d.isMoved(e):
		j := &activeJob{id: ev.Job, rec: job.New(ev.Job, 0, false)}
		d.refuse(e, j, ev.Request, answer.Reason{Code: answer.CodeCancelled, Message: "the job was cancelled before it arrived"})
	case r != nil && r.Running && !r.Remote:
		j := d.jobs[ev.Job]
		d.wait(j, ev.Request)
		d.cancelJob(j)
	default:
		d.replyFor(e, ev.Request, ev.Job, r)
	}
}
