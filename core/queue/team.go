package queue

import (
	"slices"
	"time"
)

// startedJobLead is the time by which a job that has started is treated as more
// urgent than a new one. With an unbounded lead, short jobs wait for all tasks of
// long ones, and the p99 slowdown at 90% load was 2.7 instead of 2.25.
const startedJobLead = 200 * time.Millisecond

// team holds the waiting jobs of one team and its use of slots.
type team struct {
	weight float64
	// maxRunning limits the number of running tasks; 0 means no limit.
	maxRunning  int
	running     int
	queuedTasks int
	waitingJobs int
	work        time.Duration
	// pass is the slot time charged so far divided by the weight, in seconds.
	pass  float64
	heaps []*jobHeap
}

func (t *team) charge(d time.Duration) { t.pass += d.Seconds() / t.weight }

func (t *team) atLimit() bool { return t.maxRunning > 0 && t.running >= t.maxRunning }

func (t *team) heapFor(service string) *jobHeap {
	for _, h := range t.heaps {
		if h.service == service {
			return h
		}
	}
	h := &jobHeap{service: service}
	t.heaps = append(t.heaps, h)
	return h
}

func (t *team) mostUrgent(blocked func(string) bool) *queuedJob {
	var best *queuedJob
	for _, h := range t.heaps {
		if len(h.jobs) == 0 || blocked != nil && blocked(h.service) {
			continue
		}
		if qj := h.jobs[0]; best == nil || qj.before(best) {
			best = qj
		}
	}
	return best
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{weight: 1}
		q.teams[name] = t
	}
	return t
}

// SetTeam sets the weight of a team, at least 1, and its limit on running tasks,
// 0 for none.
func (q *Queue) SetTeam(name string, weight, maxRunning int) {
	t := q.team(name)
	t.weight = float64(max(1, weight))
	t.maxRunning = maxRunning
}

// HasWaiting reports whether a task of the service waits in a job that is not
// parked.
func (q *Queue) HasWaiting(service string) bool {
	for _, t := range q.active {
		for _, h := range t.heaps {
			if h.service == service && len(h.jobs) > 0 {
				return true
			}
		}
	}
	return false
}

// TeamLoad holds the queued and running tasks of one team.
type TeamLoad struct {
	Queued  int
	Running int
	// Work is the forecast slot time of the queued tasks.
	Work time.Duration
}

// TeamLoad returns the queued and running tasks of a team.
func (q *Queue) TeamLoad(name string) TeamLoad {
	t := q.team(name)
	return TeamLoad{Queued: t.queuedTasks, Running: t.running, Work: t.work}
}

// TeamShare returns the fraction of the slots, 0 to 1, that a team can use. It is
// the larger of the team's weighted share among the teams with waiting or running
// tasks, and the fraction that the running tasks of the other teams leave free.
func (q *Queue) TeamShare(name string, slots int) float64 {
	ownTeam := q.team(name)
	sum, running := ownTeam.weight, 0
	for _, t := range q.teams {
		if t != ownTeam && t.waitingJobs+t.running > 0 {
			sum += t.weight
			running += t.running
		}
	}
	return max(ownTeam.weight/sum, 1-float64(running)/float64(max(1, slots)))
}

// Work returns the forecast slot time of the waiting tasks of all teams.
func (q *Queue) Work() time.Duration {
	var sum time.Duration
	for _, t := range q.active {
		sum += t.work
	}
	return sum
}

// queuedJob is a job with waiting tasks.
type queuedJob struct {
	key     uint64
	service string
	team    *team
	heap    *jobHeap
	tasks   []Task
	started bool
	// due is the time by which the job should end. startBy is the latest start
	// time of its next task that meets due, minus startedJobLead if the job has
	// started.
	due      time.Time
	startBy  time.Time
	sequence uint64
	// heapIndex is the position in the heap, or -1 if the job is not in it.
	heapIndex int
}

// updateStartBy recomputes startBy after a change of the next task.
func (qj *queuedJob) updateStartBy() {
	qj.startBy = qj.due.Add(-qj.tasks[0].Expected)
	if qj.started {
		qj.startBy = qj.startBy.Add(-startedJobLead)
	}
}

// before orders jobs by startBy, and by the sequence of their arrival in the queue
// if the times are equal.
func (qj *queuedJob) before(other *queuedJob) bool {
	if c := qj.startBy.Compare(other.startBy); c != 0 {
		return c < 0
	}
	return qj.sequence < other.sequence
}

// jobHeap is a heap of the jobs of one team for one service. It implements
// heap.Interface.
type jobHeap struct {
	service string
	jobs    []*queuedJob
}

func (h *jobHeap) Len() int           { return len(h.jobs) }
func (h *jobHeap) Less(i, j int) bool { return h.jobs[i].before(h.jobs[j]) }

func (h *jobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].heapIndex, h.jobs[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	qj := x.(*queuedJob)
	qj.heapIndex = len(h.jobs)
	h.jobs = append(h.jobs, qj)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	qj := h.jobs[last]
	h.jobs = slices.Delete(h.jobs, last, last+1)
	qj.heapIndex = -1
	return qj
}
