package scheduler

import (
	"slices"
	"time"

	"marigoldfront.dev/core/forecast"
)

const (
	// maxPatience bounds the doublings of a forecast.
	maxPatience = 10
	// outdatedStep is added to the number of a run that the target takes for
	// an old one, because an earlier copy of the job got further there.
	outdatedStep = 100
	// maxRefusedStarts bounds the starts of a task that its targets refuse.
	maxRefusedStarts = 32
)

// runState is the state of a run.
type runState int

const (
	starting runState = iota
	running
	// stopping: the run is unwanted, or its start was not answered. It ends by
	// an end in the list, or by a look after the answered stop.
	stopping
)

// run is one start that may still be in effect.
type run struct {
	id     RunID
	task   *task // nil once the job does not want the run any more
	target *target
	need   capacity
	state  runState
	// foreign is set for a run that an earlier owner started.
	foreign bool
	// settled is set once the target has answered the start or the stop, so
	// that a look sent after settledAt shows the run if there is one.
	settled   bool
	settledAt time.Time
	started   time.Time
	expected  time.Duration
	// stopAt is when the stop is sent again; zero while one is on its way or
	// has been answered.
	stopAt time.Time
}

func (s *Scheduler) wakeRun(r *run) time.Time {
	switch {
	case r.state == stopping && r.target.failures == 0:
		return r.stopAt
	case r.state == running:
		return s.overdueAt(r)
	}
	return time.Time{}
}

// overdueAt is when the run is taken to hang. What the other tasks of its step
// took counts where they took longer than forecast. After each run that was
// stopped for it the forecast counts four times as much, so that a task with a
// wrong estimate ends in time.
func (s *Scheduler) overdueAt(r *run) time.Time {
	d := r.expected
	if r.task != nil {
		d <<= min(2*r.task.hung, maxPatience)
		d = max(d, r.task.job.ended[r.id.Task.Step].mean())
	}
	return r.started.Add(s.policy.overdue(d))
}

// begin starts a task on a target.
func (s *Scheduler) begin(k *task, t *target) {
	k.number++
	r := &run{
		id: RunID{Task: k.id, Attempt: k.number}, task: k, target: t, need: k.step.need(), started: s.now,
		expected: s.expect(k, s.base(k), t),
	}
	k.run = r
	if !k.job.started {
		k.job.summary.Waited = s.now.Sub(k.job.Arrived)
	}
	k.job.started, k.job.mayHaveRun = true, true
	k.job.summary.Starts++
	t.runs[r.id] = r
	t.free.add(r.need, -1)
	t.extended, t.lookAt = s.now, s.now
	s.emit(Start{
		Run: r.id, Target: t.ID, Address: t.Address, Payload: k.job.Payload, TraceID: k.job.TraceID,
		Fence: t.Fence, LeaseMS: s.leaseMS(t),
	})
}

// remove forgets a run that is certainly over and frees its room.
func (s *Scheduler) remove(r *run) {
	delete(r.target.runs, r.id)
	r.target.free.add(r.need, 1)
	if r.task != nil {
		r.task.run = nil
	}
}

// gone handles a run that is over without a known end: its task runs again.
func (s *Scheduler) gone(r *run) {
	k := r.task
	s.remove(r)
	if k != nil {
		k.ran = true
		k.job.summary.Lost++
		s.enqueue(k.job)
	}
}

// release lets the task of a run go on elsewhere although the target has not
// said what became of the run. The target is still told to stop it, because a
// start may be carried out late.
func (s *Scheduler) release(r *run) {
	k := r.task
	if k == nil {
		return
	}
	r.task, k.run, k.ran = nil, nil, true
	k.job.summary.Lost++
	if r.state != stopping {
		r.state, r.settled, r.stopAt = stopping, false, s.now
	}
	s.enqueue(k.job)
}

// repeatStops sends the stops again that a target without contact has missed.
func (s *Scheduler) repeatStops(t *target) {
	for _, r := range t.sortedRuns() {
		if r.state == stopping && !r.stopAt.IsZero() {
			s.sendStop(r)
		}
	}
}

// abandon stops a run that its job does not want any more.
func (s *Scheduler) abandon(r *run) {
	r.task.run = nil
	r.task = nil
	if r.state != stopping {
		r.state = stopping
		r.settled = false
		s.sendStop(r)
	}
}

func (s *Scheduler) sendStop(r *run) {
	r.stopAt = time.Time{}
	s.emit(Stop{Run: r.id, Target: r.target.ID, Address: r.target.Address, Fence: r.target.Fence})
}

func (s *Scheduler) startEnded(ev StartReturned) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	t.learnClock(ev.ClockMS, s.now)
	r := t.runs[ev.Run]
	if r == nil || r.foreign {
		return
	}
	switch ev.Result {
	case StartUnanswered, StartNotSent, StartWrongTarget:
	default:
		t.answered(s.now)
	}
	switch ev.Result {
	case StartAccepted:
		r.settled, r.settledAt = true, s.now
		if r.state == starting {
			r.state = running
		}
	case StartUnanswered:
		t.unanswered(s.now)
		r.state = stopping
		s.sendStop(r)
	case StartFenced:
		s.refusedStart(r, ev.Result)
		s.lost(t)
	default:
		s.refusedStart(r, ev.Result)
	}
}

