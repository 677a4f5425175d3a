package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation models callers, a network and targets with leases. Requests may be
// lost, answered late, or take effect seconds later. Targets crash and restart
// under the same ID, are disconnected, hang and fail tasks, and another owner may
// take a target over. Invariants are checked on the targets.
type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Time
	s           *Scheduler
	targets     []*simTarget
	pending     []scheduledCall
	jobs        map[string]*simJob
	lastRequest RequestID
	faults      float64
	starts      int
	// resizes makes the targets change their capacity while they run. They then
	// start whatever they are told to, without a check of their capacity.
	resizes bool
	// deadline is the time from the arrival of a job to its deadline.
	deadline time.Duration
	// longJobs makes the jobs run for 0.05 to 40 s and their callers wait for 1 to
	// maxCallerWait.
	longJobs bool
	// reliablePolls exempts polls from the faults of requests.
	reliablePolls bool
	// slowdown, if not 0, multiplies the run times of tasks.
	slowdown float64
	// paused is set while the instance does not run. Its events wait in the backlog.
	paused  bool
	backlog []Event
	// allTargets, if not nil, also holds the targets of other instances.
	allTargets []*simTarget
	// stopped is set once the process of the instance has ended.
	stopped bool
	// onReply, if not nil, gets the replies to jobs.
	onReply func(Reply)
	// deadly is the share of the jobs whose first task crashes its target.
	deadly float64
}

// scheduledCall is a function that is called at a simulated time.
type scheduledCall struct {
	at     time.Time
	handle func()
}

type simJob struct {
	// silent is set if the targets that crash under the job keep their connections.
	silent bool
	job    Job
	deadly bool
	// crashes counts the targets that crashed under the job.
	crashes  int
	request  RequestID
	answered Outcome
	ran      bool
	// answeredAt is when the job was answered. Its runs must end soon after.
	answeredAt time.Time
}

type simTarget struct {
	Target
	sim            *simulation
	running        map[RunID]*simRun
	highestAttempt map[TaskID]int
	completions    []Completion
	lastCompletion int64
	lease          time.Time
	fence          int64
	disconnected   bool
	// clockRate is the speed of the target's steady clock, which starts at born.
	clockRate float64
	born      time.Time
	// downUntil is when the target is back after a crash, or in the past. silent is set
	// if it does not close its connections when it crashes.
	downUntil time.Time
	silent    bool
	// sizes holds the capacities of the last sizeNotice, newest last.
	sizes []simSize
}

// simSize is the CPU of a target until a time, or until now if that is zero.
type simSize struct {
	cpu   int64
	until time.Time
}

// sizeNotice is the time after which a smaller capacity of a target must be obeyed.
const sizeNotice = 4500 * time.Millisecond

type simRun struct {
	cpu   int64
	until time.Time
	fails bool
}

const simulationSeeds = 150

// longJobSeeds is the number of seeds with long jobs, whose runs take five times as long.
const longJobSeeds = 24

// maxCallerWait is the longest time for which the callers of long jobs wait.
const maxCallerWait = 45 * time.Second

// traceSimulation logs every event and action, to debug a failed seed.
const traceSimulation = false

// Guards against two concurrent runs of a task, overcommitted targets, a refused
// outcome for a job that has run, and runs that continue after their job is
// answered.
func TestSimulatedFaultsKeepInvariants(t *testing.T) {
	starts := 0
	for seed := range uint64(simulationSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			sim.run()
			starts += sim.starts
		})
	}
	if starts < 20*simulationSeeds {
		t.Errorf("only %d starts in %d runs", starts, simulationSeeds)
	}
}

// Guards against the same with jobs of 0.05 to 40 s, whose leases are renewed many times,
// and callers that wait for 1 to 45 s.
func TestSimulatedLongJobsKeepInvariants(t *testing.T) {
	completed := 0
	for seed := range uint64(longJobSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			sim.longJobs, sim.resizes = true, seed/4%2 == 1
			sim.deadly = 0.02 * float64(seed/8%2)
			sim.run()
			completed += sim.completedAfter(8 * time.Second)
		})
	}
	if completed < longJobSeeds {
		t.Errorf("only %d jobs were completed after more than 8 s in %d runs", completed, longJobSeeds)
	}
}

