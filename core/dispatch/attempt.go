package dispatch

import (
	"fmt"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/job"
)

// orphan is an attempt in flight whose result is no longer needed.
type orphan struct {
	job    *activeJob
	task   int
	number int
	target string
}

// maxOrphanScan bounds the orphans that are examined for each event.
const maxOrphanScan = 8

// startTasks starts queued tasks, and then hedges, as long as the policy finds
// slots for them.
func (d *Dispatcher) startTasks() {
	for {
		c, ok := d.policy.nextStart(d.now)
		if !ok {
			break
		}
		d.startAttempt(c)
	}
	for {
		c, ok := d.policy.nextHedge(d.now)
		if !ok {
			break
		}
		d.stats.Hedges++
		d.startAttempt(c)
	}
}

// startAttempt records an attempt and then emits the action that starts it.
func (d *Dispatcher) startAttempt(c choice) {
	j, i := c.task.job, c.task.index
	if d.violates(j.state != nil) {
		panic(fmt.Sprintf("dispatch: job %s runs at the predecessor and must not start here", j.id))
	}
	if j.state.TaskAttemptsUsed(i) > 0 {
		d.stats.Retries++
	}
	number := j.state.StartAttempt(i, c.target)
	d.stats.Starts++
	d.policy.recordStart(d.now, c)
	d.emit(StartAttempt{
		Attempt:    AttemptID{Job: j.id, Task: i, Number: number},
		Target:     c.target,
		Address:    c.address,
		Caller:     j.caller,
		Service:    j.submission.Service,
		Payload:    j.submission.Tasks[i].Payload,
		Repeatable: j.submission.Repeatable,
		StartBy:    earliest(d.now.Add(d.cfg.MaxStartDelay), j.deadline),
		LeaseUntil: j.deadline,
		TraceID:    j.submission.TraceID,
	})
}

// jobOutcome returns the outcome in terms of package job, and the result of the
// task if it succeeded.
func jobOutcome(o Outcome) (job.Outcome, []byte) {
	switch o := o.(type) {
	case TaskSucceeded:
		return job.Succeeded, o.Result
	case TaskFailed:
		return job.Failed, nil
	case Refused, NotSent:
		return job.NotStarted, nil
	case Ambiguous:
		return job.Ambiguous, nil
	}
	panic(fmt.Sprintf("dispatch: unknown outcome %T", o))
}

func (d *Dispatcher) attemptEnded(ev AttemptEnded) {
	j := d.jobs[ev.Attempt.Job]
	switch {
	case j == nil:
		d.countInactiveReport(ev.Attempt.Job)
		return
	case j.state == nil:
		d.stats.UnknownAttemptReplies++
		return
	}
	i := ev.Attempt.Task
	outcome, result := jobOutcome(ev.Outcome)
	switch r := j.state.ReportOutcome(i, ev.Attempt.Number, ev.Target, outcome, result); r {
	case job.UnknownAttempt:
		d.stats.UnknownAttemptReplies++
	case job.WrongTarget:
		d.stats.WrongTargetReplies++
	case job.Duplicate:
		d.stats.DuplicateReplies++
	case job.Late:
		d.stats.LateReplies++
		d.policy.recordEnd(d.now, j, ev, false)
		d.releaseIfDone(j)
	case job.Accepted:
		d.countOutcome(ev.Outcome)
		d.policy.recordEnd(d.now, j, ev, true)
		d.handleOutcome(j, i, outcome, ev.Outcome)
	default:
		panic(fmt.Sprintf("dispatch: unknown report result %d", r))
	}
}

// countInactiveReport counts a report for a job that is not active. The report
// is late if the job was submitted here. Otherwise its attempt is unknown.
func (d *Dispatcher) countInactiveReport(id JobID) {
	if e := d.sessions[id.Session]; e != nil && e.WasUsed(id.Seq) {
		d.stats.LateReplies++
		return
	}
	d.stats.UnknownAttemptReplies++
}

func (d *Dispatcher) countOutcome(o Outcome) {
	switch o.(type) {
	case Refused:
		d.stats.RefusedStarts++
	case NotSent:
		d.stats.UnsentStarts++
	}
}

