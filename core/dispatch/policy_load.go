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
	// crossZonePenalty is the extra time of a start in another availability
	// zone: one round trip with a latency of 1.4 ms in each direction.
	crossZonePenalty = 3 * time.Millisecond
	// retryBudgetShare is the maximum number of retries as a share of the
	// successful attempts, and retryBudgetBurst the largest burst of retries.
	retryBudgetShare = 0.1
	retryBudgetBurst = 100
	// idleCreditPerSlot is the slot time, for each assigned slot, by which a
	// team that was idle may lag the others.
	idleCreditPerSlot = 600 * time.Millisecond
	// queuePollInterval is the interval at which a non-empty queue is checked
	// without an event. It is needed because load reports expire with time,
	// which changes the slots that count as free.
	queuePollInterval = 10 * time.Millisecond
)

// loadPolicy is the policy PolicyLoad. It combines admission control, the fair
// queue, placement, health, retry budgets and hedging.
type loadPolicy struct {
	cfg          Config
	dir          *directory.Directory
	table        *placement.Table
	queue        *queue.Queue
	admission    *admission.Controller
	health       *health.Monitor
	retryBudget  *retry.Budget
	hedgeBudgets map[string]*hedge.Budget
	// waitingJobs holds the jobs with queued tasks by their key in the queue.
	waitingJobs    map[uint64]*activeJob
	lastQueueKey   uint64
	entryInstances int
	// awaitingBudget holds the retries that wait for retry budget.
	awaitingBudget []*taskState
	hedgeTimers    hedgeTimers
	// blocked holds the services for which no slot is free, during one
	// call of nextStart.
	blocked           []string
	unreportedBackoff unreportedBackoff
}

// policyState is the state of a job in the loadPolicy.
type policyState struct {
	queue   queue.Job
	request placement.Request
	// waitingTasks is the number of tasks in the queue.
	waitingTasks int
	// atFault is set if the job itself is considered the cause of its failures.
	atFault bool
}

func newLoadPolicy(cfg Config) *loadPolicy {
	limits := queue.Limits{Tasks: cfg.MaxQueuedTasks, Bytes: cfg.MaxQueuedBytes}
	return &loadPolicy{
		cfg: cfg,
		table: placement.New(placement.Config{
			Instance: cfg.Instance, Region: cfg.Region, AvailabilityZone: cfg.AvailabilityZone, CrossZonePenalty: crossZonePenalty,
			MinBorrowBacklog: cfg.MinBorrowBacklog,
		}),
		queue:          queue.New(limits),
		admission:      admission.New(admission.Limits{Tasks: cfg.MaxQueuedTasks, Bytes: cfg.MaxQueuedBytes}),
		health:         health.New(health.Config{EjectionThreshold: cfg.EjectionThreshold}),
		retryBudget:    retry.New(retryBudgetShare, retryBudgetBurst),
		hedgeBudgets:   map[string]*hedge.Budget{},
		waitingJobs:    map[uint64]*activeJob{},
		entryInstances: 1,
	}
}

func (p *loadPolicy) setDirectory(_ time.Time, dir *directory.Directory) {
	p.dir = dir
	p.table.SetDirectory(dir)
	for name, s := range dir.State.Services {
		if p.hedgeBudgets[name] == nil {
			p.hedgeBudgets[name] = hedge.New(0)
		}
		p.hedgeBudgets[name].SetPercent(s.HedgePercent)
	}
	p.updateTeamLimits()
	p.updateCapacity()
}

// updateTeamLimits divides the limits of the teams evenly among the entry
// instances of the region. It assumes that every zone has as many of them as
// this one.
func (p *loadPolicy) updateTeamLimits() {
	if p.dir == nil {
		return
	}
	instances := p.entryInstances * p.table.Zones()
	for name, t := range p.dir.State.Teams {
		limit := 0
		if t.MaxRunning > 0 {
			limit = max(1, t.MaxRunning/max(1, instances))
		}
		p.queue.SetTeam(name, t.Weight, limit)
	}
}

// updateCapacity applies a change of the targets, or of the share of them that is
// assigned to this instance, to health and to the queue.
func (p *loadPolicy) updateCapacity() {
	p.health.SetTargets(p.table.Targets(), p.table.AssignedTargets())
	p.queue.SetLimits(queue.Limits{
		Tasks:      p.cfg.MaxQueuedTasks,
		Bytes:      p.cfg.MaxQueuedBytes,
		IdleCredit: time.Duration(p.table.AssignedSlots()) * idleCreditPerSlot,
	})
}

func (p *loadPolicy) setInstanceList(_ time.Time, ts []ListedTarget) {
	all := make([]placement.ListedTarget, 0, len(ts))
	for _, t := range ts {
		all = append(all, placement.ListedTarget{Name: t.Name, Address: t.Address, Leaving: t.Leaving})
	}
	p.table.SetInstanceList(all)
	p.updateCapacity()
}

func (p *loadPolicy) setEntryInstances(names []string) {
	p.entryInstances = max(1, len(names))
	p.table.SetEntryInstances(names)
	p.updateTeamLimits()
	p.updateCapacity()
}

