package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

const (
	// backOffFirst and backOffLast bound the wait of a task that a target
	// refused; it doubles with each refusal.
	backOffFirst = 5 * time.Millisecond
	backOffLast  = 160 * time.Millisecond
)

// baseline is the plain policy: tasks are sent in order of arrival, at once,
// to the live targets in turn. It knows nothing of slots, speeds or health.
type baseline struct {
	cfg     Config
	rng     *rand.Rand
	dir     *directory.Directory
	targets map[string]*baseTarget
	listed  map[string]ListedTarget
	// signalled names the targets that said that they are leaving, also those
	// that are not configured at the moment.
	signalled map[string]bool
	// byService holds the targets of each service, turn the next of them.
	byService map[string][]*baseTarget
	turn      map[string]int
	ready     []*pending
	delayed   []delayed
	tasks     int
	bytes     int
}

type baseTarget struct {
	directory.Target
	address string
	leaving bool
}

type delayed struct {
	at   time.Time
	work *pending
}

func newBaseline(cfg Config, rng *rand.Rand) *baseline {
	return &baseline{
		cfg: cfg, rng: rng,
		targets: map[string]*baseTarget{},
		listed:  map[string]ListedTarget{},

		signalled: map[string]bool{},
		turn:      map[string]int{},
	}
}

func (p *baseline) configure(_ time.Time, dir *directory.Directory) {
	p.dir = dir
	old := p.targets
	p.targets = map[string]*baseTarget{}
	p.byService = map[string][]*baseTarget{}
	names := make([]string, 0, len(dir.State.Targets))
	for name := range dir.State.Targets {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := old[name]
		if t == nil {
			t = &baseTarget{}
		}
		t.Target = dir.State.Targets[name]
		p.targets[name] = t
		for _, s := range t.Services {
			p.byService[s] = append(p.byService[s], t)
		}
		p.locate(t)
	}
	for s, ts := range p.byService {
		// Instances start at different targets.
		p.turn[s] = p.rng.IntN(len(ts))
	}
}

func (p *baseline) listTargets(_ time.Time, ts []ListedTarget) {
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
		p.locate(t)
	}
}

func (p *baseline) locate(t *baseTarget) {
	l, ok := p.listed[t.Name]
	if !ok {
		l = ListedTarget{Name: t.Name, Address: t.Address}
	}
	moved := t.address != "" && l.Address != t.address
	if l.Leaving || moved {
		delete(p.signalled, t.Name)
	}
	t.address, t.leaving = l.Address, l.Leaving
}

func (p *baseline) listEntries([]string) {}

func (p *baseline) admit(_ time.Time, j *activeJob) (answer.Code, string) {
	size := 0
	for _, t := range j.sub.Tasks {
		size += len(t.Payload)
	}
	if p.tasks+len(j.sub.Tasks) > p.cfg.MaxQueuedTasks || p.bytes+size > p.cfg.MaxQueuedBytes {
		return answer.CodeOverloaded, "the queue is full"
	}
	serves, fits := false, false
	for _, t := range p.byService[j.sub.Service] {
		if !t.leaving && !p.signalled[t.Name] {
			serves = true
			fits = fits || t.fits(j)
		}
	}
	switch {
	case !serves:
		return answer.CodeNoTarget, "no target serves the service"
	case !fits:
		return answer.CodeNeverFits, "no target has the memory or accelerators for a task"
	}
	return "", ""
}

func (t *baseTarget) fits(j *activeJob) bool {
	return j.sub.MemoryMB <= t.MemoryMB && j.sub.Accelerators <= t.Accelerators
}

func (p *baseline) enqueue(now time.Time, w *pending, again bool) {
	w.queued = true
	p.tasks++
	p.bytes += len(w.job.sub.Tasks[w.task].Payload)
	if !again || w.refusals == 0 {
		p.ready = append(p.ready, w)
		return
	}
	wait := min(backOffFirst<<min(w.refusals-1, 10), backOffLast)
	d := delayed{at: now.Add(wait), work: w}
	i, _ := slices.BinarySearchFunc(p.delayed, d, func(a, b delayed) int { return a.at.Compare(b.at) })
	p.delayed = slices.Insert(p.delayed, i, d)
}

func (p *baseline) remove(w *pending) {
	if !w.queued {
		return
	}
	w.queued = false
	p.tasks--
	p.bytes -= len(w.job.sub.Tasks[w.task].Payload)
}

func (p *baseline) next(now time.Time) (choice, bool) {
	for len(p.delayed) > 0 && !now.Before(p.delayed[0].at) {
		p.ready = append(p.ready, p.delayed[0].work)
		p.delayed = p.delayed[1:]
	}
	for len(p.ready) > 0 {
		w := p.ready[0]
		p.ready = p.ready[1:]
		if !w.queued {
			continue
		}
		p.remove(w)
		if t := p.choose(w); t != nil {
			return choice{work: w, target: t.Name, address: t.address}, true
		}
		// No target is live: look again later.
		w.refusals++
		p.enqueue(now, w, true)
	}
	return choice{}, false
}

// choose returns the next live target in turn that did not fail the task, or
// else the next live one.
func (p *baseline) choose(w *pending) *baseTarget {
	service := w.job.sub.Service
	ts := p.byService[service]
	var other *baseTarget
	for i := range ts {
		at := (p.turn[service] + i) % len(ts)
		t := ts[at]
		switch {
		case t.leaving, p.signalled[t.Name], !t.fits(w.job):
		case slices.Contains(w.tried, t.Name):
			other = t
		default:
			p.turn[service] = at + 1
			return t
		}
	}
	return other
}

func (p *baseline) hedge(time.Time) (choice, bool) { return choice{}, false }

func (p *baseline) started(time.Time, choice) {}

func (p *baseline) ended(_ time.Time, j *activeJob, ev AttemptEnded, _ bool) {
	w := &j.work[ev.Attempt.Task]
	w.refusals++
	switch o := ev.Outcome.(type) {
	case Refused:
		if o.Cause == TargetLeaving {
			p.signalled[ev.Target] = true
		}
	case TaskFailed, Ambiguous:
		w.refusals = 0
		w.tried = append(w.tried, ev.Target)
	}
}

func (p *baseline) mayRetry(_ time.Time, w *pending) bool {
	return w.job.rec.TaskAttemptsUsed(w.task) < p.dir.State.Services[w.job.sub.Service].MaxAttempts
}

func (p *baseline) waitsFor(name string) (string, bool) {
	t := p.targets[name]
	if t == nil {
		return "", false
	}
	return t.address, p.tasks > 0
}

func (p *baseline) depth() int { return p.tasks }

func (p *baseline) wake(time.Time) time.Time {
	if len(p.delayed) == 0 {
		return time.Time{}
	}
	return p.delayed[0].at
}
