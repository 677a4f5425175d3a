package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

// policy makes all choices that no guarantee depends on: the order of the
// queue, the target of a start, admission, retry budgets, hedges and health.
// The Dispatcher calls it in this order for a task: enqueue, then remove or
// next, started, ended; enqueue again after mayRetry or a refusal. It decides
// itself whether a task may be started at all.
//
// This policy is plain: first in, first out for each service, and the target
// with the fewest tasks for its slots. It never hedges.
type policy struct {
	cfg     Config
	rng     *rand.Rand
	dir     *directory.Directory
	queues  map[string]*serviceQueue
	order   []*serviceQueue
	targets map[string]*target
	listed  map[string]ListedTarget
	held    []*target
	tasks   int
	bytes   int
}

// pending is one task of a job. It is in the queue while queued is set.
type pending struct {
	job        *activeJob
	task       int
	queued     bool
	prev, next *pending
}

// choice is a task to start and the target to start it on.
type choice struct {
	work            *pending
	target, address string
}

type serviceQueue struct {
	name        string
	first, last *pending
	targets     []*target
	// free counts the usable targets with a free slot.
	free int
}

type target struct {
	directory.Target
	address string
	leaving bool
	// signalled is set where the target itself said that it is leaving. The
	// instance list lags, so only a new address, an absence, or the time
	// signalHolds clears it.
	signalled   bool
	signalledAt time.Time
	holdUntil   time.Time
	running     int
	free        bool
	queues      []*serviceQueue
}

const (
	// holdAfterRefusal is the time without starts on a target that refused a
	// start or could not be reached.
	holdAfterRefusal = 5 * time.Millisecond
	// signalHolds is the time after which a target that said it is leaving,
	// but that the list still shows as live, counts as restarted.
	signalHolds = 30 * time.Second
)

func newPolicy(cfg Config, rng *rand.Rand) *policy {
	return &policy{
		cfg: cfg, rng: rng,
		queues:  map[string]*serviceQueue{},
		targets: map[string]*target{},
		listed:  map[string]ListedTarget{},
	}
}

// configure puts a configuration in force. Running counts are kept.
func (p *policy) configure(now time.Time, dir *directory.Directory) {
	p.dir = dir
	old := p.targets
	p.targets = make(map[string]*target, len(dir.State.Targets))
	for _, q := range p.queues {
		q.targets, q.free = nil, 0
	}
	names := make([]string, 0, len(dir.State.Targets))
	for name := range dir.State.Targets {
		names = append(names, name)
	}
	slices.Sort(names)
	for name, t := range old {
		p.retire(name, t)
	}
	for _, name := range names {
		t := old[name]
		if t == nil {
			t = &target{}
		}
		t.Target = dir.State.Targets[name]
		t.free, t.queues = false, nil
		p.targets[name] = t
		for _, s := range t.Services {
			q := p.queue(s)
			q.targets = append(q.targets, t)
			t.queues = append(t.queues, q)
		}
		p.locate(now, t)
	}
}

// retire takes a target out of use. It stays known while tasks run on it, so
// that their number is right should it come back.
func (p *policy) retire(name string, t *target) {
	t.queues, t.free, t.Slots = nil, false, 0
	if t.running > 0 {
		p.targets[name] = t
	}
}

// listTargets applies the instance list. An empty list changes nothing.
func (p *policy) listTargets(now time.Time, ts []ListedTarget) {
	if len(ts) == 0 {
		return
	}
	for name, l := range p.listed {
		l.Leaving = true
		p.listed[name] = l
	}
	for _, l := range ts {
		p.listed[l.Name] = l
	}
	for _, t := range p.targets {
		p.locate(now, t)
	}
}

// locate sets address and state of a target from the instance list.
func (p *policy) locate(now time.Time, t *target) {
	l, ok := p.listed[t.Name]
	if !ok {
		l = ListedTarget{Name: t.Name, Address: t.Address}
	}
	if l.Leaving || l.Address != t.address || now.Sub(t.signalledAt) >= signalHolds {
		t.signalled = false
	}
	t.address, t.leaving = l.Address, l.Leaving
	p.update(t)
}

// listEntries applies the live entry instances of the availability zone.
func (p *policy) listEntries([]string) {}

func (p *policy) queue(service string) *serviceQueue {
	q := p.queues[service]
	if q == nil {
		q = &serviceQueue{name: service}
		p.queues[service] = q
		at, _ := slices.BinarySearchFunc(p.order, service, func(a *serviceQueue, s string) int {
			return strings.Compare(a.name, s)
		})
		p.order = slices.Insert(p.order, at, q)
	}
	return q
}

// update recomputes whether a target can take a task.
func (p *policy) update(t *target) {
	free := !t.leaving && !t.signalled && t.holdUntil.IsZero() && t.running < t.Slots
	if free == t.free {
		return
	}
	t.free = free
	for _, q := range t.queues {
		if free {
			q.free++
		} else {
			q.free--
		}
	}
}

