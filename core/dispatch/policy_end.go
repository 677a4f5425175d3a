package dispatch

import (
	"slices"
	"time"
)

// overdue is the factor of the forecast run time beyond which an attempt
// without a reply counts against its target, although its job has ended.
const overdue = 5

func (p *loadPolicy) started(now time.Time, c choice) {
	w := c.work
	n := p.need(w)
	w.open = append(w.open, placed{target: c.target, at: now, need: n, choice: c})
	p.table.RecordStart(c.target, n)
	bound := p.bounds[n.Service]
	if bound == nil || !bound.Enabled() || c.hedge {
		return
	}
	bound.RecordStart()
	if tail, ok := p.table.TailRunTime(n.Service, c.target, n.Declared); ok && w.job.sub.Repeatable {
		p.hedges.add(hedgeTime{at: now.Add(max(tail, hedgeFactor*c.expected)), work: w, target: c.target})
	}
}

func (p *loadPolicy) ended(now time.Time, j *activeJob, ev AttemptEnded, counted bool) {
	w := &j.work[ev.Attempt.Task]
	i := slices.IndexFunc(w.open, func(o placed) bool { return o.target == ev.Target })
	if i < 0 {
		return
	}
	o := w.open[i]
	w.open = slices.Delete(w.open, i, i+1)
	p.table.RecordEnd(ev.Target, o.need)
	if ev.Load.Known {
		p.table.RecordReport(now, ev.Target, ev.Load.Running, ev.Load.Slots)
	}
	used := now.Sub(o.at)
	if !ran(ev.Outcome) {
		used = 0
	}
	p.queue.RecordEnd(j.plan.queue.Team, o.choice.charged, used)
	if o.choice.unreported {
		p.unreported.ended(ran(ev.Outcome))
	}
	p.judge(now, w, o, ev, counted)
	if o.choice.probe {
		p.health.CancelProbe(ev.Target)
	}
	p.table.SetLimit(ev.Target, p.health.Limit(ev.Target))
}

// hedgeFactor is the multiple of the forecast run time before which no attempt
// is hedged. The 95th percentile alone spent the bound on tasks that were not
// stragglers: p95 slowdown 3.4 instead of 3.0 with 2% stragglers.
const hedgeFactor = 2

// ran says whether the attempt took a slot.
func ran(o Outcome) bool {
	switch o.(type) {
	case Refused, NotSent:
		return false
	}
	return true
}

// judge draws the conclusions for the target, the budget and the job.
func (p *loadPolicy) judge(now time.Time, w *pending, o placed, ev AttemptEnded, counted bool) {
	key := w.job.plan.queue.Key
	switch out := ev.Outcome.(type) {
	case TaskSucceeded:
		p.table.RecordRunTime(o.need.Service, ev.Target, o.need.Declared, out.RunTime)
		p.health.RecordSuccess(now, o.at, ev.Target, key)
		p.budget.RecordSuccess()
	case TaskFailed:
		w.tried = append(w.tried, ev.Target)
		w.job.plan.atFault = p.health.RecordFailure(now, ev.Target, key) || w.job.plan.atFault
	case Ambiguous:
		w.tried = append(w.tried, ev.Target)
		if counted || now.Sub(o.at) > overdue*o.choice.expected {
			p.health.RecordFailure(now, ev.Target, key)
		}
	case NotSent:
		if !out.DeadlinePassed {
			w.tried = append(w.tried, ev.Target)
			p.health.RecordFailure(now, ev.Target, key)
			p.allowAgain(w)
		}
	case Refused:
		p.refused(now, w, out, ev)
	}
}

func (p *loadPolicy) refused(now time.Time, w *pending, r Refused, ev AttemptEnded) {
	switch r.Cause {
	case TargetLeaving:
		p.table.MarkLeaving(now, ev.Target)
		p.resize()
	case NoFreeSlot:
		if !ev.Load.Known {
			// Nothing else is running here as far as this instance knows.
			p.table.RecordReport(now, ev.Target, p.table.TargetSlots(ev.Target), 0)
		}
	case BadRequest:
		w.tried = append(w.tried, ev.Target)
		p.allowAgain(w)
	case LeaseExpired:
	}
}

// allowAgain lets a task that did not run return to the targets it has tried
// once there is no other; the Dispatcher bounds such starts.
func (p *loadPolicy) allowAgain(w *pending) {
	if !w.job.rec.Answered() && !p.table.HasSuitableTarget(p.need(w)) {
		w.tried = w.tried[:0]
	}
}

func (p *loadPolicy) mayRetry(_ time.Time, w *pending) bool {
	service := p.dir.State.Services[w.job.sub.Service]
	if w.job.plan.atFault || w.job.rec.TaskAttemptsUsed(w.task) >= service.MaxAttempts {
		return false
	}
	if !p.table.HasSuitableTarget(p.need(w)) {
		return false
	}
	w.spends = true
	return true
}
