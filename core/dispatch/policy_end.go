package dispatch

import (
	"slices"
	"time"
)

// overdueFactor is the multiple of the forecast run time after which an attempt
// without a reply counts as a failure of its target, even if its job already has
// an answer.
const overdueFactor = 5

func (p *loadPolicy) recordStart(now time.Time, c choice) {
	task := c.task
	r := p.placementRequest(task)
	task.inFlight = append(task.inFlight, placedAttempt{target: c.target, startedAt: now, request: r, choice: c})
	p.table.RecordStart(c.target, r)
	budget := p.hedgeBudgets[r.Service]
	if budget == nil || !budget.Enabled() || c.hedge {
		return
	}
	budget.RecordStart()
	if tail, ok := p.table.TailRunTime(r.Service, c.target, r.Declared); ok && task.job.submission.Repeatable {
		p.hedgeTimers.add(hedgeTimer{at: now.Add(max(tail, hedgeFactor*c.expected)), task: task, target: c.target})
	}
}

func (p *loadPolicy) recordEnd(now time.Time, j *activeJob, ev AttemptEnded, counted bool) {
	task := &j.tasks[ev.Attempt.Task]
	i := slices.IndexFunc(task.inFlight, func(a placedAttempt) bool { return a.target == ev.Target })
	if i < 0 {
		return
	}
	a := task.inFlight[i]
	task.inFlight = slices.Delete(task.inFlight, i, i+1)
	p.table.RecordEnd(ev.Target, a.request)
	if ev.Load.Known {
		p.table.RecordReport(now, ev.Target, ev.Load.Running, ev.Load.Slots)
	}
	slotTime := now.Sub(a.startedAt)
	if !tookSlot(ev.Outcome) {
		slotTime = 0
	}
	p.queue.RecordEnd(j.policyState.queue.Team, a.choice.charged, slotTime)
	if a.choice.unreported {
		p.unreportedBackoff.recordEnd(tookSlot(ev.Outcome))
	}
	p.recordOutcome(now, task, a, ev, counted)
	if a.choice.probe {
		p.health.CancelProbe(ev.Target)
	}
	p.table.SetLimit(ev.Target, p.health.Limit(ev.Target))
}

// hedgeFactor is the multiple of the forecast run time before which no attempt
// is hedged. With the 95th percentile as the only threshold, the hedge budget was
// spent on tasks that were not stragglers: the p95 slowdown was 3.4 instead of
// 3.0 with 2% stragglers.
const hedgeFactor = 2

// tookSlot reports whether the attempt may have used a slot of the target.
func tookSlot(o Outcome) bool {
	switch o.(type) {
	case Refused, NotSent:
		return false
	}
	return true
}

// recordOutcome updates the learned run times, the health of the target, the
// retry budget and the task.
func (p *loadPolicy) recordOutcome(now time.Time, task *taskState, a placedAttempt, ev AttemptEnded, counted bool) {
	key := task.job.policyState.queue.Key
	switch out := ev.Outcome.(type) {
	case TaskSucceeded:
		p.table.RecordRunTime(a.request.Service, ev.Target, a.request.Declared, out.RunTime)
		p.health.RecordSuccess(now, a.startedAt, ev.Target, key)
		p.retryBudget.RecordSuccess()
	case TaskFailed:
		task.tried = append(task.tried, ev.Target)
		task.job.policyState.atFault = p.health.RecordFailure(now, ev.Target, key) || task.job.policyState.atFault
	case Ambiguous:
		task.tried = append(task.tried, ev.Target)
		if counted || now.Sub(a.startedAt) > overdueFactor*a.choice.expected {
			p.health.RecordFailure(now, ev.Target, key)
		}
	case NotSent:
		if !out.DeadlinePassed {
			task.tried = append(task.tried, ev.Target)
			p.health.RecordFailure(now, ev.Target, key)
			p.resetTriedTargets(task)
		}
	case Refused:
		p.recordRefusal(now, task, out, ev)
	}
}

func (p *loadPolicy) recordRefusal(now time.Time, task *taskState, r Refused, ev AttemptEnded) {
	switch r.Cause {
	case TargetLeaving:
		p.table.MarkLeaving(now, ev.Target)
		p.updateCapacity()
	case NoFreeSlot:
		if !ev.Load.Known {
			// The target has no free slot and did not report its load: assume
			// that all of its slots are in use.
			p.table.RecordReport(now, ev.Target, p.table.TargetSlots(ev.Target), 0)
		}
	case BadRequest:
		task.tried = append(task.tried, ev.Target)
		p.resetTriedTargets(task)
	case LeaseExpired:
	}
}

// resetTriedTargets allows a task that did not run to return to the targets that
// it has tried, if no other target is suitable. The Dispatcher bounds the number
// of such attempts.
func (p *loadPolicy) resetTriedTargets(task *taskState) {
	if !task.job.state.Answered() && !p.table.HasSuitableTarget(p.placementRequest(task)) {
		task.tried = task.tried[:0]
	}
}

func (p *loadPolicy) mayRetry(_ time.Time, task *taskState) bool {
	service := p.dir.State.Services[task.job.submission.Service]
	if task.job.policyState.atFault || task.job.state.TaskAttemptsUsed(task.index) >= service.MaxAttempts {
		return false
	}
	if !p.table.HasSuitableTarget(p.placementRequest(task)) {
		return false
	}
	task.usesRetryBudget = true
	return true
}
