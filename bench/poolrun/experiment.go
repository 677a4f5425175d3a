// Package poolrun simulates the schedulers of an instance pool to compare their
// policies. It runs them in simulated time and without I/O, with jobs that are
// drawn from a seed and with targets that hold leases. The simulation covers what
// a scheduler observes: targets, requests to them and the replies, jobs and their
// deadlines. It does not cover machines, the processor time of the instances, or
// a network beyond constant delays.
package poolrun

import (
	"time"

	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/settings"
)

// Experiment describes the load, the targets, the faults and the policies to
// compare. It is read from a TOML file.
type Experiment struct {
	// Seconds is how long jobs are submitted in a run. Rate is the mean number
	// of jobs per second.
	Seconds float64 `toml:"seconds"`
	Rate    float64 `toml:"rate"`
	// Owners is the number of instances that own the targets, in equal shares.
	Owners   int          `toml:"owners"`
	Targets  TargetConfig `toml:"targets"`
	Kinds    []JobKind    `toml:"kinds"`
	Faults   []Fault      `toml:"faults"`
	Policies []Policy     `toml:"policies"`
}

// TargetConfig describes the targets.
type TargetConfig struct {
	Count int `toml:"count"`
	// CPU holds the sizes of the targets in thousandths of a core. They are
	// assigned in turn.
	CPU []int64 `toml:"cpu"`
	// SpeedSpread is the standard deviation of the logarithm of a target's
	// slowness.
	SpeedSpread float64 `toml:"speed_spread"`
	// Slowness holds the factors of the run times on the targets, which are
	// assigned at random in equal shares. SpeedSpread applies in addition. Empty
	// means 1 for all targets.
	Slowness []float64 `toml:"slowness"`
	// DelayMS is the one-way network delay between an instance and a target, in
	// milliseconds.
	DelayMS float64 `toml:"delay_ms"`
}

// JobKind describes jobs of one kind.
type JobKind struct {
	Name string `toml:"name"`
	// Share is the share of jobs of this kind, relative to the shares of the
	// other kinds.
	Share float64 `toml:"share"`
	// Tasks is the mean number of tasks of a job. The number is drawn uniformly
	// from half to one and a half times the mean.
	Tasks int `toml:"tasks"`
	// CPU is what a task requires, in thousandths of a core.
	CPU int64 `toml:"cpu"`
	// CPUSpread is the standard deviation of the logarithm of CPU between jobs.
	// MaxCPU limits it; 0 means no limit.
	CPUSpread float64 `toml:"cpu_spread"`
	MaxCPU    int64   `toml:"max_cpu"`
	// WorkMS is the median run time of a task in milliseconds. WorkSpread is the
	// standard deviation of its logarithm between jobs, TaskSpread that between
	// the tasks of a job.
	WorkMS     float64 `toml:"work_ms"`
	WorkSpread float64 `toml:"work_spread"`
	TaskSpread float64 `toml:"task_spread"`
	// EstimateSpread is the standard deviation of the logarithm of the callers'
	// estimates relative to the run time.
	EstimateSpread float64 `toml:"estimate_spread"`
	// Stretch and SlackMS define the latency objective of a job: the run time of
	// its longest task times Stretch, which counts as at least 1, plus SlackMS
	// milliseconds.
	Stretch float64 `toml:"stretch"`
	SlackMS int     `toml:"slack_ms"`
	// DeadlineMS is the deadline after the arrival, in milliseconds. It must be 0 if
	// Patience is set.
	DeadlineMS int `toml:"deadline_ms"`
	// Patience is the median of the factor of the latency objective for which callers
	// wait, and PatienceSpread the standard deviation of its logarithm.
	Patience       float64 `toml:"patience"`
	PatienceSpread float64 `toml:"patience_spread"`
	Priority       int     `toml:"priority"`
	// MaxAttempts is how often a task may fail before the job fails. 0 means 1.
	MaxAttempts int `toml:"attempts"`
	// Worth is the value of a complete answer within the latency objective,
	// LateWorth that of a later one.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late"`
}

// Fault affects a share of the targets, or the load, for some time.
type Fault struct {
	// Kind is burst, crash, slow, fail, hang, leave or lose_orders.
	Kind string `toml:"kind"`
	// StartSeconds is counted from the start of the run.
	StartSeconds    float64 `toml:"at_s"`
	DurationSeconds float64 `toml:"for_s"`
	// Share is the share of affected targets, or for fail, hang and lose_orders
	// the share of affected tasks or requests on all targets. Magnitude is the
	// factor of a burst or of slow targets. For lose_orders it is the number of
	// seconds after which lost requests are carried out.
	Share     float64 `toml:"share"`
	Magnitude float64 `toml:"x"`
	// JobKind limits a burst to jobs of one kind, by its name. Empty means all.
	JobKind string `toml:"job_kind"`
}