// refusedStart handles a start that certainly did nothing.
func (s *Scheduler) refusedStart(r *run, result StartResult) {
	t, k := r.target, r.task
	s.remove(r)
	switch result {
	case StartNotSent, StartWrongTarget:
		t.unanswered(s.now)
	case StartUnhealthy, StartInvalid:
		s.badRun(t, r.id.Task.Job)
		if t.ejectedUntil.IsZero() {
			t.ejectedUntil = s.now.Add(unhealthyPause)
		}
	case StartNoCapacity:
		// What the target runs is not what this instance knows.
		t.synced, t.lookAt = false, s.now
	case StartStaleAttempt:
		if k != nil {
			k.number += outdatedStep
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

func (s *Scheduler) stopEnded(ev StopReturned) {
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
		// If the target comes back to this instance, the run may still be there.
		r.stopAt = s.now
		s.lost(t)
	case ev.Answered:
		t.answered(s.now)
		r.settled, r.settledAt = true, s.now
		t.lookAt = s.now
	default:
		t.unanswered(s.now)
		r.stopAt = s.now.Add(stopAgain)
	}
}

// ended handles the listed end of a run.
func (s *Scheduler) ended(r *run, how RunResult) {
	k, t := r.task, r.target
	s.remove(r)
	if how == RunSucceeded && !r.foreign {
		t.badRuns, t.ejections, t.ejectedUntil = 0, 0, time.Time{}
	}
	if k == nil {
		return
	}
	k.ran = true
	switch how {
	case RunSucceeded:
		s.record(k, t, s.now.Sub(r.started))
		s.taskDone(k)
	case RunFailed:
		s.badRun(t, k.job.ID)
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

// record notes the run time of a done task. The forecasts learn from it with the
// others of its step, once the job has its answer.
func (s *Scheduler) record(k *task, t *target, took time.Duration) {
	if k.step.Rack != "" && !slices.Contains(t.Labels, k.step.Rack) {
		took = time.Duration(float64(took) / max(1, s.cfg.RemoteRackFactor))
	}
	e := &k.job.ended[k.id.Step]
	e.runs = append(e.runs, forecast.Sample{Target: t.ID, RunTime: took})
	e.base += time.Duration(float64(took) / s.model.Slowness(t.ID))
}

func (s *Scheduler) taskDone(k *task) {
	j := k.job
	k.done = true
	j.left[k.id.Step]--
	for _, n := range j.left {
		if n > 0 {
			s.enqueue(j)
			return
		}
	}
	s.finish(j, Completed{})
}

// hasRun says whether a run of the job may be in effect or has ended.
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

// badRun counts a failure against the target. Failures of one job alone say
// more about the job.
func (s *Scheduler) badRun(t *target, job string) {
	if t.badJob != job || t.badRuns == 0 {
		t.badRuns++
	}
	t.badJob = job
	if t.badRuns >= s.policy.EjectAfter {
		t.ejectedUntil = s.now.Add(min(ejectFirst<<min(t.ejections, 3), ejectLast))
		t.ejections++
	}
}

// expireRuns stops runs that hang, repeats unanswered stops, and settles what
// has lost its lease on a target without contact.
func (s *Scheduler) expireRuns(t *target) {
	if !t.ejectedUntil.IsZero() && !s.now.Before(t.ejectedUntil) {
		t.ejectedUntil = time.Time{}
	}
	if !s.expires(t) {
		return
	}
	for _, r := range t.sortedRuns() {
		switch {
		case t.lost() && !s.now.Before(s.leaseEnd(t)):
			s.release(r)
			if t.fenced || t.removed && s.now.After(t.extended.Add(lateStart)) {
				s.remove(r)
			}
		case r.state == running && r.task != nil && !s.now.Before(s.overdueAt(r)):
			s.hung(r)
		case r.state == stopping && t.failures == 0 && !r.stopAt.IsZero() && !s.now.Before(r.stopAt):
			s.sendStop(r)
		}
	}
}

// expires says whether anything of a target may be due in expireRuns.
func (s *Scheduler) expires(t *target) bool {
	if t.lost() && !s.now.Before(s.leaseEnd(t)) {
		return true
	}
	for _, r := range t.runs {
		if at := s.wakeRun(r); !at.IsZero() && !s.now.Before(at) {
			return true
		}
	}
	return false
}

// hung stops a run that takes far longer than forecast. Its task runs again
// once the target has listed the end.
func (s *Scheduler) hung(r *run) {
	k := r.task
	s.badRun(r.target, k.job.ID)
	k.avoid = append(slices.Clone(k.avoid), r.target.ID)
	k.hung++
	r.state, r.settled = stopping, false
	s.sendStop(r)
}
