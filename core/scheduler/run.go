package scheduler

import (
	"slices"
	"time"

	"marigoldfront.dev/core/forecast"
)

const (
	// maxForecastDoublings limits how often the forecast of a task is doubled
	// after its runs hung.
	maxForecastDoublings = 10
	// staleAttemptStep is added to the attempt number of a task after its target
	// rejected the attempt as stale, which happens if an earlier submission of
	// the job reached a higher attempt there.
	staleAttemptStep = 100
	// maxRefusedStarts is the number of refused starts of one task at which its
	// job is given up.
	maxRefusedStarts = 32
)

// runState is the state of a run.
type runState int

const (
	starting runState = iota
	running
	// stopping means that the run is no longer needed, or that its start was not
	// answered. It is over once the target lists its completion, or once a poll
	// that was sent after the target answered the stop does not list it.
	stopping
)

// run is a start that may still have a run on the target.
type run struct {
	id     RunID
	task   *task  // nil once the job no longer needs the run
	queue  string // of the job, or empty if it is unknown
	target *target
	need   capacity
	state  runState
	// foreign is set for a run that the target reports, but that this Scheduler
	// has no record of, for example one that an earlier owner started.
	foreign bool
	// isolated is set for the run of a suspect task, which has its target to itself.
	isolated bool
	// accepted is set once the target has answered the start. lost is set once the run
	// was lost with its target, whose incarnation lostWith is. commonLoss is set if
	// many other targets were lost at the same time.
	accepted, lost, commonLoss bool
	lostWith                   int64
	// answered is set once the target has answered the start or the stop. A poll
	// sent after answeredAt lists the run if it exists.
	answered   bool
	answeredAt time.Time
	started    time.Time
	expected   time.Duration
	// resendStopAt is when the stop is sent again. It is zero while a stop is in
	// flight or after one was answered.
	resendStopAt time.Time
	// givenUpAt is when the job ended before the run, or zero. stops and leases count
	// the stops and the leases that were sent to the target since then.
	givenUpAt     time.Time
	stops, leases int
	// resubmissionAt is when the job of a run that was given up may be submitted again.
	resubmissionAt time.Time
	// leaseOver is set once the lease on the run has ended.
	leaseOver bool
}

func (s *Scheduler) nextRunWake(r *run) time.Time {
	switch {
	case r.state == stopping && r.resendsStop():
		return r.resendStopAt
	case r.state == running && r.target.inContact():
		return s.overdueAt(r)
	}
	return time.Time{}
}

// resendsStop reports whether an unanswered stop of the run is sent again. While the
// target does not answer, only runs that limit its lease are stopped again.
func (r *run) resendsStop() bool {
	return !r.target.fenced && (r.target.unanswered == 0 || r.limitsLease())
}

// overdueAt returns when the run counts as hung. If the other tasks of its step
// took longer than forecast, their mean run time is used instead. Each run of the
// task that was stopped as hung quadruples the forecast, so that a task with too
// low an estimate can still complete.
func (s *Scheduler) overdueAt(r *run) time.Time {
	d := r.expected
	if r.task != nil {
		d <<= min(2*r.task.hungRuns, maxForecastDoublings)
		d = max(d, r.task.job.stepRuns[r.id.Task.Step].meanBase())
	}
	return r.started.Add(s.policy.overdue(d))
}

// startTask starts a task on a target.
func (s *Scheduler) startTask(k *task, t *target) {
	k.attempt++
	r := &run{
		id: RunID{Task: k.id, Attempt: k.attempt}, task: k, queue: k.job.Queue, target: t, need: k.step.need(), started: s.now,
		expected: s.expectedRunTime(k, s.baseRunTime(k), t),
	}
	if k.suspect() {
		r.isolated, r.need = true, t.free
		t.isolatedRuns++
	}
	k.run = r
	if !k.job.started {
		k.job.summary.Waited = s.now.Sub(k.job.Arrived)
	}
	k.job.started, k.job.mayHaveRun = true, true
	k.job.summary.Starts++
	t.runs[r.id] = r
	t.free.add(r.need, -1)
	t.nextPoll = s.now
	s.emit(Start{
		Run: r.id, Target: t.ID, Address: t.Address, Payload: k.job.Payload, TraceID: k.job.TraceID,
		Fence: t.Fence, LeaseMS: s.renewLease(t),
	})
}

