package measure

import (
	"math/rand/v2"
	"time"

	"marigoldfront.dev/bench/load"
)

const (
	meanRun         = 80 * time.Millisecond
	maxTasks        = 9
	jobTimeout      = 5 * time.Second
	repeatableShare = 0.8
	// faultAt is when a scenario's fault begins.
	faultAt = time.Second
	// burstTime is how long a burst lasts.
	burstTime = 2 * time.Second
	// evenSpread and wideSpread are the ratios of the fastest target's speed to
	// that of the slowest.
	evenSpread = 1.5
	wideSpread = 4.0
	// failingShare is above the 55% at which ejection stops.
	failingShare = 0.6
)

// The callers of a run.
const (
	quietCaller = iota
	loudCaller
)

var shape = load.Workload{MeanRun: meanRun, MaxTasks: maxTasks, Timeout: jobTimeout, RepeatableShare: repeatableShare}

// scenario is a load and a fault.
type scenario struct {
	name string
	// load is the offered work relative to what the targets can do.
	load float64
	// spread is the ratio of the fastest target's speed to the slowest's.
	spread float64
	// burst triples the load for two seconds.
	burst bool
	// flood is the load of a second team, relative as load is. The figures are
	// those of the first team.
	flood float64
	// fault is applied while jobs run.
	fault func(*system) error
}

var scenarios = []scenario{
	{name: "idle", spread: evenSpread},
	{name: "steady 50%", load: 0.5, spread: evenSpread},
	{name: "steady 70%", load: 0.7, spread: evenSpread},
	{name: "steady 90%", load: 0.9, spread: evenSpread},
	{name: "burst 3x for 2 s", load: 0.4, spread: evenSpread, burst: true},
	{name: "fourfold speeds", load: 0.7, spread: wideSpread},
	{name: "one target fails all", load: 0.6, spread: evenSpread, fault: func(s *system) error { return s.failTargets(1) }},
	{name: "60% of targets fail", load: 0.3, spread: evenSpread, fault: func(s *system) error { return s.failTargets(int(failingShare*float64(len(s.targets)) + 0.5)) }},
	{name: "target killed", load: 0.6, spread: evenSpread, fault: (*system).killTarget},
	{name: "target leaving", load: 0.6, spread: evenSpread, fault: (*system).leaveTarget},
	{name: "one team floods", load: 0.3, flood: 3, spread: evenSpread},
	{name: "store outage", load: 0.7, spread: evenSpread, fault: (*system).storeOutage},
	{name: "entry killed", load: 0.5, spread: evenSpread, fault: (*system).killEntry},
}

// draw returns the jobs of the scenario for targets that can run
// tasksPerSecond tasks.
func (s scenario) draw(rng *rand.Rand, tasksPerSecond float64, length time.Duration) []load.Job {
	if s.load == 0 {
		return nil
	}
	jobs := shape.Poisson(rng, quietCaller, 0, length, s.load*tasksPerSecond)
	if s.burst {
		jobs = append(jobs, shape.Poisson(rng, quietCaller, faultAt, faultAt+burstTime, 2*s.load*tasksPerSecond)...)
	}
	if s.flood > 0 {
		jobs = append(jobs, shape.Poisson(rng, loudCaller, faultAt, faultAt+burstTime, s.flood*tasksPerSecond)...)
	}
	load.Sort(jobs)
	return jobs
}
