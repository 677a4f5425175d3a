package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldfront.dev/core/forecast"
)

const (
	// retrySoon is the time to come back after a refusal that has nothing to
	// do with the load: another instance takes over within about a second.
	retrySoon = time.Second
)

// job is a job without an answer.
type job struct {
	Job
	tasks   [][]*task // by step
	left    []int     // tasks of each step that are not done
	ended   []ended   // by step
	waiters []RequestID
	// unplaced is the number of tasks of ready steps that wait for a target.
	unplaced int
	// started is set after the first start; mayHaveRun while any start may
	// have taken effect.
	started, mayHaveRun bool
	// longest is the forecast of the longest chain of work, and objective the
	// latency objective that follows from it.
	longest, objective time.Duration
	refuseAt           time.Time
	queued             bool
	// summary is filled in as the job goes on.
	summary Summary
}

// ended holds the run times of the done tasks of a step.
type ended struct {
	runs []forecast.Sample
	// base is their sum, as on targets of average speed.
	base time.Duration
}

// mean is the mean run time on a target of average speed, or 0.
func (e ended) mean() time.Duration { return e.base / time.Duration(max(len(e.runs), 1)) }

// task is one task of a job.
type task struct {
	id       TaskID
	job      *job
	step     *Step
	number   int
	failures int
	// refusals counts starts that a target refused.
	refusals int
	// hung counts the runs that were stopped because they took too long.
	hung int
	// ran is set once a run of the task has ended without success.
	ran  bool
	run  *run
	done bool
	// avoid names the targets on which the task failed or hung.
	avoid []string
}

// waiting says whether the task can be placed now.
func (t *task) waiting() bool { return !t.done && t.run == nil && t.job.ready(t.id.Step) }

