package dispatch

import (
	"fmt"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/job"
)

// orphan is an attempt in flight whose result is no longer wanted.
type orphan struct {
	job    *activeJob
	task   int
	number int
	target string
}

// maxOrphanScan bounds the orphans that one event looks at.
const maxOrphanScan = 8

// startWork starts queued tasks as long as the policy finds slots for them.
func (d *Dispatcher) startWork() {
	for {
		c, ok := d.policy.next(d.now)
		if !ok {
			break
		}
		d.start(c)
	}
	for {
		c, ok := d.policy.hedge(d.now)
		if !ok {
			break
		}
		d.stats.Hedges++
		d.start(c)
	}
}

// start puts an attempt on record and then returns its action.
func (d *Dispatcher) start(c choice) {
	j, i := c.work.job, c.work.task
	if d.violates(j.rec != nil) {
		panic(fmt.Sprintf("dispatch: job %s of another home is started", j.id))
	}
	if j.rec.TaskAttemptsUsed(i) > 0 {
		d.stats.Retries++
	}
	number := j.rec.StartAttempt(i, c.target)
	d.stats.Starts++
	d.policy.started(d.now, c)
	d.emit(StartAttempt{
		Attempt:    AttemptID{Job: j.id, Task: i, Number: number},
		Target:     c.target,
		Address:    c.address,
		Caller:     j.caller,
		Service:    j.sub.Service,
		Payload:    j.sub.Tasks[i].Payload,
		Repeatable: j.sub.Repeatable,
		StartBy:    earliest(d.now.Add(d.cfg.MaxStartDelay), j.deadline),
		LeaseUntil: j.deadline,
		TraceID:    j.sub.TraceID,
	})
}

// endOf maps an outcome to what the job's record needs.
func endOf(o Outcome) (job.Outcome, []byte) {
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
		d.countStray(ev.Attempt.Job)
		return
	case j.rec == nil:
		d.stats.UnknownAttemptReplies++
		return
	}
	i := ev.Attempt.Task
	end, result := endOf(ev.Outcome)
	switch v := j.rec.ReportOutcome(i, ev.Attempt.Number, ev.Target, end, result); v {
	case job.UnknownAttempt:
		d.stats.UnknownAttemptReplies++
	case job.WrongTarget:
		d.stats.WrongTargetReplies++
	case job.Duplicate:
		d.stats.DuplicateReplies++
	case job.Late:
		d.stats.LateReplies++
		d.policy.ended(d.now, j, ev, false)
		d.releaseIfDone(j)
	case job.Accepted:
		d.countOutcome(ev.Outcome)
		d.policy.ended(d.now, j, ev, true)
		d.settle(j, i, end, ev.Outcome)
	default:
		panic(fmt.Sprintf("dispatch: unknown verdict %d", v))
	}
}

// countStray counts a report for a job that is not active: late if the job
// was one of this instance, foreign otherwise.
func (d *Dispatcher) countStray(id JobID) {
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

// settle decides how a job goes on after the end of an attempt.
func (d *Dispatcher) settle(j *activeJob, i int, end job.Outcome, o Outcome) {
	switch {
	case end == job.Ambiguous && !j.rec.Repeatable():
		d.failWhenSettled(j, answer.CodeAmbiguousAttempt, "the reply of a target was lost; the task may have run")
	case j.failure != nil:
		d.failWhenSettled(j, j.failure.Code, j.failure.Message)
	case end == job.Succeeded:
		d.taskDone(j, i)
	case j.rec.TaskInFlight(i) > 0:
		// A hedge of the task may still succeed.
	case end == job.NotStarted:
		d.afterRefusal(j, i, o)
	case j.rec.Repeatable() && d.policy.mayRetry(d.now, &j.work[i]):
		d.policy.enqueue(d.now, &j.work[i], true)
	default:
		code, msg := exhausted(i, o)
		d.failWhenSettled(j, code, msg)
	}
}

func (d *Dispatcher) taskDone(j *activeJob, i int) {
	if d.violates(!j.work[i].queued) {
		panic(fmt.Sprintf("dispatch: task %d of job %s is done while it waits", i, j.id))
	}
	if j.rec.AllTasksDone() {
		d.finish(j, j.rec.Complete())
		return
	}
	if j.rec.TaskInFlight(i) > 0 {
		j.rec.ForEachInFlight(func(task, number int, target string) {
			if task == i {
				d.orphans = append(d.orphans, orphan{job: j, task: task, number: number, target: target})
			}
		})
	}
}

// afterRefusal queues a task that did not run again, up to the bound.
func (d *Dispatcher) afterRefusal(j *activeJob, i int, o Outcome) {
	if j.rec.TaskNotStarted(i) >= d.cfg.MaxRefusals {
		code, msg := exhausted(i, o)
		d.failWhenSettled(j, code, msg)
		return
	}
	d.policy.enqueue(d.now, &j.work[i], true)
}

// exhausted returns the reason of a job whose task cannot be tried again.
func exhausted(i int, o Outcome) (answer.Code, string) {
	switch o := o.(type) {
	case TaskFailed:
		return answer.CodeTaskFailed, fmt.Sprintf("task %d failed: %s", i, o.Message)
	case Ambiguous:
		return answer.CodeAttemptsExhausted, fmt.Sprintf("task %d has no attempt left: %s", i, o.Message)
	}
	return answer.CodeAttemptsExhausted, fmt.Sprintf("task %d was refused too often", i)
}

// failWhenSettled fails a job that cannot succeed any more. A job that is not repeatable
// first waits for its attempts in flight, because its answer says whether any
// of them may have run without a known end.
func (d *Dispatcher) failWhenSettled(j *activeJob, code answer.Code, msg string) {
	if j.rec.Repeatable() || code == answer.CodeAmbiguousAttempt || j.rec.InFlight() == 0 {
		d.fail(j, code, msg)
		return
	}
	j.failure = &answer.Reason{Code: code, Message: msg}
	for i := range j.work {
		d.policy.remove(&j.work[i])
	}
}

func (d *Dispatcher) releaseIfDone(j *activeJob) {
	if j.rec.Answered() && j.rec.InFlight() == 0 {
		d.release(j)
	}
}

// abandon gives up the attempts of an answered job whose lease has ended.
func (d *Dispatcher) abandon(j *activeJob) {
	type open struct {
		task, number int
		target       string
	}
	var all []open
	j.rec.ForEachInFlight(func(task, number int, target string) {
		all = append(all, open{task, number, target})
	})
	for _, a := range all {
		j.rec.AbandonAttempt(a.task, a.number)
		d.stats.AbandonedAttempts++
		d.policy.ended(d.now, j, AttemptEnded{
			Attempt: AttemptID{Job: j.id, Task: a.task, Number: a.number},
			Target:  a.target,
			Outcome: Ambiguous{Message: "no report until the end of the lease"},
		}, false)
	}
	d.release(j)
}

// stopOrphans stops unwanted attempts where other work waits for the slot.
func (d *Dispatcher) stopOrphans() {
	for n := min(len(d.orphans), maxOrphanScan); n > 0; n-- {
		o := d.orphans[0]
		d.orphans = d.orphans[1:]
		if !o.job.rec.IsInFlight(o.task, o.number) {
			continue
		}
		address, waits := d.policy.waitsFor(o.target)
		if !waits {
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
