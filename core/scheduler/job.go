package scheduler

import (
	"slices"
	"time"

	"marigoldfront.dev/core/forecast"
)

const (
	// minRetryAfter is the shortest time after which a refused job should be
	// submitted again. It suits refusals that do not depend on the load, because
	// another instance takes over within about a second.
	minRetryAfter = time.Second
	// targetWait is how long a started job waits for targets if this instance has none.
	// The owners of targets settle within it after a change.
	targetWait = 3 * time.Second
)

// job is a job that has not been answered yet.
type job struct {
	Job
	tasks     [][]*task  // by step
	remaining []int      // by step: number of tasks that are not done
	stepRuns  []stepRuns // by step
	waiters   []waiter
	// withdrawnAt is the last time at which the withdrawn job was certainly awaited, or
	// zero.
	withdrawnAt time.Time
	// unplaced is the number of tasks of ready steps that need a target.
	unplaced int
	// started is set after the first start. mayHaveRun is set while any start
	// may have had an effect.
	started, mayHaveRun bool
	// criticalPath is the forecast run time of the longest chain of dependent
	// steps. objective is the latency objective that is derived from it.
	criticalPath, objective time.Duration
	queued                  bool
	// lacksTargetsSince is since when the job lacks targets for its tasks, or zero.
	lacksTargetsSince time.Time
	// late is set while the job is forecast to miss its objective. Others come first.
	late bool
	// overdue is set if the job was accepted although its objective was missed by far,
	// because there was idle room for it.
	overdue bool
	// suspected is set once a task was suspect. isolatedSuccess is set once a suspect
	// task has succeeded.
	suspected, isolatedSuccess bool
	// summary is updated while the job runs.
	summary Summary
}

// stepRuns holds the run times of the completed tasks of a step.
type stepRuns struct {
	samples []forecast.Sample
	// totalBase is the sum of the run times, scaled to a target of average speed.
	totalBase time.Duration
}

// meanBase returns the mean run time on a target of average speed, or 0.
func (r stepRuns) meanBase() time.Duration {
	return r.totalBase / time.Duration(max(len(r.samples), 1))
}

// task is one task of a job.
type task struct {
	id       TaskID
	job      *job
	step     *Step
	attempt  int
	failures int
	// refusals counts the starts that are known to have had no effect.
	refusals int
	// hungRuns counts the runs that were stopped because they took too long.
	hungRuns int
	// crashes counts the crashes of targets under the task, and commonLosses those
	// among them that have a common cause with others.
	crashes      crashCount
	commonLosses int
	// recordTimeout is until when the task waits for the record of its last loss.
	recordTimeout time.Time
	// ran is set once a run of the task has ended or is given up as lost.
	ran  bool
	run  *run
	done bool
	// avoid lists the targets on which the task failed or hung.
	avoid []string
}

// waiting reports whether the task is ready and has no run.
func (t *task) waiting() bool { return !t.done && t.run == nil && t.job.ready(t.id.Step) }

// ready reports whether all steps that the step depends on are done.
func (j *job) ready(step int) bool {
	for _, a := range j.Steps[step].After {
		if j.remaining[a] > 0 {
			return false
		}
	}
	return true
}

// latestStart returns when the job has to start to meet its objective.
func (j *job) latestStart() time.Time { return j.Arrived.Add(j.objective - j.criticalPath) }

func (s *Scheduler) submit(ev Submit) {
	if j := s.jobs[ev.Job.ID]; j != nil {
		j.waiters = append(j.waiters, s.newWaiter(ev))
		s.requests[ev.Request] = j
		return
	}
	s.recordSubmit(ev.Job.Queue)
	j := s.newJob(ev.Job)
	j.waiters = []waiter{s.newWaiter(ev)}
	s.jobs[j.ID] = j
	s.nextDeadline = earliest(s.nextDeadline, j.Deadline)
	if j.suspected {
		s.suspectedJobs++
	}
	s.requests[ev.Request] = j
	j.summary.Backlog = s.forecastWait(j, "")
	switch {
	case s.cancelled.Has(s.now, j.ID):
		s.giveUp(j, ReasonCancelled)
		return
	case j.anyTask((*task).crashedTooOften):
		s.finish(j, crashFailure)
		return
	case j.anyTask((*task).held):
		// Tasks of an earlier submission have run.
		s.finish(j, Unknown{Reason: ReasonTargetLost})
		return
	}
	if reason, ok := s.admit(j); !ok {
		s.finish(j, Refused{Reason: reason, RetryAfter: s.retryAfter(j)})
		return
	}
	s.recordDemand(j)
	s.enqueue(j)
	s.nextPlan = s.now
}

