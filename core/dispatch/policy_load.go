package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"marigoldfront.dev/core/admission"
	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/health"
	"marigoldfront.dev/core/hedge"
	"marigoldfront.dev/core/placement"
	"marigoldfront.dev/core/queue"
	"marigoldfront.dev/core/retry"
)

const (
	// zoneSpread is the extra time of a start in another availability zone:
	// one round trip at 1.4 ms each way.
	zoneSpread = 3 * time.Millisecond
	// retryShare and retryBurst bound retries to a share of successful starts.
	retryShare = 0.1
	retryBurst = 100
	// teamCredit is the slot time, for each slot, that an idle team may be
	// behind the others.
	teamCredit = 600 * time.Millisecond
	// queueTick is how often a waiting queue is looked at without an event,
	// because what is known of free slots ages.
	queueTick = 10 * time.Millisecond
)

// loadPolicy composes the packages that decide on load and faults.
type loadPolicy struct {
	cfg    Config
	dir    *directory.Directory
	table  *placement.Table
	queue  *queue.Queue
	gate   *admission.Controller
	health *health.Monitor
	budget *retry.Budget
	bounds map[string]*hedge.Budget
	// jobs holds the jobs with waiting tasks.
	jobs    map[uint64]*activeJob
	lastKey uint64
	entries int
	// awaitingBudget are the retries that wait for the budget.
	awaitingBudget []*pending
	hedges         hedgeTimes
	blocked        []string
	unreported     unreportedStarts
}

// plan is what the policy keeps of a job.
type plan struct {
	queue queue.Job
	need  placement.Request
	// waiting is the number of tasks in the queue.
	waiting int
	// atFault is set where the job's failures are its own.
	atFault bool
}

func newLoadPolicy(cfg Config) *loadPolicy {
	limits := queue.Limits{Tasks: cfg.MaxQueuedTasks, Bytes: cfg.MaxQueuedBytes}
	return &loadPolicy{
		cfg: cfg,
		table: placement.New(placement.Config{
			Instance: cfg.Instance, Region: cfg.Region, AvailabilityZone: cfg.AvailabilityZone, CrossZonePenalty: zoneSpread,
			MinBorrowBacklog: cfg.MinBorrowBacklog,
		}),
		queue:   queue.New(limits),
		gate:    admission.New(admission.Limits{Tasks: cfg.MaxQueuedTasks, Bytes: cfg.MaxQueuedBytes}),
		health:  health.New(health.Config{EjectionThreshold: cfg.EjectionThreshold}),
		budget:  retry.New(retryShare, retryBurst),
		bounds:  map[string]*hedge.Budget{},
		jobs:    map[uint64]*activeJob{},
		entries: 1,
	}
}

func (p *loadPolicy) configure(_ time.Time, dir *directory.Directory) {
	p.dir = dir
	p.table.SetDirectory(dir)
	for name, s := range dir.State.Services {
		if p.bounds[name] == nil {
			p.bounds[name] = hedge.New(0)
		}
		p.bounds[name].SetPercent(s.HedgePercent)
	}
	p.setTeams()
	p.resize()
}

// setTeams divides the teams' caps over the entry instances of the region,
// whose other zones are taken to have as many as this one.
func (p *loadPolicy) setTeams() {
	if p.dir == nil {
		return
	}
	share := p.entries * p.table.Zones()
	for name, t := range p.dir.State.Teams {
		limit := 0
		if t.MaxRunning > 0 {
			limit = max(1, t.MaxRunning/max(1, share))
		}
		p.queue.SetTeam(name, t.Weight, limit)
	}
}

// resize follows a change of the targets or of this instance's share of them.
func (p *loadPolicy) resize() {
	p.health.SetTargets(p.table.Targets(), p.table.AssignedTargets())
	p.queue.SetLimits(queue.Limits{
		Tasks:      p.cfg.MaxQueuedTasks,
		Bytes:      p.cfg.MaxQueuedBytes,
		IdleCredit: time.Duration(p.table.AssignedSlots()) * teamCredit,
	})
}

func (p *loadPolicy) listTargets(_ time.Time, ts []ListedTarget) {
	all := make([]placement.ListedTarget, 0, len(ts))
	for _, t := range ts {
		all = append(all, placement.ListedTarget{Name: t.Name, Address: t.Address, Leaving: t.Leaving})
	}
	p.table.SetInstanceList(all)
	p.resize()
}

func (p *loadPolicy) listEntries(names []string) {
	p.entries = max(1, len(names))
	p.table.SetEntryInstances(names)
	p.setTeams()
	p.resize()
}