func (p *loadPolicy) admit(now time.Time, j *activeJob) (answer.Code, string) {
	team := p.dir.State.Callers[j.caller].Team
	p.lastQueueKey++
	state := &policyState{
		queue: queue.Job{Key: p.lastQueueKey, Team: team, Service: j.submission.Service, Arrived: now, Deadline: j.deadline},
		request: placement.Request{
			Service: j.submission.Service, MemoryMB: j.submission.MemoryMB, Accelerators: j.submission.Accelerators, HealthyOnly: !j.submission.Repeatable,
		},
	}
	r := admission.Request{Tasks: len(j.submission.Tasks), Deadline: j.deadline}
	for i, t := range j.submission.Tasks {
		d := p.table.ExpectedRunTime(j.submission.Service, t.Declared)
		state.queue.Tasks = append(state.queue.Tasks, queue.Task{Index: i, Bytes: len(t.Payload), Expected: d})
		r.Bytes += len(t.Payload)
		r.LongestTask = max(r.LongestTask, d)
		r.Work += d
	}
	state.queue.Expected = r.LongestTask
	r.FitsAnyTarget, r.FitsServingTarget = p.table.Fits(j.submission.Service, j.submission.MemoryMB, j.submission.Accelerators)
	if p.table.ServingTargets(j.submission.Service) == 0 {
		return answer.CodeNoTarget, "no target of the service is in service"
	}
	j.policyState = state
	return p.admission.Decide(now, r, p.admissionLoad(team))
}

func (p *loadPolicy) admissionLoad(team string) admission.Load {
	tasks, bytes := p.queue.Len()
	teamLoad := p.queue.TeamLoad(team)
	return admission.Load{
		QueuedTasks: tasks + len(p.awaitingBudget), QueuedBytes: bytes,
		TeamTasks: teamLoad.Queued, TeamWork: teamLoad.Work,
		QueuedWork: p.queue.Work(), AssignedSlots: p.table.AssignedSlots(), TeamShare: p.queue.TeamShare(team, p.table.AssignedSlots()),
	}
}

func (p *loadPolicy) enqueue(_ time.Time, task *taskState, isRetry bool) {
	state := task.job.policyState
	switch {
	case !isRetry:
		// The queue takes all tasks of a job at once, with the first one.
		task.queued = true
		if task.index == 0 {
			p.queue.Add(state.queue)
			p.addWaiting(task.job, len(state.queue.Tasks))
		}
	case task.usesRetryBudget && !p.retryBudget.Take():
		task.queued = true
		p.awaitingBudget = append(p.awaitingBudget, task)
	default:
		p.requeue(task)
	}
}

// requeue puts a task back into the queue, before the other tasks of its job.
func (p *loadPolicy) requeue(task *taskState) {
	task.queued, task.usesRetryBudget = true, false
	p.queue.Requeue(task.job.policyState.queue, task.job.policyState.queue.Tasks[task.index])
	p.addWaiting(task.job, 1)
}

// addWaiting adds n to the number of the job's queued tasks.
func (p *loadPolicy) addWaiting(j *activeJob, n int) {
	j.policyState.waitingTasks += n
	if j.policyState.waitingTasks > 0 {
		p.waitingJobs[j.policyState.queue.Key] = j
	} else {
		delete(p.waitingJobs, j.policyState.queue.Key)
	}
}

// remove removes all queued tasks of the job, because tasks are only ever removed
// together.
func (p *loadPolicy) remove(task *taskState) {
	if !task.queued {
		return
	}
	j := task.job
	dropped := p.queue.Drop(j.policyState.queue.Key)
	p.addWaiting(j, -len(dropped))
	if len(dropped) < len(j.tasks) {
		p.awaitingBudget = slices.DeleteFunc(p.awaitingBudget, func(other *taskState) bool { return other.job == j })
	}
	for i := range j.tasks {
		j.tasks[i].queued = false
	}
}

// placementRequest returns what a task requires of a target.
func (p *loadPolicy) placementRequest(task *taskState) placement.Request {
	r := task.job.policyState.request
	r.Declared = task.job.submission.Tasks[task.index].Declared
	r.Tried = task.tried
	// A task that has failed is placed only on targets without recent failures.
	r.HealthyOnly = r.HealthyOnly || len(task.tried) > 0
	r.Waiting, _ = p.queue.Len()
	return r
}

func (p *loadPolicy) hasWorkFor(name string) (string, bool) {
	wanted := slices.ContainsFunc(p.table.Services(name), p.queue.HasWaiting)
	return p.table.Address(name), wanted
}

func (p *loadPolicy) queuedTasks() int {
	tasks, _ := p.queue.Len()
	return tasks + len(p.awaitingBudget)
}

func (p *loadPolicy) nextWake(now time.Time) time.Time {
	var next time.Time
	if p.queuedTasks() > 0 {
		next = now.Add(queuePollInterval)
	}
	if len(p.hedgeTimers) > 0 {
		next = earliest(next, p.hedgeTimers[0].at)
	}
	return next
}

// hedgeTimers is a heap of attempts in flight, ordered by the time at which they
// may be hedged.
type hedgeTimers []hedgeTimer

type hedgeTimer struct {
	at   time.Time
	task *taskState
	// target is the target on which the attempt runs.
	target string
}

func (h hedgeTimers) Len() int           { return len(h) }
func (h hedgeTimers) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h hedgeTimers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hedgeTimers) Push(x any) { *h = append(*h, x.(hedgeTimer)) }

// Pop implements heap.Interface.
func (h *hedgeTimers) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	*h = (*h)[:last]
	return timer
}

func (h *hedgeTimers) add(timer hedgeTimer) { heap.Push(h, timer) }