// handleOutcome decides how a job continues after the end of an attempt.
func (d *Dispatcher) handleOutcome(j *activeJob, i int, outcome job.Outcome, o Outcome) {
	switch {
	case outcome == job.Ambiguous && !j.state.Repeatable():
		d.failAfterAttempts(j, answer.CodeAmbiguousAttempt, "the reply of a target was lost; the task may have run")
	case j.failure != nil:
		d.failAfterAttempts(j, j.failure.Code, j.failure.Message)
	case outcome == job.Succeeded:
		d.handleTaskSuccess(j, i)
	case j.state.TaskInFlight(i) > 0:
		// A hedge of the task may still succeed.
	case outcome == job.NotStarted:
		d.requeueNotStarted(j, i, o)
	case j.state.Repeatable() && d.policy.mayRetry(d.now, &j.tasks[i]):
		d.policy.enqueue(d.now, &j.tasks[i], true)
	default:
		code, msg := failureReason(i, o)
		d.failAfterAttempts(j, code, msg)
	}
}

func (d *Dispatcher) handleTaskSuccess(j *activeJob, i int) {
	if d.violates(!j.tasks[i].queued) {
		panic(fmt.Sprintf("dispatch: task %d of job %s succeeded while it is queued", i, j.id))
	}
	if j.state.AllTasksDone() {
		d.finish(j, j.state.Complete())
		return
	}
	if j.state.TaskInFlight(i) > 0 {
		j.state.ForEachInFlight(func(task, number int, target string) {
			if task == i {
				d.orphans = append(d.orphans, orphan{job: j, task: task, number: number, target: target})
			}
		})
	}
}

// requeueNotStarted queues a task that did not run again. It fails the job when
// the task has reached MaxRefusals.
func (d *Dispatcher) requeueNotStarted(j *activeJob, i int, o Outcome) {
	if j.state.TaskNotStarted(i) >= d.cfg.MaxRefusals {
		code, msg := failureReason(i, o)
		d.failAfterAttempts(j, code, msg)
		return
	}
	d.policy.enqueue(d.now, &j.tasks[i], true)
}

// failureReason returns the reason code and the message for a job that fails
// because its task i cannot be tried again.
func failureReason(i int, o Outcome) (answer.Code, string) {
	switch o := o.(type) {
	case TaskFailed:
		return answer.CodeTaskFailed, fmt.Sprintf("task %d failed: %s", i, o.Message)
	case Ambiguous:
		return answer.CodeAttemptsExhausted, fmt.Sprintf("task %d has no attempt left: %s", i, o.Message)
	}
	return answer.CodeAttemptsExhausted, fmt.Sprintf("task %d was refused too often", i)
}

// failAfterAttempts fails a job that can no longer succeed. A job that is not
// repeatable first waits for its attempts in flight, because its answer reports
// whether any of them may have run without a known outcome.
func (d *Dispatcher) failAfterAttempts(j *activeJob, code answer.Code, msg string) {
	if j.state.Repeatable() || code == answer.CodeAmbiguousAttempt || j.state.InFlight() == 0 {
		d.fail(j, code, msg)
		return
	}
	j.failure = &answer.Reason{Code: code, Message: msg}
	for i := range j.tasks {
		d.policy.remove(&j.tasks[i])
	}
}

func (d *Dispatcher) releaseIfDone(j *activeJob) {
	if j.state.Answered() && j.state.InFlight() == 0 {
		d.release(j)
	}
}

// abandonAttempts ends the attempts of an answered job whose lease has ended, as
// if their replies were lost, and releases the job.
func (d *Dispatcher) abandonAttempts(j *activeJob) {
	type attempt struct {
		task, number int
		target       string
	}
	var attempts []attempt
	j.state.ForEachInFlight(func(task, number int, target string) {
		attempts = append(attempts, attempt{task, number, target})
	})
	for _, a := range attempts {
		j.state.AbandonAttempt(a.task, a.number)
		d.stats.AbandonedAttempts++
		d.policy.recordEnd(d.now, j, AttemptEnded{
			Attempt: AttemptID{Job: j.id, Task: a.task, Number: a.number},
			Target:  a.target,
			Outcome: Ambiguous{Message: "no report until the end of the lease"},
		}, false)
	}
	d.release(j)
}

// stopOrphans stops orphans on targets where queued work could use their slots.
func (d *Dispatcher) stopOrphans() {
	for n := min(len(d.orphans), maxOrphanScan); n > 0; n-- {
		o := d.orphans[0]
		d.orphans = d.orphans[1:]
		if !o.job.state.IsInFlight(o.task, o.number) {
			continue
		}
		address, wanted := d.policy.hasWorkFor(o.target)
		if !wanted {
			d.orphans = append(d.orphans, o)
			continue
		}
		d.stats.StopRequests++
		d.emit(StopAttempt{
			Attempt: AttemptID{Job: o.job.id, Task: o.task, Number: o.number},
			Target:  o.target,
			Address: address,
		})
	}
}