func (p *loadPolicy) admit(now time.Time, j *activeJob) (answer.Code, string) {
	team := p.dir.State.Callers[j.caller].Team
	p.lastKey++
	pl := &plan{
		queue: queue.Job{Key: p.lastKey, Team: team, Service: j.sub.Service, Arrived: now, Deadline: j.deadline},
		need: placement.Request{
			Service: j.sub.Service, MemoryMB: j.sub.MemoryMB, Accelerators: j.sub.Accelerators, HealthyOnly: !j.sub.Repeatable,
		},
	}
	r := admission.Request{Tasks: len(j.sub.Tasks), Deadline: j.deadline}
	for i, t := range j.sub.Tasks {
		d := p.table.ExpectedRunTime(j.sub.Service, t.Declared)
		pl.queue.Tasks = append(pl.queue.Tasks, queue.Task{Index: i, Bytes: len(t.Payload), Expected: d})
		r.Bytes += len(t.Payload)
		r.LongestTask = max(r.LongestTask, d)
		r.Work += d
	}
	pl.queue.Expected = r.LongestTask
	r.FitsAnyTarget, r.FitsServingTarget = p.table.Fits(j.sub.Service, j.sub.MemoryMB, j.sub.Accelerators)
	if p.table.ServingTargets(j.sub.Service) == 0 {
		return answer.CodeNoTarget, "no target of the service is in service"
	}
	j.plan = pl
	return p.gate.Decide(now, r, p.load(team))
}

func (p *loadPolicy) load(team string) admission.Load {
	tasks, bytes := p.queue.Len()
	own := p.queue.TeamLoad(team)
	return admission.Load{
		QueuedTasks: tasks + len(p.awaitingBudget), QueuedBytes: bytes,
		TeamTasks: own.Queued, TeamWork: own.Work,
		QueuedWork: p.queue.Work(), AssignedSlots: p.table.AssignedSlots(), TeamShare: p.queue.TeamShare(team, p.table.AssignedSlots()),
	}
}

func (p *loadPolicy) enqueue(_ time.Time, w *pending, again bool) {
	pl := w.job.plan
	switch {
	case !again:
		// The first task queues the whole job.
		w.queued = true
		if w.task == 0 {
			p.queue.Add(pl.queue)
			p.await(w.job, len(pl.queue.Tasks))
		}
	case w.spends && !p.budget.Take():
		w.queued = true
		p.awaitingBudget = append(p.awaitingBudget, w)
	default:
		p.requeue(w)
	}
}

// requeue puts a task back in front of its job's waiting tasks.
func (p *loadPolicy) requeue(w *pending) {
	w.queued, w.spends = true, false
	p.queue.Requeue(w.job.plan.queue, w.job.plan.queue.Tasks[w.task])
	p.await(w.job, 1)
}

// await adds n to the job's waiting tasks.
func (p *loadPolicy) await(j *activeJob, n int) {
	j.plan.waiting += n
	if j.plan.waiting > 0 {
		p.jobs[j.plan.queue.Key] = j
	} else {
		delete(p.jobs, j.plan.queue.Key)
	}
}

// remove drops all waiting tasks of the job, since a single one is never
// withdrawn while it waits.
func (p *loadPolicy) remove(w *pending) {
	if !w.queued {
		return
	}
	j := w.job
	dropped := p.queue.Drop(j.plan.queue.Key)
	p.await(j, -len(dropped))
	if len(dropped) < len(j.work) {
		p.awaitingBudget = slices.DeleteFunc(p.awaitingBudget, func(u *pending) bool { return u.job == j })
	}
	for i := range j.work {
		j.work[i].queued = false
	}
}

// need describes a waiting task to the table.
func (p *loadPolicy) need(w *pending) placement.Request {
	n := w.job.plan.need
	n.Declared = w.job.sub.Tasks[w.task].Declared
	n.Tried = w.tried
	// A task that has failed goes to targets without failures.
	n.HealthyOnly = n.HealthyOnly || len(w.tried) > 0
	n.Waiting, _ = p.queue.Len()
	return n
}

func (p *loadPolicy) waitsFor(name string) (string, bool) {
	waits := slices.ContainsFunc(p.table.Services(name), p.queue.HasWaiting)
	return p.table.Address(name), waits
}

func (p *loadPolicy) depth() int {
	tasks, _ := p.queue.Len()
	return tasks + len(p.awaitingBudget)
}

func (p *loadPolicy) wake(now time.Time) time.Time {
	var next time.Time
	if p.depth() > 0 {
		next = now.Add(queueTick)
	}
	if len(p.hedges) > 0 {
		next = earliest(next, p.hedges[0].at)
	}
	return next
}

// hedgeTimes orders running attempts by the time at which they are hedged.
type hedgeTimes []hedgeTime

type hedgeTime struct {
	at   time.Time
	work *pending
	// target is where the attempt runs.
	target string
}

func (h hedgeTimes) Len() int           { return len(h) }
func (h hedgeTimes) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h hedgeTimes) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hedgeTimes) Push(x any) { *h = append(*h, x.(hedgeTime)) }

// Pop implements heap.Interface.
func (h *hedgeTimes) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func (h *hedgeTimes) add(e hedgeTime) { heap.Push(h, e) }
