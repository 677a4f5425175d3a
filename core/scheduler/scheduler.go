package scheduler

import (
	"fmt"
	"time"

	"marigoldfront.dev/core/forecast"
)

// Config holds the figures that the platform sets.
type Config struct {
	// Lease is the longest lease that a target grants, in its own time.
	Lease time.Duration
	// MaxClockDrift is the share by which a target's clock may be slow.
	MaxClockDrift float64
	// RemoteRackFactor is how many times longer a task runs away from its rack.
	RemoteRackFactor float64
	// Policy is that of DefaultPolicy if it is zero.
	Policy Policy
}

// Scheduler owns the jobs and targets of one instance. It is used by one
// goroutine.
type Scheduler struct {
	cfg      Config
	policy   Policy
	now      time.Time
	model    *forecast.Model
	targets  map[string]*target
	order    []*target // by ID, so that choices repeat
	jobs     map[string]*job
	queue    []*job // with tasks to place, in order of urgency
	requests map[RequestID]*job
	draining bool
	out      []Action
}

// New returns a Scheduler without targets.
func New(cfg Config) *Scheduler {
	if cfg.Policy == (Policy{}) {
		cfg.Policy = DefaultPolicy()
	}
	return &Scheduler{
		cfg:      cfg,
		policy:   cfg.Policy,
		model:    forecast.New(),
		targets:  map[string]*target{},
		jobs:     map[string]*job{},
		requests: map[RequestID]*job{},
	}
}

// Handle applies an event and returns what is to be done, in order.
func (s *Scheduler) Handle(now time.Time, ev Event) []Action {
	suspended := len(s.jobs) > 0 && now.Sub(s.now) > s.cfg.Lease
	if now.After(s.now) {
		s.now = now
	}
	s.out = nil
	if suspended {
		s.resume()
	}
	s.apply(ev)
	s.expire()
	s.place()
	s.refuseHopeless()
	s.lookAll()
	return s.out
}

// resume ends all jobs after a time without decisions that is longer than a
// lease. Their runs have ended, and their callers and senders have gone to other
// instances, which the instance may notice only after it has started them again.
func (s *Scheduler) resume() {
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
		if j := s.jobs[ev.Job]; j != nil {
			s.giveUp(j, ReasonCancelled)
		}
	case TargetsChanged:
		s.changeTargets(ev.Targets)
	case StartReturned:
		s.startEnded(ev)
	case StopReturned:
		s.stopEnded(ev)
	case PollReturned:
		s.lookEnded(ev)
	case Drain:
		s.drain()
	case Tick:
	default:
		panic(fmt.Sprintf("scheduler: unknown event %T", ev))
	}
}

func (s *Scheduler) emit(a Action) { s.out = append(s.out, a) }

// NextWake is the time of the next decision that no event causes, or zero.
func (s *Scheduler) NextWake() time.Time {
	var next time.Time
	if len(s.jobs) > 0 {
		// Shows that the instance is not suspended.
		next = s.now.Add(s.cfg.Lease / 2)
	}
	for _, j := range s.jobs {
		next = earliest(next, j.Deadline)
		if !j.started {
			next = earliest(next, s.refusalCheck(j))
		}
	}
	for _, t := range s.order {
		next = earliest(next, s.wakeTarget(t))
	}
	return next
}

// refusalCheck is when a job without a start may have to be refused. Between the
// end of its hold and its latest start only events change that.
func (s *Scheduler) refusalCheck(j *job) time.Time {
	if s.now.Before(j.refuseAt) {
		return j.refuseAt
	}
	return j.latestStart().Add(wakeStep)
}

// wakeStep is the least time from one decision to the next that no event
// causes.
const wakeStep = time.Millisecond

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Stats describes the state for logs, metrics and load reports.
type Stats struct {
	Jobs, Queued, Running int
	Targets, Usable       int
	// FreeCPU and CPU are in thousandths of a core, over the usable targets.
	FreeCPU, CPU int64
	// ForecastWait is the forecast time until a new task starts.
	ForecastWait time.Duration
}

// Stats returns the current state.
func (s *Scheduler) Stats() Stats {
	st := Stats{Jobs: len(s.jobs), Queued: len(s.queue), Targets: len(s.order)}
	for _, t := range s.order {
		st.Running += len(t.runs)
		if t.usable() {
			st.Usable++
			st.CPU += t.CPU
			st.FreeCPU += t.free.cpu
		}
	}
	st.ForecastWait = s.backlog(nil)
	return st
}

// WaitingJobs is the number of the queue's jobs of which no task has started.
func (s *Scheduler) WaitingJobs(queue string) int {
	n := 0
	for _, j := range s.queue {
		if j.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// RunCount is the number of runs that may be on a target.
func (s *Scheduler) RunCount(target string) int {
	if t := s.targets[target]; t != nil {
		return len(t.runs)
	}
	return 0
}

// drain refuses the jobs without a start and lets the others end.
func (s *Scheduler) drain() {
	s.draining = true
	for _, j := range s.sortedJobs() {
		if !j.mayHaveRun {
			s.finish(j, Refused{Reason: ReasonDraining, RetryAfter: retrySoon})
		}
	}
}
