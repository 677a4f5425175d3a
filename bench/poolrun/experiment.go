// Package poolrun runs the schedulers of an instance pool against drawn jobs
// and targets with leases in simulated time, to compare policies without I/O.
// It models what a decision can see: targets, orders and their answers,
// callers and their deadlines. Machines, processor time and the network are
// not modelled.
package poolrun

import (
	"time"

	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/settings"
)

// Experiment is a load, targets, faults, and the policies to compare.
type Experiment struct {
	// Seconds is the length of a run, Rate the mean number of jobs a second.
	Seconds float64 `toml:"seconds"`
	Rate    float64 `toml:"rate"`
	// Owners share the targets of each run.
	Owners   int          `toml:"owners"`
	Targets  TargetConfig `toml:"targets"`
	Kinds    []JobKind    `toml:"kinds"`
	Faults   []Fault      `toml:"faults"`
	Policies []Policy     `toml:"policies"`
}

// TargetConfig describes all targets.
type TargetConfig struct {
	Count int `toml:"count"`
	// CPU are the sizes in thousandths of a core, by turns.
	CPU []int64 `toml:"cpu"`
	// SpeedSpread is the standard deviation of the logarithm of their slowness.
	SpeedSpread float64 `toml:"speed_spread"`
	// DelayMS is the time of a message to a target.
	DelayMS float64 `toml:"delay_ms"`
}

// JobKind is a kind of job.
type JobKind struct {
	Name string `toml:"name"`
	// Share of the jobs, relative to the other kinds.
	Share float64 `toml:"share"`
	// Tasks is the mean number of tasks; each job has half of it to one and a
	// half times as many.
	Tasks int   `toml:"tasks"`
	CPU   int64 `toml:"cpu"`
	// WorkMS is the median run time of a task, WorkSpread the standard
	// deviation of its logarithm between jobs, and TaskSpread that between the
	// tasks of a job.
	WorkMS     float64 `toml:"work_ms"`
	WorkSpread float64 `toml:"work_spread"`
	TaskSpread float64 `toml:"task_spread"`
	// EstimateSpread is the standard deviation of the logarithm of the callers'
	// estimates relative to the work.
	EstimateSpread float64 `toml:"estimate_spread"`
	Stretch        float64 `toml:"stretch"`
	SlackMS        int     `toml:"slack_ms"`
	DeadlineMS     int     `toml:"deadline_ms"`
	Priority       int     `toml:"priority"`
	MaxAttempts    int     `toml:"attempts"`
	// Worth is that of an answer within the objective, LateWorth that of a later
	// one.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late"`
}

// Fault disturbs a share of the targets, or the load, for some time.
type Fault struct {
	// Kind is burst, crash, slow, fail, hang, leave or lose_orders.
	Kind            string  `toml:"kind"`
	StartSeconds    float64 `toml:"at_s"`
	DurationSeconds float64 `toml:"for_s"`
	// Share of the targets, or of their tasks and orders for fail, hang and
	// lose_orders. Magnitude is the factor of a burst or of slow targets, and the
	// seconds after which lost orders are carried out.
	Share     float64 `toml:"share"`
	Magnitude float64 `toml:"x"`
}

// Policy is a named policy. What it does not set is the product's.
type Policy struct {
	Name      string             `toml:"name"`
	Overrides map[string]float64 `toml:"set"`
}

// figures are the settable figures of a policy.
var figures = map[string]func(*scheduler.Policy, float64){
	"hold_share":     func(p *scheduler.Policy, v float64) { p.HoldShare = v },
	"late_factor":    func(p *scheduler.Policy, v float64) { p.LateFactor = v },
	"wait_gain":      func(p *scheduler.Policy, v float64) { p.WaitGain = v },
	"slow_weight":    func(p *scheduler.Policy, v float64) { p.SlownessWeight = v },
	"rest_weight":    func(p *scheduler.Policy, v float64) { p.FreeCapacityWeight = v },
	"least_chance":   func(p *scheduler.Policy, v float64) { p.MinExpectedValue = v },
	"decline_loss":   func(p *scheduler.Policy, v float64) { p.MaxValueLoss = v },
	"overdue_factor": func(p *scheduler.Policy, v float64) { p.OverdueFactor = v },
	"overdue_ms":     func(p *scheduler.Policy, v float64) { p.OverdueMS = int(v) },
	"eject_after":    func(p *scheduler.Policy, v float64) { p.EjectAfter = int(v) },
}

// scheduler returns the policy with all figures.
func (p Policy) scheduler() scheduler.Policy {
	out := scheduler.DefaultPolicy()
	for name, v := range p.Overrides {
		figures[name](&out, v)
	}
	return out
}

var faultKinds = map[string]bool{
	"burst": true, "crash": true, "slow": true, "fail": true, "hang": true, "leave": true, "lose_orders": true,
}

// Load reads and checks an experiment.
func Load(path string) (Experiment, finding.List) {
	var x Experiment
	file, found := settings.Load(path, &x)
	if len(found) > 0 {
		return Experiment{}, found
	}
	add := func(key, format string, args ...any) { found.Add(file.Place(key), format, args...) }
	if x.Seconds <= 0 || x.Seconds > 600 {
		add("seconds", "must be above 0 and at most 600")
	}
	if x.Rate <= 0 {
		add("rate", "must be above 0")
	}
	if x.Owners < 1 || x.Targets.Count < x.Owners {
		add("owners", "must be at least 1 and at most the number of targets")
	}
	if len(x.Targets.CPU) == 0 {
		add("cpu", "must name at least one size")
	}
	if len(x.Kinds) == 0 {
		add("kinds", "must hold at least one kind")
	}
	for _, k := range x.Kinds {
		if k.Share <= 0 || k.Tasks < 1 || k.CPU < 1 || k.WorkMS <= 0 || k.DeadlineMS < 1 || k.Worth <= 0 {
			add("kinds", "kind %q needs share, tasks, cpu, work_ms, deadline_ms and worth above 0", k.Name)
		}
	}
	for _, f := range x.Faults {
		if !faultKinds[f.Kind] {
			add("faults", "there is no fault %q", f.Kind)
		}
	}
	if len(x.Policies) == 0 {
		add("policies", "must hold at least one policy")
	}
	for _, p := range x.Policies {
		for name := range p.Overrides {
			if figures[name] == nil {
				add("policies", "policy %q sets %q, which is no figure of a policy", p.Name, name)
			}
		}
	}
	return x, found
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
