package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"marigoldfront.dev/core/hedge"
	"marigoldfront.dev/core/placement"
	"marigoldfront.dev/core/queue"
)

const (
	// maxSkippedJobs bounds the jobs that one decision skips because no free
	// slot is suitable for their next task.
	maxSkippedJobs = 16
	// minUnreportedInterval and maxUnreportedInterval bound the time between
	// two starts on targets whose load is unknown.
	minUnreportedInterval = 500 * time.Millisecond
	maxUnreportedInterval = 10 * time.Second
)

// unreportedBackoff delays the starts on targets whose load is unknown. The
// interval doubles with each refusal.
type unreportedBackoff struct {
	next     time.Time
	interval time.Duration
}

func (b *unreportedBackoff) recordStart(now time.Time) {
	b.interval = max(b.interval, minUnreportedInterval)
	b.next = now.Add(b.interval)
}

func (b *unreportedBackoff) recordEnd(ran bool) {
	if ran {
		b.interval, b.next = minUnreportedInterval, time.Time{}
		return
	}
	b.interval = min(2*b.interval, maxUnreportedInterval)
}

func (p *loadPolicy) nextStart(now time.Time) (choice, bool) {
	p.requeueRetries()
	for _, name := range p.health.LiftExpiredLimits(now) {
		p.table.SetLimit(name, p.health.Limit(name))
	}
	if len(p.waitingJobs) == 0 {
		return choice{}, false
	}
	p.blocked = p.blocked[:0]
	defer p.queue.UnparkAll()
	for range maxSkippedJobs {
		h, ok := p.queue.Peek(p.isBlocked)
		if !ok {
			break
		}
		if c, ok := p.place(now, h); ok {
			return c, true
		}
	}
	return choice{}, false
}

func (p *loadPolicy) isBlocked(service string) bool { return slices.Contains(p.blocked, service) }

// requeueRetries queues the waiting retries that the budget now allows.
func (p *loadPolicy) requeueRetries() {
	for len(p.awaitingBudget) > 0 && p.retryBudget.Take() {
		p.requeue(p.awaitingBudget[0])
		p.awaitingBudget = p.awaitingBudget[1:]
	}
}

// place chooses a target for the first task in order. If none is suitable, it
// tries the shortest task of the same job. If that fails too, it parks the job.
func (p *loadPolicy) place(now time.Time, h queue.Head) (choice, bool) {
	task := &p.waitingJobs[h.Job].tasks[h.Task.Index]
	r := p.placementRequest(task)
	if c, ok := p.dueProbe(now, task, r); ok && len(task.tried) == 0 {
		return p.takeForProbe(now, h.Job, task, c), true
	}
	r.RunTimeBudget = max(task.job.policyState.queue.Expected-now.Sub(task.job.admitted), h.Task.Expected)
	r.AllowUnreported = !now.Before(p.unreportedBackoff.next)
	c, result := p.table.Choose(now, r)
	if result == placement.Found {
		if c.Unreported {
			p.unreportedBackoff.recordStart(now)
		}
		return p.takeFromQueue(h.Job, task, c), true
	}
	// A task that has failed probes an ejected target only if no other target
	// was chosen.
	if c, ok := p.dueProbe(now, task, r); ok {
		return p.takeForProbe(now, h.Job, task, c), true
	}
	if result == placement.NoFreeSlot {
		p.blocked = append(p.blocked, r.Service)
		return choice{}, false
	}
	if c, ok := p.placeShortest(now, h, r.RunTimeBudget); ok {
		return c, true
	}
	p.queue.Park(h.Job)
	return choice{}, false
}

// placeShortest places the shortest task of a job, which does not determine when
// the job ends, on a slow slot that is not suitable for the first task.
func (p *loadPolicy) placeShortest(now time.Time, h queue.Head, budget time.Duration) (choice, bool) {
	task := &p.waitingJobs[h.Job].tasks[h.Shortest.Index]
	if h.Shortest.Index == h.Task.Index || len(task.tried) > 0 {
		return choice{}, false
	}
	r := p.placementRequest(task)
	r.RunTimeBudget = budget
	c, result := p.table.Choose(now, r)
	if result != placement.Found {
		return choice{}, false
	}
	t, _ := p.queue.Take(h.Job, true)
	return p.newChoice(task, t, c), true
}

// dueProbe returns an ejected target that is due for a probe with the task.
func (p *loadPolicy) dueProbe(now time.Time, task *taskState, r placement.Request) (placement.Choice, bool) {
	for _, name := range p.health.Ejected() {
		if !p.health.ProbeDue(now, name, task.job.submission.Repeatable) {
			continue
		}
		if c, ok := p.table.ChooseForProbe(name, r); ok {
			return c, true
		}
	}
	return placement.Choice{}, false
}

func (p *loadPolicy) takeFromQueue(job uint64, task *taskState, c placement.Choice) choice {
	t, _ := p.queue.Take(job, false)
	return p.newChoice(task, t, c)
}

func (p *loadPolicy) takeForProbe(now time.Time, job uint64, task *taskState, c placement.Choice) choice {
	p.health.StartProbe(now, c.Target)
	taken := p.takeFromQueue(job, task, c)
	taken.probe = true
	return taken
}

func (p *loadPolicy) newChoice(task *taskState, t queue.Task, c placement.Choice) choice {
	p.addWaiting(task.job, -1)
	task.queued = false
	return choice{
		task: task, target: c.Target, address: c.Address, expected: c.Expected, charged: t.Expected, unreported: c.Unreported,
	}
}

func (p *loadPolicy) nextHedge(now time.Time) (choice, bool) {
	for len(p.hedgeTimers) > 0 && !now.Before(p.hedgeTimers[0].at) {
		timer := heap.Pop(&p.hedgeTimers).(hedgeTimer)
		if c, ok := p.chooseHedge(now, timer); ok {
			return c, true
		}
	}
	return choice{}, false
}

func (p *loadPolicy) chooseHedge(now time.Time, timer hedgeTimer) (choice, bool) {
	task, j := timer.task, timer.task.job
	inFlight := slices.ContainsFunc(task.inFlight, func(o placedAttempt) bool { return o.target == timer.target })
	if j.state.Answered() || j.state.TaskDone(task.index) || task.queued || !inFlight {
		return choice{}, false
	}
	r := p.placementRequest(task)
	r.Tried = append(slices.Clone(task.tried), timer.target)
	c, result := p.table.Choose(now, r)
	if result != placement.Found {
		p.hedgeTimers.add(hedgeTimer{at: now.Add(queuePollInterval), task: task, target: timer.target})
		return choice{}, false
	}
	service := p.dir.State.Services[j.submission.Service]
	t := hedge.Task{
		Repeatable: j.submission.Repeatable, InFlight: len(task.inFlight), Finished: j.state.TaskAttemptsUsed(task.index),
		MaxAttempts: service.MaxAttempts, Deadline: j.deadline,
	}
	if !p.hedgeBudgets[j.submission.Service].Take(now, t, c.Expected) {
		return choice{}, false
	}
	p.queue.RecordStart(j.policyState.queue.Team, c.Expected)
	return choice{task: task, target: c.Target, address: c.Address, expected: c.Expected, charged: c.Expected, hedge: true}, true
}