// completedAfter counts the jobs that took longer than d and were completed.
func (sim *simulation) completedAfter(d time.Duration) int {
	n := 0
	for _, j := range sim.jobs {
		if _, ok := j.answered.(Completed); ok && j.answeredAt.Sub(j.job.Arrived) > d {
			n++
		}
	}
	return n
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{
		t: t, rng: rng, now: time.Unix(1000, 0), jobs: map[string]*simJob{},
		s:        New(Config{Lease: testLease, MaxClockDrift: testClockDrift, RemoteRackFactor: 2}),
		faults:   []float64{0, 0.01, 0.05, 0.2}[seed%4],
		deadline: 1500 * time.Millisecond,
	}
	for i := range 2 + rng.IntN(4) {
		target := testTarget(fmt.Sprint("t", i))
		target.CPU = []int64{64_000, 96_000}[rng.IntN(2)]
		sim.targets = append(sim.targets, &simTarget{
			Target: target, sim: sim, running: map[RunID]*simRun{}, highestAttempt: map[TaskID]int{}, fence: 1,
			born:      sim.now.Add(-time.Duration(rng.IntN(1000)) * time.Hour),
			clockRate: 1 - testClockDrift*rng.Float64(),
		})
	}
	return sim
}

func (sim *simulation) run() {
	sim.sendTargets()
	// Some runs have a time without jobs, in which the targets' clocks drift.
	idleFrom := sim.now.Add(4 * time.Second)
	idleUntil := idleFrom
	if sim.rng.IntN(5) == 0 {
		idleUntil = idleFrom.Add(40 * time.Second)
	}
	end := idleUntil.Add(8 * time.Second)
	interval, lastWait := 40*time.Millisecond, sim.deadline
	if sim.longJobs {
		interval, lastWait = 200*time.Millisecond, maxCallerWait
	}
	nextJob, nextFault := sim.now, sim.now
	for sim.now.Before(end.Add(lastWait + 2500*time.Millisecond)) {
		sim.advance()
		if sim.now.After(nextJob) && sim.now.Before(end) {
			nextJob = sim.now.Add(time.Duration(sim.rng.ExpFloat64() * float64(interval)))
			if nextJob.After(idleFrom) && nextJob.Before(idleUntil) {
				nextJob = idleUntil
			}
			sim.submit()
		}
		if sim.faults > 0 && sim.now.After(nextFault) {
			nextFault = sim.now.Add(time.Duration(sim.rng.ExpFloat64() * float64(time.Second)))
			sim.injectFault()
		}
		sim.checkInvariants()
		sim.wake()
	}
	for id, j := range sim.jobs {
		if j.answered == nil {
			sim.t.Errorf("job %s has no answer: %+v", id, j.job)
		}
	}
}

// advance advances the time of the network and the targets.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(5 * time.Millisecond)
	sim.runDueCalls()
	for _, t := range sim.targets {
		t.tick()
	}
}

// wake calls the Scheduler if a decision is due.
func (sim *simulation) wake() {
	if next := sim.s.NextWake(); !sim.paused && !sim.stopped && !next.IsZero() && !next.After(sim.now) {
		sim.send(Tick{})
	}
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.pending = append(sim.pending, scheduledCall{sim.now.Add(d), do})
}

// runDueCalls runs the calls that are due, in random order.
func (sim *simulation) runDueCalls() {
	var due []scheduledCall
	sim.pending = slices.DeleteFunc(sim.pending, func(c scheduledCall) bool {
		if c.at.After(sim.now) {
			return false
		}
		due = append(due, c)
		return true
	})
	sim.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, c := range due {
		c.handle()
	}
}

func (sim *simulation) latency() time.Duration {
	return time.Duration(sim.rng.IntN(8)) * time.Millisecond
}