// removeRun removes a run that is known to be over and frees its capacity.
func (s *Scheduler) removeRun(r *run, evidence Evidence) {
	delete(r.target.runs, r.id)
	r.target.free.add(r.need, 1)
	if r.limitsLease() {
		s.forgetGivenUp(r)
	}
	if !r.givenUpAt.IsZero() {
		s.emit(GivenUpRunOver{
			Run: r.id, Target: r.target.ID, After: s.now.Sub(r.givenUpAt), Evidence: evidence, Stops: r.stops, Leases: r.leases,
		})
	}
	if r.isolated {
		r.target.isolatedRuns--
	}
	if r.task != nil {
		r.task.run = nil
	}
}

// runLost removes a run that is over without a known result and queues its task
// again.
func (s *Scheduler) runLost(r *run) {
	k := r.task
	s.removeRun(r, EvidenceAbsent)
	if k != nil {
		k.ran = true
		k.job.summary.Lost++
		s.enqueue(k.job)
	}
}

// releaseTask queues the task of a run again whose lease has ended, although the
// target has not reported the end of the run. The run is still stopped, because its
// start may arrive late.
func (s *Scheduler) releaseTask(r *run) {
	k := r.task
	if k == nil {
		return
	}
	r.task, k.run, k.ran = nil, nil, true
	r.leaseOver = true
	k.job.summary.Lost++
	if r.state != stopping {
		r.state, r.answered, r.resendStopAt = stopping, false, s.now
	}
	s.enqueue(k.job)
}

// resendStops sends the unanswered stops again after the target was unreachable.
func (s *Scheduler) resendStops(t *target) {
	for _, r := range t.sortedRuns() {
		if r.state == stopping && !r.resendStopAt.IsZero() {
			s.sendStop(r)
		}
	}
}

// abandon stops a run that its job no longer needs.
func (s *Scheduler) abandon(r *run) {
	s.giveUpRun(r)
	if r.state != stopping {
		r.state = stopping
		r.answered = false
		s.sendStop(r)
	}
}

func (s *Scheduler) sendStop(r *run) {
	r.resendStopAt = time.Time{}
	r.stops++
	s.emit(Stop{Run: r.id, Target: r.target.ID, Address: r.target.Address, Fence: r.target.Fence})
}

func (s *Scheduler) startReturned(ev StartReturned) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	r := t.runs[ev.Run]
	if r == nil || r.foreign {
		return
	}
	if r.started.After(t.bornAt) {
		// An earlier incarnation may have answered other starts.
		t.updateClock(ev.ClockMS, s.now)
	}
	switch ev.Result {
	case StartUnanswered, StartNotSent, StartWrongTarget:
	default:
		t.recordAnswer(s.now)
	}
	switch ev.Result {
	case StartAccepted:
		r.accepted = true
		r.answered, r.answeredAt = true, s.now
		if r.state == starting {
			r.state = running
		}
	case StartUnanswered:
		t.recordNoAnswer(s.now)
		r.state = stopping
		s.sendStop(r)
	case StartFenced:
		s.startRefused(r, ev.Result)
		s.targetFenced(t)
	default:
		s.startRefused(r, ev.Result)
	}
}

// startRefused handles a start that is known to have had no effect.
func (s *Scheduler) startRefused(r *run, result StartResult) {
	t, k := r.target, r.task
	s.removeRun(r, EvidenceRefused)
	switch result {
	case StartNotSent, StartWrongTarget:
		t.recordNoAnswer(s.now)
	case StartUnhealthy, StartInvalid:
		s.recordBadRun(t, r.id.Task.Job)
		t.pausedUntil = s.now.Add(unhealthyPause)
	case StartNoCapacity:
		// The target has runs that this instance has no record of.
		t.synced, t.nextPoll = false, s.now
	case StartStaleAttempt:
		if k != nil {
			k.attempt += staleAttemptStep
		}
	}
	if k == nil {
		return
	}
	k.refusals++
	k.job.summary.RefusedStarts++
	if k.refusals >= maxRefusedStarts {
		s.giveUp(k.job, ReasonNoTarget)
		return
	}
	if !k.job.hasRun() {
		k.job.mayHaveRun = false
	}
	s.enqueue(k.job)
}