// ready says whether all earlier steps that the step waits for are done.
func (j *job) ready(step int) bool {
	for _, a := range j.Steps[step].After {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

// latestStart is when the job has to start to meet its objective.
func (j *job) latestStart() time.Time { return j.Arrived.Add(j.objective - j.longest) }

func (s *Scheduler) submit(ev Submit) {
	if j := s.jobs[ev.Job.ID]; j != nil {
		j.waiters = append(j.waiters, ev.Request)
		s.requests[ev.Request] = j
		return
	}
	j := s.newJob(ev.Job)
	j.waiters = []RequestID{ev.Request}
	s.jobs[j.ID] = j
	s.requests[ev.Request] = j
	j.summary.Backlog = s.backlog(j)
	if reason, ok := s.admit(j); !ok {
		s.finish(j, Refused{Reason: reason, RetryAfter: s.retryAfter()})
		return
	}
	s.enqueue(j)
}

func (s *Scheduler) newJob(in Job) *job {
	j := &job{Job: in, tasks: make([][]*task, len(in.Steps)), left: make([]int, len(in.Steps)), ended: make([]ended, len(in.Steps))}
	ends := make([]time.Duration, len(in.Steps))
	for i := range in.Steps {
		step := &j.Steps[i]
		j.left[i] = step.Count
		for k := range step.Count {
			j.tasks[i] = append(j.tasks[i], &task{id: TaskID{Job: in.ID, Step: i, Index: k}, job: j, step: step})
		}
		for _, a := range step.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.model.BaseRunTime(in.Queue, step.Estimate)
		j.longest = max(j.longest, ends[i])
	}
	j.objective = time.Duration(float64(j.longest)*max(1, in.Stretch)) + in.Slack
	j.refuseAt = in.Arrived.Add(time.Duration(float64(j.objective) * s.policy.HoldShare))
	j.countUnplaced()
	return j
}

func (j *job) countUnplaced() {
	j.unplaced = 0
	for _, ts := range j.tasks {
		for _, t := range ts {
			if t.waiting() {
				j.unplaced++
			}
		}
	}
}

// retryAfter is when a refused caller may return: after the backlog.
func (s *Scheduler) retryAfter() time.Duration { return max(retrySoon, s.backlog(nil)) }

// withdraw drops a request. A job for which nobody waits is stopped.
func (s *Scheduler) withdraw(r RequestID) {
	j := s.requests[r]
	if j == nil {
		return
	}
	delete(s.requests, r)
	j.waiters = slices.DeleteFunc(j.waiters, func(w RequestID) bool { return w == r })
	if len(j.waiters) == 0 {
		s.giveUp(j, ReasonWithdrawn)
	}
}

// giveUp answers a job that has no result.
func (s *Scheduler) giveUp(j *job, reason Reason) {
	if j.mayHaveRun {
		s.finish(j, Unknown{Reason: reason})
		return
	}
	s.finish(j, Refused{Reason: reason, RetryAfter: s.retryAfter()})
}

// expire answers the jobs whose deadline has passed.
func (s *Scheduler) expire() {
	for _, j := range s.jobsThat(func(j *job) bool { return !s.now.Before(j.Deadline) }) {
		s.giveUp(j, ReasonDeadline)
	}
	for _, t := range s.order {
		s.expireRuns(t)
	}
}

// refuseHopeless answers the jobs that can no longer start in time, or for
// which this instance has no targets any more. It comes after the placement, so
// that a job that arrives late still uses free room.
func (s *Scheduler) refuseHopeless() {
	for _, j := range s.jobsThat(s.stranded) {
		s.giveUp(j, ReasonNoTarget)
	}
	for _, j := range s.jobsThat(func(j *job) bool {
		return !j.started && !s.now.Before(j.refuseAt) && s.hopeless(j)
	}) {
		s.giveUp(j, ReasonOverloaded)
	}
}

// stranded says whether tasks of a job wait although all targets of its service
// are leaving or other instances' by now.
func (s *Scheduler) stranded(j *job) bool {
	return j.unplaced > 0 && !slices.ContainsFunc(s.order, func(t *target) bool {
		return t.Service == j.Service && !t.removed && !t.Draining
	})
}

// jobsThat returns the jobs that meet a condition, by ID.
func (s *Scheduler) jobsThat(ok func(*job) bool) []*job {
	var out []*job
	for _, j := range s.jobs {
		if ok(j) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// finish answers a job and stops what it still runs.
func (s *Scheduler) finish(j *job, o Outcome) {
	for _, w := range j.waiters {
		delete(s.requests, w)
	}
	if len(j.waiters) > 0 {
		s.emit(Reply{Requests: j.waiters, Job: j.ID, Outcome: o, Summary: s.summarize(j)})
	}
	delete(s.jobs, j.ID)
	s.dequeue(j)
	for i, e := range j.ended {
		if len(e.runs) > 0 {
			s.model.Learn(j.Queue, j.Steps[i].Estimate, e.runs)
		}
	}
	for _, ts := range j.tasks {
		for _, t := range ts {
			if t.run != nil {
				s.abandon(t.run)
			}
		}
	}
}

// maxOpenRuns bounds the runs that a summary names.
const maxOpenRuns = 4

func (s *Scheduler) summarize(j *job) Summary {
	m := j.summary
	m.Queue, m.Forecast, m.Objective = j.Queue, j.longest, j.objective
	m.Age = s.now.Sub(j.Arrived)
	if !j.started {
		m.Waited = m.Age
	}
	for _, ts := range j.tasks {
		m.Tasks += len(ts)
		for _, t := range ts {
			m.Failed += t.failures
			m.Hung += t.hung
			if r := t.run; r != nil && len(m.Unfinished) < maxOpenRuns {
				m.Unfinished = append(m.Unfinished, UnfinishedRun{
					Run: r.id, Target: r.target.ID, Age: s.now.Sub(r.started), Forecast: r.expected,
				})
			}
		}
	}
	return m
}

func (s *Scheduler) enqueue(j *job) {
	j.countUnplaced()
	if j.queued || j.unplaced == 0 {
		return
	}
	j.queued = true
	i, _ := slices.BinarySearchFunc(s.queue, j, compareJobs)
	s.queue = slices.Insert(s.queue, i, j)
}

func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	s.queue = slices.DeleteFunc(s.queue, func(q *job) bool { return q == j })
}

func (s *Scheduler) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(s.jobs), func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
}