func (sim *simulation) send(ev Event) {
	switch {
	case sim.stopped:
		return
	case sim.paused:
		sim.backlog = append(sim.backlog, ev)
		return
	}
	if traceSimulation {
		sim.t.Logf("%v event %T%+v", sim.now.Sub(time.Unix(1000, 0)), ev, ev)
	}
	for _, a := range sim.s.Handle(sim.now, ev) {
		if traceSimulation {
			sim.t.Logf("%v action %T%+v", sim.now.Sub(time.Unix(1000, 0)), a, a)
		}
		switch a := a.(type) {
		case Start:
			sim.start(a)
		case Stop:
			sim.stop(a)
		case Poll:
			sim.poll(a)
		case Reply:
			sim.reply(a)
		case CrashFound:
			if sim.rng.Float64() >= sim.faults {
				sim.after(sim.latency(), func() { sim.send(CrashRecorded(a)) })
			}
		case TargetLost:
			// The instance claims the target again a little later.
			sim.after(500*time.Millisecond, func() {
				t := sim.target(a.Target)
				t.Fence = t.fence + 1
				sim.sendTargets()
			})
		}
	}
}

func (sim *simulation) sendTargets() {
	var all []Target
	for _, t := range sim.targets {
		all = append(all, t.Target)
	}
	sim.send(TargetsChanged{Targets: all})
}

func (sim *simulation) target(id string) *simTarget {
	all := sim.targets
	if sim.allTargets != nil {
		all = sim.allTargets
	}
	for _, t := range all {
		if t.ID == id {
			return t
		}
	}
	panic("no target " + id)
}

func (sim *simulation) submit() {
	id := fmt.Sprint("j", len(sim.jobs))
	j := testJob(id, 1+sim.rng.IntN(4))
	j.Steps[0].Estimate = time.Duration(20+sim.rng.IntN(400)) * time.Millisecond
	if sim.rng.IntN(4) == 0 {
		j.Steps = append(j.Steps, Step{Count: 1, CPU: 10_000, Estimate: 50 * time.Millisecond, After: []int{0}})
	}
	wait, withdrawWithin := sim.deadline, 300*time.Millisecond
	if sim.longJobs {
		makeLong(sim.rng, &j)
		wait = callerWait(sim.rng)
		withdrawWithin = wait
	}
	j.Arrived, j.Deadline = sim.now, sim.now.Add(wait)
	sim.lastRequest++
	request := sim.lastRequest
	sim.jobs[id] = &simJob{job: j, request: request, deadly: sim.rng.Float64() < sim.deadly, silent: len(sim.jobs)%2 == 0}
	sim.send(Submit{Request: request, Job: j})
	if sim.rng.Float64() < 0.1 {
		sim.after(time.Duration(sim.rng.IntN(int(withdrawWithin.Milliseconds())))*time.Millisecond, func() {
			if m := sim.jobs[id]; m.answered == nil {
				m.answered, m.answeredAt = Unknown{Reason: ReasonWithdrawn}, sim.now
				sim.send(Withdraw{Request: request})
			}
		})
	}
}

// makeLong draws the run time of a job between 0.05 and 40 s, in equal shares for each
// factor. Estimates are off by up to a half.
func makeLong(rng *rand.Rand, j *Job) {
	for i := range j.Steps {
		j.Steps[i].Estimate = time.Duration(100*math.Pow(270, rng.Float64())) * time.Millisecond
	}
}

// callerWait draws how long the caller of a long job waits.
func callerWait(rng *rand.Rand) time.Duration {
	return time.Second + time.Duration(rng.Int64N(int64(maxCallerWait-time.Second)))
}

func (sim *simulation) reply(a Reply) {
	if sim.onReply != nil {
		sim.onReply(a)
		return
	}
	j := sim.jobs[a.Job]
	if j.answered != nil {
		sim.t.Errorf("job %s is answered twice: %#v and %#v", a.Job, j.answered, a.Outcome)
	}
	j.answered, j.answeredAt = a.Outcome, sim.now
	if _, refused := a.Outcome.(Refused); refused && j.ran {
		sim.t.Errorf("job %s was refused after it ran", a.Job)
	}
}
