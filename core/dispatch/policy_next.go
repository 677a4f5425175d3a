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
	// maxSkip bounds the jobs that one decision passes over because no free
	// slot suits their next task.
	maxSkip = 16
	// unreportedFirst and unreportedLast bound the time between starts on targets of
	// which nothing is known.
	unreportedFirst = 500 * time.Millisecond
	unreportedLast  = 10 * time.Second
)

// unreportedStarts spaces out the starts on targets of which nothing is known:
// twice as far after each refusal.
type unreportedStarts struct {
	next     time.Time
	interval time.Duration
}

func (b *unreportedStarts) used(now time.Time) {
	b.interval = max(b.interval, unreportedFirst)
	b.next = now.Add(b.interval)
}

func (b *unreportedStarts) ended(ran bool) {
	if ran {
		b.interval, b.next = unreportedFirst, time.Time{}
		return
	}
	b.interval = min(2*b.interval, unreportedLast)
}

func (p *loadPolicy) next(now time.Time) (choice, bool) {
	p.fund()
	for _, name := range p.health.LiftExpiredLimits(now) {
		p.table.SetLimit(name, p.health.Limit(name))
	}
	if len(p.jobs) == 0 {
		return choice{}, false
	}
	p.blocked = p.blocked[:0]
	defer p.queue.UnparkAll()
	for range maxSkip {
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

// fund queues the retries that the budget allows now.
func (p *loadPolicy) fund() {
	for len(p.awaitingBudget) > 0 && p.budget.Take() {
		p.requeue(p.awaitingBudget[0])
		p.awaitingBudget = p.awaitingBudget[1:]
	}
}

// place finds a target for the first task in order, or else for the shortest
// one of the same job, or passes over the job.
func (p *loadPolicy) place(now time.Time, h queue.Head) (choice, bool) {
	w := &p.jobs[h.Job].work[h.Task.Index]
	n := p.need(w)
	if c, ok := p.probe(now, w, n); ok && len(w.tried) == 0 {
		return p.takeProbe(now, h.Job, w, c), true
	}
	n.RunTimeBudget = max(w.job.plan.queue.Expected-now.Sub(w.job.admitted), h.Task.Expected)
	n.AllowUnreported = !now.Before(p.unreported.next)
	c, verdict := p.table.Choose(now, n)
	if verdict == placement.Found {
		if c.Unreported {
			p.unreported.used(now)
		}
		return p.take(h.Job, w, c), true
	}
	// A task that has failed is a probe only where nothing else takes it.
	if c, ok := p.probe(now, w, n); ok {
		return p.takeProbe(now, h.Job, w, c), true
	}
	if verdict == placement.NoFreeSlot {
		p.blocked = append(p.blocked, n.Service)
		return choice{}, false
	}
	if c, ok := p.placeShortest(now, h, n.RunTimeBudget); ok {
		return c, true
	}
	p.queue.Park(h.Job)
	return choice{}, false
}

// placeShortest uses a slow slot for a task that its job does not wait for.
func (p *loadPolicy) placeShortest(now time.Time, h queue.Head, within time.Duration) (choice, bool) {
	w := &p.jobs[h.Job].work[h.Shortest.Index]
	if h.Shortest.Index == h.Task.Index || len(w.tried) > 0 {
		return choice{}, false
	}
	n := p.need(w)
	n.RunTimeBudget = within
	c, verdict := p.table.Choose(now, n)
	if verdict != placement.Found {
		return choice{}, false
	}
	t, _ := p.queue.Take(h.Job, true)
	return p.taken(w, t, c), true
}

// probe returns an ejected target that is due for a single task.
func (p *loadPolicy) probe(now time.Time, w *pending, n placement.Request) (placement.Choice, bool) {
	for _, name := range p.health.Ejected() {
		if !p.health.ProbeDue(now, name, w.job.sub.Repeatable) {
			continue
		}
		if c, ok := p.table.ChooseForProbe(name, n); ok {
			return c, true
		}
	}
	return placement.Choice{}, false
}

func (p *loadPolicy) take(job uint64, w *pending, c placement.Choice) choice {
	t, _ := p.queue.Take(job, false)
	return p.taken(w, t, c)
}

func (p *loadPolicy) takeProbe(now time.Time, job uint64, w *pending, c placement.Choice) choice {
	p.health.StartProbe(now, c.Target)
	taken := p.take(job, w, c)
	taken.probe = true
	return taken
}

func (p *loadPolicy) taken(w *pending, t queue.Task, c placement.Choice) choice {
	p.await(w.job, -1)
	w.queued = false
	return choice{
		work: w, target: c.Target, address: c.Address, expected: c.Expected, charged: t.Expected, unreported: c.Unreported,
	}
}

func (p *loadPolicy) hedge(now time.Time) (choice, bool) {
	for len(p.hedges) > 0 && !now.Before(p.hedges[0].at) {
		e := heap.Pop(&p.hedges).(hedgeTime)
		if c, ok := p.hedgeOf(now, e); ok {
			return c, true
		}
	}
	return choice{}, false
}

func (p *loadPolicy) hedgeOf(now time.Time, e hedgeTime) (choice, bool) {
	w, j := e.work, e.work.job
	stays := slices.ContainsFunc(w.open, func(o placed) bool { return o.target == e.target })
	if j.rec.Answered() || j.rec.TaskDone(w.task) || w.queued || !stays {
		return choice{}, false
	}
	n := p.need(w)
	n.Tried = append(slices.Clone(w.tried), e.target)
	c, verdict := p.table.Choose(now, n)
	if verdict != placement.Found {
		p.hedges.add(hedgeTime{at: now.Add(queueTick), work: w, target: e.target})
		return choice{}, false
	}
	service := p.dir.State.Services[j.sub.Service]
	a := hedge.Task{
		Repeatable: j.sub.Repeatable, InFlight: len(w.open), Finished: j.rec.TaskAttemptsUsed(w.task),
		MaxAttempts: service.MaxAttempts, Deadline: j.deadline,
	}
	if !p.bounds[j.sub.Service].Take(now, a, c.Expected) {
		return choice{}, false
	}
	p.queue.RecordStart(j.plan.queue.Team, c.Expected)
	return choice{work: w, target: c.Target, address: c.Address, expected: c.Expected, charged: c.Expected, hedge: true}, true
}