func (s *Scheduler) newJob(in Job) *job {
	j := &job{Job: in, tasks: make([][]*task, len(in.Steps)), remaining: make([]int, len(in.Steps)), stepRuns: make([]stepRuns, len(in.Steps))}
	for i := range in.Steps {
		step := &j.Steps[i]
		j.remaining[i] = step.Count
		for k := range step.Count {
			t := &task{id: TaskID{Job: in.ID, Step: i, Index: k}, job: j, step: step}
			t.crashes = s.crashLog.count(t.id)
			j.suspected = j.suspected || t.suspect()
			j.tasks[i] = append(j.tasks[i], t)
		}
	}
	j.criticalPath = in.criticalPath(func(estimate time.Duration) time.Duration {
		return s.model.BaseRunTime(in.Queue, estimate)
	})
	j.objective = in.objective(j.criticalPath)
	j.countUnplaced()
	return j
}

// criticalPath returns the run time of the longest chain of dependent steps.
// runTime returns the run time of a task with an estimate.
func (j *Job) criticalPath(runTime func(estimate time.Duration) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += runTime(j.Steps[i].Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns the latency objective of a job with a critical path.
func (j *Job) objective(criticalPath time.Duration) time.Duration {
	return time.Duration(float64(criticalPath)*max(1, j.Stretch)) + j.Slack
}

// LatestStart returns when the job has to start to meet its latency objective and
// its deadline, if the caller's estimates are exact.
func (j *Job) LatestStart() time.Time {
	path := j.criticalPath(func(estimate time.Duration) time.Duration { return estimate })
	return earliest(j.Arrived.Add(j.objective(path)), j.Deadline).Add(-path)
}

// task returns the task with an ID, or nil if its job does not run here.
func (s *Scheduler) task(id TaskID) *task {
	if j := s.jobs[id.Job]; j != nil {
		return j.task(id)
	}
	return nil
}

// task returns the task with an ID of the job, or nil if there is none.
func (j *job) task(id TaskID) *task {
	if id.Step < 0 || id.Step >= len(j.tasks) || id.Index < 0 || id.Index >= len(j.tasks[id.Step]) {
		return nil
	}
	return j.tasks[id.Step][id.Index]
}

// anyTask reports whether a task of the job satisfies a condition.
func (j *job) anyTask(ok func(*task) bool) bool {
	return slices.ContainsFunc(j.tasks, func(ts []*task) bool { return slices.ContainsFunc(ts, ok) })
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

// withdraw drops a request. A job without awaited requests is stopped.
func (s *Scheduler) withdraw(r RequestID) {
	j := s.requests[r]
	if j == nil {
		return
	}
	delete(s.requests, r)
	i := slices.IndexFunc(j.waiters, func(w waiter) bool { return w.request == r })
	left := j.waiters[i]
	j.waiters = slices.Delete(j.waiters, i, i+1)
	if len(j.waiters) == 0 {
		j.withdrawnAt = s.awaitedAt(left)
		s.giveUp(j, ReasonWithdrawn)
	}
}

// giveUp ends a job without a result: as refused if no task can have run,
// otherwise as unknown.
func (s *Scheduler) giveUp(j *job, reason Reason) {
	if j.mayHaveRun {
		s.finish(j, Unknown{Reason: reason})
		return
	}
	s.finish(j, Refused{Reason: reason, RetryAfter: s.retryAfter(j)})
}

// expire ends the jobs whose deadline has passed and handles the due runs of all
// targets.
func (s *Scheduler) expire() {
	s.expireJobs()
	for _, t := range s.sortedTargets {
		s.expireRuns(t)
	}
}

// expireJobs ends the jobs whose deadline has passed.
func (s *Scheduler) expireJobs() {
	if s.now.Before(s.nextDeadline) {
		return
	}
	for _, j := range s.jobsWhere(func(j *job) bool { return !s.now.Before(j.Deadline) }) {
		s.giveUp(j, ReasonDeadline)
	}
	s.nextDeadline = time.Time{}
	for _, j := range s.jobs {
		s.nextDeadline = earliest(s.nextDeadline, j.Deadline)
	}
}

// refuseJobsWithoutTargets ends the jobs for which this instance has no targets left.
func (s *Scheduler) refuseJobsWithoutTargets() {
	s.recordLackOfTargets()
	for _, j := range s.queuedWhere(func(j *job) bool { return !j.lacksTargetsSince.IsZero() && !s.mayAwaitTargets(j) }) {
		s.giveUp(j, ReasonNoTarget)
	}
}

// recordLackOfTargets records since when the queued jobs lack targets.
func (s *Scheduler) recordLackOfTargets() {
	for _, j := range s.queue {
		switch {
		case !s.lacksTargets(j):
			j.lacksTargetsSince = time.Time{}
		case j.lacksTargetsSince.IsZero():
			j.lacksTargetsSince = s.now
		}
	}
}

// mayAwaitTargets reports whether a job without targets is kept: it has started, and
// its remaining tasks could still end in time if this instance gets targets within
// targetWait.
func (s *Scheduler) mayAwaitTargets(j *job) bool {
	end := j.lacksTargetsSince.Add(targetWait)
	return j.started && !s.draining && s.now.Before(end) && end.Add(j.criticalPath).Before(s.latestUsefulEnd(j))
}

// lacksTargets reports whether tasks of a job need a target, but all targets of
// its service are draining, evacuated or owned by other instances. A job that has
// started may still use targets that have just begun to drain or to be evacuated.
func (s *Scheduler) lacksTargets(j *job) bool {
	return j.unplaced > 0 && !slices.ContainsFunc(s.sortedTargets, func(t *target) bool {
		return t.Service == j.Service && !t.removed && (!t.Draining && !t.evacuated() || s.mayFinishOn(t, j))
	})
}

// finish answers a job, records its run times and stops its remaining runs.
func (s *Scheduler) finish(j *job, o Outcome) {
	requests := make([]RequestID, len(j.waiters))
	for i, w := range j.waiters {
		requests[i] = w.request
		delete(s.requests, w.request)
	}
	if len(requests) > 0 {
		s.emit(Reply{Requests: requests, Job: j.ID, Outcome: o, Summary: s.summarize(j)})
	}
	delete(s.jobs, j.ID)
	if j.suspected {
		s.suspectedJobs--
	}
	s.dequeue(j)
	for i, r := range j.stepRuns {
		if len(r.samples) > 0 {
			s.model.Learn(j.Queue, j.Steps[i].Estimate, r.samples)
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

// maxUnfinishedRuns limits the unfinished runs that a summary lists.
const maxUnfinishedRuns = 4

func (s *Scheduler) summarize(j *job) Summary {
	m := j.summary
	m.Queue, m.Forecast, m.Objective = j.Queue, j.criticalPath, j.objective
	m.Age = s.now.Sub(j.Arrived)
	m.Priority, m.Cost = j.Priority, s.cost(j)
	if !j.started {
		m.Waited = m.Age
	}
	for _, ts := range j.tasks {
		m.Tasks += len(ts)
		for _, t := range ts {
			m.Failed += t.failures
			m.Hung += t.hungRuns
			m.Crashes += t.crashes.all
			if r := t.run; r != nil && len(m.Unfinished) < maxUnfinishedRuns {
				m.Unfinished = append(m.Unfinished, UnfinishedRun{
					Run: r.id, Target: r.target.ID, Age: s.now.Sub(r.started), Forecast: r.expected,
				})
			}
		}
	}
	return m
}
