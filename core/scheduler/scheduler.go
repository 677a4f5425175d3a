package scheduler

import (
	"fmt"
	"time"

	"marigoldfront.dev/core/cancellation"
	"marigoldfront.dev/core/demand"
	"marigoldfront.dev/core/forecast"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// Lease is the longest lease that a target grants, measured by the target's
	// clock.
	Lease time.Duration
	// MaxClockDrift is the fraction by which a target's clock may run slow.
	MaxClockDrift float64
	// RemoteRackFactor is how many times longer a task runs outside its rack.
	RemoteRackFactor float64
	// ResubmissionDelay is the shortest time after which a caller submits a job again,
	// counted from when it stopped waiting. It defaults to
	// DefaultResubmissionDelay.
	ResubmissionDelay time.Duration
	// EvacuationStartTime is how long after this instance has learned of the evacuation
	// of an availability zone tasks of jobs that have started before may still start
	// there, where their owner has no other targets.
	EvacuationStartTime time.Duration
	// Policy defaults to DefaultPolicy.
	Policy Policy
}

// DefaultResubmissionDelay is the ResubmissionDelay of the users' platform.
const DefaultResubmissionDelay = 1300 * time.Millisecond

// Scheduler holds the jobs and targets of one instance. It is not safe for
// concurrent use.
type Scheduler struct {
	cfg           Config
	policy        Policy
	now           time.Time
	model         *forecast.Model
	targets       map[string]*target
	sortedTargets []*target // by ID, so that decisions are deterministic
	jobs          map[string]*job
	queue         []*job // jobs with tasks to place, in the order of compareJobs
	requests      map[RequestID]*job
	// nextDeadline is not after the deadline of any job.
	nextDeadline time.Time
	// suspectedJobs counts the jobs that are suspected.
	suspectedJobs int
	draining      bool
	actions       []Action
	crashLog      *crashLog
	// foundCrashes holds the tasks of the crashes that were found during a call of
	// Handle.
	foundCrashes map[foundCrash][]TaskID
	// reserved is kept free for a suspect task, or is nil.
	reserved *target
	// lastLossAt is when a target with tasks was last lost.
	lastLossAt time.Time
	// containedAt is when contained was last updated.
	containedAt time.Time
	// lastSubmit holds when the last job of each queue has arrived.
	lastSubmit map[string]time.Time
	contained  containment
	// givenUpRuns counts, by task, the runs that were given up and are not known to be
	// over.
	givenUpRuns map[TaskID]int
	cancelled   *cancellation.Log
	// evacuatedSince holds when the instance learned of the evacuation of each
	// evacuated availability zone.
	evacuatedSince map[string]time.Time
	// demands holds the demand by service.
	demands map[string]*demand.Demand
	// wastedShare holds the room that cannot be used, by service.
	wastedShare map[string]wastedRoom
	// nextPlan is the earliest time of the next decision about the queue.
	nextPlan time.Time
	// turnedAwayAt is when a job was last turned away for want of room.
	turnedAwayAt map[servicePriority]time.Time
	// stallBegan and stallEnded delimit the last time in which the instance may have
	// been paused while it had jobs.
	stallBegan, stallEnded time.Time
	// idleCPU is the total since the start, and idleSampledAt is when the last sample
	// was taken.
	idleCPU       IdleCPU
	idleSampledAt time.Time
}

// New returns a Scheduler without targets.
func New(cfg Config) *Scheduler {
	if cfg.Policy == (Policy{}) {
		cfg.Policy = DefaultPolicy()
	}
	if cfg.ResubmissionDelay == 0 {
		cfg.ResubmissionDelay = DefaultResubmissionDelay
	}
	return &Scheduler{
		cfg:      cfg,
		policy:   cfg.Policy,
		model:    forecast.New(),
		targets:  map[string]*target{},
		jobs:     map[string]*job{},
		requests: map[RequestID]*job{},
		crashLog: newCrashLog(), foundCrashes: map[foundCrash][]TaskID{}, lastSubmit: map[string]time.Time{},
		givenUpRuns: map[TaskID]int{}, cancelled: cancellation.New(), evacuatedSince: map[string]time.Time{},
		demands: map[string]*demand.Demand{}, turnedAwayAt: map[servicePriority]time.Time{}, wastedShare: map[string]wastedRoom{},
	}
}

// Handle applies an event and returns the actions to carry out, in order.
func (s *Scheduler) Handle(now time.Time, ev Event) []Action {
	s.recordStall(now)
	suspended := len(s.jobs) > 0 && now.Sub(s.now) > s.cfg.Lease
	if now.After(s.now) {
		s.now = now
	}
	s.actions = nil
	if suspended {
		s.giveUpAfterSuspension()
	}
	s.crashLog.expire(s.now)
	s.updateContainment()
	s.apply(ev)
	s.expire()
	s.giveUpSuspects()
	s.place()
	s.sampleIdle()
	s.refuseJobsWithoutTargets()
	s.shed()
	s.sendDuePolls()
	s.emitCrashes()
	return s.actions
}

// giveUpAfterSuspension ends all jobs after the instance was suspended for
// longer than a lease. Their runs have lost their leases, and the senders have
// sent the jobs to other instances. Otherwise the instance could start a job
// again before it learns that the job is no longer awaited.
func (s *Scheduler) giveUpAfterSuspension() {
	for _, j := range s.sortedJobs() {
		s.giveUp(j, ReasonOwnerLost)
	}
}

