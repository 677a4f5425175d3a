package measure

import (
	"math/rand/v2"
	"time"

	"marigoldfront.dev/bench/load"
)

const (
	meanRunTime     = 80 * time.Millisecond
	maxTasks        = 9
	jobTimeout      = 5 * time.Second
	repeatableShare = 0.8
	// faultDelay is the time from the start of the load until the fault of the
	// scenario, its burst or its flood begins.
	faultDelay = time.Second
	// burstDuration is the duration of a burst or flood.
	burstDuration = 2 * time.Second
	// narrowSpeedRatio and wideSpeedRatio are ratios of the fastest target's
	// speed to that of the slowest.
	narrowSpeedRatio = 1.5
	wideSpeedRatio   = 4.0
	// failingTargetShare is above the 55% of ejected targets at which ejection
	// stops.
	failingTargetShare = 0.6
)

// Indexes of the callers of a run. The jobs of measuredCaller are measured.
// floodingCaller overloads the system in some scenarios.
const (
	measuredCaller = iota
	floodingCaller
)

var workload = load.Workload{MeanRun: meanRunTime, MaxTasks: maxTasks, Timeout: jobTimeout, RepeatableShare: repeatableShare}

// scenario describes the load and the fault of a run.
type scenario struct {
	name string
	// load is the offered load as a share of the capacity of the targets.
	load float64
	// speedRatio is the ratio of the fastest target's speed to the slowest's.
	speedRatio float64
	// burst triples the load for the duration of a burst, two seconds.
	burst bool
	// floodLoad is the load that a second team offers during the flood, as a
	// share of the capacity. Only the jobs of the first team are measured.
	floodLoad float64
	// fault is applied while jobs run, or nil.
	fault func(*system) error
}

var scenarios = []scenario{
	{name: "idle", speedRatio: narrowSpeedRatio},
	{name: "steady 50%", load: 0.5, speedRatio: narrowSpeedRatio},
	{name: "steady 70%", load: 0.7, speedRatio: narrowSpeedRatio},
	{name: "steady 90%", load: 0.9, speedRatio: narrowSpeedRatio},
	{name: "burst 3x for 2 s", load: 0.4, speedRatio: narrowSpeedRatio, burst: true},
	{name: "fourfold speeds", load: 0.7, speedRatio: wideSpeedRatio},
	{name: "one target fails all", load: 0.6, speedRatio: narrowSpeedRatio, fault: func(s *system) error { return s.failTargets(1) }},
	{name: "60% of targets fail", load: 0.3, speedRatio: narrowSpeedRatio, fault: func(s *system) error { return s.failTargets(int(failingTargetShare*float64(len(s.targets)) + 0.5)) }},
	{name: "target killed", load: 0.6, speedRatio: narrowSpeedRatio, fault: (*system).killTarget},
	{name: "target leaving", load: 0.6, speedRatio: narrowSpeedRatio, fault: (*system).markTargetLeaving},
	{name: "one team floods", load: 0.3, floodLoad: 3, speedRatio: narrowSpeedRatio},
	{name: "store outage", load: 0.7, speedRatio: narrowSpeedRatio, fault: (*system).storeOutage},
	{name: "entry killed", load: 0.5, speedRatio: narrowSpeedRatio, fault: (*system).killEntry},
}

// draw returns the jobs of the scenario for targets that can run
// tasksPerSecond tasks.
func (s scenario) draw(rng *rand.Rand, tasksPerSecond float64, length time.Duration) []load.Job {
	if s.load == 0 {
		return nil
	}
	jobs := workload.Poisson(rng, measuredCaller, 0, length, s.load*tasksPerSecond)
	if s.burst {
		jobs = append(jobs, workload.Poisson(rng, measuredCaller, faultDelay, faultDelay+burstDuration, 2*s.load*tasksPerSecond)...)
	}
	if s.floodLoad > 0 {
		jobs = append(jobs, workload.Poisson(rng, floodingCaller, faultDelay, faultDelay+burstDuration, s.floodLoad*tasksPerSecond)...)
	}
	load.Sort(jobs)
	return jobs
}
