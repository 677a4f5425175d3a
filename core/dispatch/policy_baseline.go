package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

const (
	// minBackoff and maxBackoff bound the delay of a task after an attempt that
	// did not run it. The delay doubles with each such attempt.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
)

// baselinePolicy is the policy PolicyBaseline. It starts tasks at once, in the
// order of arrival, round-robin on the live targets. It does not consider the
// slots, speeds or health of targets.
type baselinePolicy struct {
	cfg     Config
	rng     *rand.Rand
	dir     *directory.Directory
	targets map[string]*baselineTarget
	listed  map[string]ListedTarget
	// reportedLeaving holds the targets that reported that they are leaving,
	// including targets that are not configured at present.
	reportedLeaving map[string]bool
	// byService holds the targets of each service, and nextTarget the index of
	// the next one to use.
	byService  map[string][]*baselineTarget
	nextTarget map[string]int
	ready      []*taskState
	delayed    []delayedTask
	queueLen   int
	queueBytes int
}

type baselineTarget struct {
	directory.Target
	address string
	leaving bool
}

type delayedTask struct {
	at   time.Time
	task *taskState
}

func newBaselinePolicy(cfg Config, rng *rand.Rand) *baselinePolicy {
	return &baselinePolicy{
		cfg: cfg, rng: rng,
		targets: map[string]*baselineTarget{},
		listed:  map[string]ListedTarget{},

		reportedLeaving: map[string]bool{},
		nextTarget:      map[string]int{},
	}
}

func (p *baselinePolicy) setDirectory(_ time.Time, dir *directory.Directory) {
	p.dir = dir
	old := p.targets
	p.targets = map[string]*baselineTarget{}
	p.byService = map[string][]*baselineTarget{}
	names := make([]string, 0, len(dir.State.Targets))
	for name := range dir.State.Targets {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := old[name]
		if t == nil {
			t = &baselineTarget{}
		}
		t.Target = dir.State.Targets[name]
		p.targets[name] = t
		for _, s := range t.Services {
			p.byService[s] = append(p.byService[s], t)
		}
		p.applyInstanceList(t)
	}
	for s, ts := range p.byService {
		// A random first target spreads the load of several instances.
		p.nextTarget[s] = p.rng.IntN(len(ts))
	}
}

func (p *baselinePolicy) setInstanceList(_ time.Time, ts []ListedTarget) {
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
		p.applyInstanceList(t)
	}
}

func (p *baselinePolicy) applyInstanceList(t *baselineTarget) {
	l, ok := p.listed[t.Name]
	if !ok {
		l = ListedTarget{Name: t.Name, Address: t.Address}
	}
	addressChanged := t.address != "" && l.Address != t.address
	if l.Leaving || addressChanged {
		delete(p.reportedLeaving, t.Name)
	}
	t.address, t.leaving = l.Address, l.Leaving
}

func (p *baselinePolicy) setEntryInstances([]string) {}

func (p *baselinePolicy) admit(_ time.Time, j *activeJob) (answer.Code, string) {
	size := 0
	for _, t := range j.submission.Tasks {
		size += len(t.Payload)
	}
	if p.queueLen+len(j.submission.Tasks) > p.cfg.MaxQueuedTasks || p.queueBytes+size > p.cfg.MaxQueuedBytes {
		return answer.CodeOverloaded, "the queue is full"
	}
	serves, fits := false, false
	for _, t := range p.byService[j.submission.Service] {
		if !t.leaving && !p.reportedLeaving[t.Name] {
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

func (t *baselineTarget) fits(j *activeJob) bool {
	return j.submission.MemoryMB <= t.MemoryMB && j.submission.Accelerators <= t.Accelerators
}

func (p *baselinePolicy) enqueue(now time.Time, task *taskState, isRetry bool) {
	task.queued = true
	p.queueLen++
	p.queueBytes += len(task.job.submission.Tasks[task.index].Payload)
	if !isRetry || task.refusals == 0 {
		p.ready = append(p.ready, task)
		return
	}
	wait := min(minBackoff<<min(task.refusals-1, 10), maxBackoff)
	d := delayedTask{at: now.Add(wait), task: task}
	i, _ := slices.BinarySearchFunc(p.delayed, d, func(a, b delayedTask) int { return a.at.Compare(b.at) })
	p.delayed = slices.Insert(p.delayed, i, d)
}

func (p *baselinePolicy) remove(task *taskState) {
	if !task.queued {
		return
	}
	task.queued = false
	p.queueLen--
	p.queueBytes -= len(task.job.submission.Tasks[task.index].Payload)
}

func (p *baselinePolicy) nextStart(now time.Time) (choice, bool) {
	for len(p.delayed) > 0 && !now.Before(p.delayed[0].at) {
		p.ready = append(p.ready, p.delayed[0].task)
		p.delayed = p.delayed[1:]
	}
	for len(p.ready) > 0 {
		task := p.ready[0]
		p.ready = p.ready[1:]
		if !task.queued {
			continue
		}
		p.remove(task)
		if t := p.choose(task); t != nil {
			return choice{task: task, target: t.Name, address: t.address}, true
		}
		// No target is live: try again after a delay.
		task.refusals++
		p.enqueue(now, task, true)
	}
	return choice{}, false
}

// choose returns the next live target, in round-robin order, on which the task
// has not failed. If there is none, it returns a live target on which the task
// has failed, or nil.
func (p *baselinePolicy) choose(task *taskState) *baselineTarget {
	service := task.job.submission.Service
	ts := p.byService[service]
	var other *baselineTarget
	for i := range ts {
		index := (p.nextTarget[service] + i) % len(ts)
		t := ts[index]
		switch {
		case t.leaving, p.reportedLeaving[t.Name], !t.fits(task.job):
		case slices.Contains(task.tried, t.Name):
			other = t
		default:
			p.nextTarget[service] = index + 1
			return t
		}
	}
	return other
}

func (p *baselinePolicy) nextHedge(time.Time) (choice, bool) { return choice{}, false }

func (p *baselinePolicy) recordStart(time.Time, choice) {}

func (p *baselinePolicy) recordEnd(_ time.Time, j *activeJob, ev AttemptEnded, _ bool) {
	task := &j.tasks[ev.Attempt.Task]
	task.refusals++
	switch o := ev.Outcome.(type) {
	case Refused:
		if o.Cause == TargetLeaving {
			p.reportedLeaving[ev.Target] = true
		}
	case TaskFailed, Ambiguous:
		task.refusals = 0
		task.tried = append(task.tried, ev.Target)
	}
}

func (p *baselinePolicy) mayRetry(_ time.Time, task *taskState) bool {
	return task.job.state.TaskAttemptsUsed(task.index) < p.dir.State.Services[task.job.submission.Service].MaxAttempts
}

func (p *baselinePolicy) hasWorkFor(name string) (string, bool) {
	t := p.targets[name]
	if t == nil {
		return "", false
	}
	return t.address, p.queueLen > 0
}

func (p *baselinePolicy) queuedTasks() int { return p.queueLen }

func (p *baselinePolicy) nextWake(time.Time) time.Time {
	if len(p.delayed) == 0 {
		return time.Time{}
	}
	return p.delayed[0].at
}