func (s *Scheduler) apply(ev Event) {
	switch ev := ev.(type) {
	case Submit:
		s.submit(ev)
	case Withdraw:
		s.withdraw(ev.Request)
	case Cancel:
		s.cancelled.Add(s.now, ev.Job)
		if j := s.jobs[ev.Job]; j != nil {
			s.giveUp(j, ReasonCancelled)
		}
	case Awaited:
		s.awaited(ev)
	case Recall:
		s.recall(s.jobs[ev.Job])
	case TargetsChanged:
		s.changeTargets(ev.Targets)
	case ZonesEvacuated:
		s.evacuate(ev.Zones)
	case CrashRecorded:
		s.crashRecorded(ev.Crash)
	case CrashReported:
		s.crashReported(ev.Crash)
	case TargetGone:
		s.targetGone(ev.Target)
	case StartReturned:
		s.startReturned(ev)
	case StopReturned:
		s.stopReturned(ev)
	case PollReturned:
		s.pollReturned(ev)
	case ConnectionLost:
		s.connectionLost(ev.Address)
	case Drain:
		s.drain()
	case Tick:
	default:
		panic(fmt.Sprintf("scheduler: unknown event %T", ev))
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// NextWake returns the time at which Handle must be called next if no event
// arrives before, or the zero time if there is none.
func (s *Scheduler) NextWake() time.Time {
	var next time.Time
	if len(s.jobs) > 0 {
		// Handle detects a pause of the instance by a longer gap.
		next = earliest(s.now.Add(maxWakeInterval), s.nextDeadline)
	}
	for _, j := range s.queue {
		if !j.started {
			next = earliest(next, s.nextRefusalCheck(j))
		}
	}
	if s.suspectedJobs > 0 {
		for _, j := range s.jobs {
			if j.suspected {
				next = earliest(next, s.nextRecordTimeout(j))
			}
		}
	}
	for _, t := range s.sortedTargets {
		next = earliest(next, s.nextTargetWake(t))
	}
	return next
}

// nextRefusalCheck returns when a job without a start may have to be refused, unless
// an event changes the decision before.
func (s *Scheduler) nextRefusalCheck(j *job) time.Time {
	if at := j.latestStart(); s.now.Before(at) {
		return at.Add(minWakeInterval)
	}
	return latest(s.latestUsefulEnd(j).Add(minWakeInterval-j.criticalPath), s.now.Add(planInterval))
}

// minWakeInterval is the shortest time between two decisions that no event
// causes.
const minWakeInterval = time.Millisecond

// earliest returns the earlier of two times. A zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Stats summarizes the state of a Scheduler for logs, metrics and load reports.
type Stats struct {
	Jobs, Queued, Running int
	Targets, Usable       int
	// FreeCPU and CPU are totals of the usable targets, in thousandths of a
	// core.
	FreeCPU, CPU int64
	// EvacuatedCPU is the total of the targets that serve in evacuated availability
	// zones. EvacuatedRunning counts the runs there.
	EvacuatedCPU     int64
	EvacuatedRunning int
	// ForecastWait is the forecast time until a new task starts.
	ForecastWait time.Duration
	// Rooms describes the room by priority, in the order of the priorities.
	Rooms []PriorityRoom
	// Contained is the queue whose tasks crash their targets and run apart from
	// others, or empty. ContainedFull is set while its new jobs are refused.
	Contained     string
	ContainedFull bool
	// IdleCPU is the total since the start.
	IdleCPU IdleCPU
}

// Stats returns the current state.
func (s *Scheduler) Stats() Stats {
	st := Stats{
		Jobs: len(s.jobs), Queued: len(s.queue), Targets: len(s.sortedTargets),
		Contained: s.contained.queue, ContainedFull: s.contained.full, IdleCPU: s.idleCPU,
	}
	for _, t := range s.sortedTargets {
		st.Running += len(t.runs)
		if t.evacuated() {
			st.EvacuatedRunning += len(t.runs)
			if t.serving() {
				st.EvacuatedCPU += t.CPU
			}
		}
		if t.usable() {
			st.Usable++
			st.CPU += t.CPU
			st.FreeCPU += t.free.cpu
		}
	}
	st.ForecastWait = s.forecastWait(nil, "")
	st.Rooms = s.rooms()
	return st
}

// WaitingJobs returns how many jobs of a queue have not started any task.
func (s *Scheduler) WaitingJobs(queue string) int {
	n := 0
	for _, j := range s.queue {
		if j.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// RunCount returns the number of runs that may be active on a target.
func (s *Scheduler) RunCount(target string) int {
	if t := s.targets[target]; t != nil {
		return len(t.runs)
	}
	return 0
}

// RunsEndingBy returns the number of runs on a target that their jobs await and that
// are forecast to end by a time.
func (s *Scheduler) RunsEndingBy(target string, limit time.Time) int {
	t, n := s.targets[target], 0
	if t == nil {
		return 0
	}
	for _, r := range t.runs {
		if r.task != nil && !r.end().After(limit) {
			n++
		}
	}
	return n
}

// drain refuses the jobs of which no task can have run, and lets the others
// complete.
func (s *Scheduler) drain() {
	s.draining = true
	for _, j := range s.sortedJobs() {
		s.recall(j)
	}
}

// recall refuses a job because its sender or this instance shuts down, unless one of
// its tasks may have run.
func (s *Scheduler) recall(j *job) {
	if j != nil && !j.mayHaveRun {
		s.finish(j, Refused{Reason: ReasonDraining, RetryAfter: minRetryAfter})
	}
}