// admit returns why a job is refused, or an empty code.
func (p *policy) admit(_ time.Time, j *activeJob) (answer.Code, string) {
	size := 0
	for _, t := range j.sub.Tasks {
		size += len(t.Payload)
	}
	if p.tasks+len(j.sub.Tasks) > p.cfg.MaxQueuedTasks || p.bytes+size > p.cfg.MaxQueuedBytes {
		return answer.CodeOverloaded, "the queue is full"
	}
	serves, fits := false, false
	for _, t := range p.queue(j.sub.Service).targets {
		if t.leaving || t.signalled {
			continue
		}
		serves = true
		fits = fits || (j.sub.MemoryMB <= t.MemoryMB && j.sub.Accelerators <= t.Accelerators)
	}
	switch {
	case !serves:
		return answer.CodeNoTarget, "no target serves the service"
	case !fits:
		return answer.CodeNeverFits, "no target has the memory or accelerators for a task"
	}
	return "", ""
}

// enqueue adds a task that waits for a slot; again is set for tasks that were
// attempted before.
func (p *policy) enqueue(_ time.Time, w *pending, again bool) {
	q := p.queue(w.job.sub.Service)
	w.queued = true
	w.prev, w.next = q.last, nil
	if again {
		w.prev, w.next = nil, q.first
	}
	link(q, w)
	p.tasks++
	p.bytes += len(w.job.sub.Tasks[w.task].Payload)
}

func link(q *serviceQueue, w *pending) {
	if w.prev == nil {
		q.first = w
	} else {
		w.prev.next = w
	}
	if w.next == nil {
		q.last = w
	} else {
		w.next.prev = w
	}
}

// remove drops a task from the queue, if it is there.
func (p *policy) remove(w *pending) {
	if !w.queued {
		return
	}
	q := p.queue(w.job.sub.Service)
	if w.prev == nil {
		q.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.queued = nil, nil, false
	p.tasks--
	p.bytes -= len(w.job.sub.Tasks[w.task].Payload)
}

// maxSkip bounds the tasks that next passes over because no target suits them.
const maxSkip = 16

// next takes the next task that can start off the queue.
func (p *policy) next(now time.Time) (choice, bool) {
	p.release(now)
	for _, q := range p.order {
		skipped := 0
		for w := q.first; w != nil && q.free > 0 && skipped < maxSkip; w = w.next {
			if t := p.choose(q, w); t != nil {
				p.remove(w)
				return choice{work: w, target: t.Name, address: t.address}, true
			}
			skipped++
		}
	}
	return choice{}, false
}

// release ends the holds that are over.
func (p *policy) release(now time.Time) {
	for len(p.held) > 0 && !now.Before(p.held[0].holdUntil) {
		p.held[0].holdUntil = time.Time{}
		p.update(p.held[0])
		p.held = p.held[1:]
	}
}

// choose returns the free target with the fewest tasks for its slots, and nil
// where none suits. Targets that have tried the task come last.
func (p *policy) choose(q *serviceQueue, w *pending) *target {
	var best *target
	bestTried := false
	offset := p.rng.IntN(len(q.targets))
	for i := range q.targets {
		t := q.targets[(i+offset)%len(q.targets)]
		if !t.free || w.job.sub.MemoryMB > t.MemoryMB || w.job.sub.Accelerators > t.Accelerators {
			continue
		}
		tried := w.tried(t.Name)
		if best == nil || (bestTried && !tried) || (bestTried == tried && t.running*best.Slots < best.running*t.Slots) {
			best, bestTried = t, tried
		}
	}
	return best
}

func (w *pending) tried(name string) bool {
	found := false
	w.job.rec.TaskTargets(w.task, func(target string) bool {
		found = target == name
		return !found
	})
	return found
}

// hedge returns a running repeatable task to start a second time.
func (p *policy) hedge(time.Time) (choice, bool) { return choice{}, false }

// started records a start.
func (p *policy) started(_ time.Time, c choice) {
	t := p.targets[c.target]
	t.running++
	p.update(t)
}

// ended records the end of an attempt; counted is unset where the job had its
// answer, so that the end says little about the target.
func (p *policy) ended(now time.Time, _ *activeJob, ev AttemptEnded, _ bool) {
	t := p.targets[ev.Target]
	if t == nil {
		return
	}
	t.running--
	switch o := ev.Outcome.(type) {
	case Refused:
		if o.Cause == Leaving {
			t.signalled, t.signalledAt = true, now
		}
		p.hold(now, t)
	case NotSent:
		p.hold(now, t)
	}
	p.update(t)
}

func (p *policy) hold(now time.Time, t *target) {
	if t.holdUntil.IsZero() {
		t.holdUntil = now.Add(holdAfterRefusal)
		p.held = append(p.held, t)
	}
}

// mayRetry says whether a repeatable task that ran without success may run
// again, and takes that from the budget.
func (p *policy) mayRetry(_ time.Time, w *pending) bool {
	limit := p.dir.State.Services[w.job.sub.Service].MaxAttempts
	return w.job.rec.TaskConsumed(w.task) < limit
}

// waitsFor says whether queued work could use a slot of the target, and the
// target's address.
func (p *policy) waitsFor(name string) (string, bool) {
	t := p.targets[name]
	if t == nil {
		return "", false
	}
	waits := slices.ContainsFunc(t.queues, func(q *serviceQueue) bool { return q.first != nil })
	return t.address, waits
}

// depth is the number of queued tasks.
func (p *policy) depth() int { return p.tasks }

// wake is the time at which the policy wants to decide again, or zero.
func (p *policy) wake(time.Time) time.Time {
	if p.tasks == 0 || len(p.held) == 0 {
		return time.Time{}
	}
	return p.held[0].holdUntil
}