func (s *Scheduler) stopReturned(ev StopReturned) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	r := t.runs[ev.Run]
	if r == nil || r.state != stopping {
		return
	}
	switch {
	case ev.Fenced:
		// If this instance claims the target again, the run may still be active.
		r.resendStopAt = s.now
		s.targetFenced(t)
	case ev.Answered:
		t.recordAnswer(s.now)
		r.answered, r.answeredAt = true, s.now
		t.nextPoll = s.now
	default:
		t.recordNoAnswer(s.now)
		r.resendStopAt = s.now.Add(stopRetryInterval)
		if r.limitsLease() {
			r.resendStopAt = s.now.Add(urgentStopRetryInterval)
		}
	}
}

// runCompleted handles a run that its target lists as completed.
func (s *Scheduler) runCompleted(r *run, result RunResult) {
	k, t := r.task, r.target
	s.removeRun(r, EvidenceListed)
	if result == RunSucceeded && !r.foreign {
		t.consecutiveBadRuns, t.ejections, t.ejectedUntil = 0, 0, time.Time{}
	}
	if k == nil {
		return
	}
	k.ran = true
	switch result {
	case RunSucceeded:
		k.job.isolatedSuccess = k.job.isolatedSuccess || r.isolated
		s.recordRunTime(k, t, s.now.Sub(r.started))
		s.taskDone(k)
	case RunFailed:
		s.recordBadRun(t, k.job.ID)
		k.failures++
		k.avoid = append(k.avoid, t.ID)
		if k.failures >= max(1, k.job.MaxAttempts) {
			s.finish(k.job, Failed{Reason: "a task has failed as often as it may"})
			return
		}
		s.enqueue(k.job)
	default:
		s.enqueue(k.job)
	}
}

// recordRunTime stores the run time of a completed task. The forecast model
// learns the run times of a step together, once the job is answered.
func (s *Scheduler) recordRunTime(k *task, t *target, took time.Duration) {
	if k.step.Rack != "" && !slices.Contains(t.Labels, k.step.Rack) {
		took = time.Duration(float64(took) / max(1, s.cfg.RemoteRackFactor))
	}
	r := &k.job.stepRuns[k.id.Step]
	r.samples = append(r.samples, forecast.Sample{Target: t.ID, RunTime: took})
	r.totalBase += time.Duration(float64(took) / s.model.Slowness(t.ID))
}

func (s *Scheduler) taskDone(k *task) {
	j := k.job
	k.done = true
	j.remaining[k.id.Step]--
	for _, n := range j.remaining {
		if n > 0 {
			s.enqueue(j)
			return
		}
	}
	s.finish(j, Completed{})
}

// hasRun reports whether any task of the job is running, may be running or has
// run.
func (j *job) hasRun() bool {
	for _, ts := range j.tasks {
		for _, t := range ts {
			if t.run != nil || t.done || t.failures > 0 || t.ran {
				return true
			}
		}
	}
	return false
}

// recordBadRun counts a failure against the target and ejects the target after
// too many. Consecutive failures of one job count once, because the job is the
// more likely cause.
func (s *Scheduler) recordBadRun(t *target, job string) {
	if t.lastBadJob != job || t.consecutiveBadRuns == 0 {
		t.consecutiveBadRuns++
	}
	t.lastBadJob = job
	if t.consecutiveBadRuns >= s.policy.EjectAfter {
		t.ejectedUntil = s.now.Add(min(minEjection<<min(t.ejections, 3), maxEjection))
		t.ejections++
	}
}