// Policy is a named policy. Overrides replaces fields of the default policy; the
// keys are those of policySetters.
type Policy struct {
	Name      string             `toml:"name"`
	Overrides map[string]float64 `toml:"set"`
	// KnownRunTimes gives the scheduler the mean run time of each job's tasks instead
	// of the caller's estimate. It bounds what better forecasts could gain.
	KnownRunTimes bool `toml:"known_run_times"`
}

// policySetters sets the fields of a policy by their keys in TOML.
var policySetters = map[string]func(*scheduler.Policy, float64){
	"late_factor":    func(p *scheduler.Policy, v float64) { p.LateFactor = v },
	"wait_gain":      func(p *scheduler.Policy, v float64) { p.WaitGain = v },
	"slow_weight":    func(p *scheduler.Policy, v float64) { p.SlownessWeight = v },
	"rest_weight":    func(p *scheduler.Policy, v float64) { p.FreeCapacityWeight = v },
	"forecast_error": func(p *scheduler.Policy, v float64) { p.ForecastStdDev = v },
	"unknown_cost":   func(p *scheduler.Policy, v float64) { p.UnknownCost = v },
	"least_chance":   func(p *scheduler.Policy, v float64) { p.MinExpectedValue = v },
	"decline_loss":   func(p *scheduler.Policy, v float64) { p.MaxValueLoss = v },
	"overdue_factor": func(p *scheduler.Policy, v float64) { p.OverdueFactor = v },
	"overdue_ms":     func(p *scheduler.Policy, v float64) { p.OverdueMS = int(v) },
	"eject_after":    func(p *scheduler.Policy, v float64) { p.EjectAfter = int(v) },
}

// schedulerPolicy returns the default policy with the overrides.
func (p Policy) schedulerPolicy() scheduler.Policy {
	out := scheduler.DefaultPolicy()
	for name, v := range p.Overrides {
		policySetters[name](&out, v)
	}
	return out
}

var faultKinds = map[string]bool{
	"burst": true, "crash": true, "slow": true, "fail": true, "hang": true, "leave": true, "lose_orders": true,
}

// Load reads an experiment from a TOML file and validates it. If the list of
// findings is not empty, the experiment must not be used.
func Load(path string) (Experiment, finding.List) {
	var exp Experiment
	file, found := settings.Load(path, &exp)
	if len(found) > 0 {
		return Experiment{}, found
	}
	add := func(key, format string, args ...any) { found.Add(file.Place(key), format, args...) }
	if exp.Seconds <= 0 || exp.Seconds > 600 {
		add("seconds", "%v must be above 0 and at most 600", exp.Seconds)
	}
	if exp.Rate <= 0 {
		add("rate", "%v must be above 0", exp.Rate)
	}
	if exp.Owners < 1 || exp.Targets.Count < exp.Owners {
		add("owners", "%d must be at least 1 and at most the number of targets, %d", exp.Owners, exp.Targets.Count)
	}
	if len(exp.Targets.CPU) == 0 {
		add("cpu", "must name at least one size")
	}
	for _, f := range exp.Targets.Slowness {
		if f <= 0 {
			add("slowness", "%v must be above 0", f)
		}
	}
	if len(exp.Kinds) == 0 {
		add("kinds", "must hold at least one kind")
	}
	for _, k := range exp.Kinds {
		if k.Share <= 0 || k.Tasks < 1 || k.CPU < 1 || k.WorkMS <= 0 || k.Worth <= 0 {
			add("kinds", "kind %q needs share, tasks, cpu, work_ms and worth above 0", k.Name)
		}
		if k.DeadlineMS < 0 || k.Patience < 0 || k.PatienceSpread < 0 || (k.DeadlineMS > 0) == (k.Patience > 0) {
			add("kinds", "kind %q needs either deadline_ms or patience above 0, and no negative patience_spread", k.Name)
		}
	}
	for _, f := range exp.Faults {
		if !faultKinds[f.Kind] {
			add("faults", "unknown fault kind %q", f.Kind)
		}
	}
	if len(exp.Policies) == 0 {
		add("policies", "must hold at least one policy")
	}
	for _, p := range exp.Policies {
		for name := range p.Overrides {
			if policySetters[name] == nil {
				add("policies", "policy %q sets %q, which is not a field of a policy", p.Name, name)
			}
		}
	}
	return exp, found
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
