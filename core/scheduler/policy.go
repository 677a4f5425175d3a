package scheduler

import "time"

// Policy holds the parameters of decisions that favor some jobs at the expense
// of others. The command "marigold-bench policies" compares policies.
type Policy struct {
	// LateFactor is the multiple of the latency objective after which an answer
	// has no value to the caller, or only that for which idle room is used.
	LateFactor float64
	// WaitGain is the gain in expected value that is required for a task to wait
	// for a faster target.
	WaitGain float64
	// SlownessWeight and FreeCapacityWeight convert the logarithm of a target's
	// slowness and its fraction of free CPU into expected value. SlownessWeight
	// applies in proportion to the used share of the fast targets.
	SlownessWeight     float64
	FreeCapacityWeight float64
	// ForecastStdDev is the standard deviation of the logarithm of the run time of
	// a job's longest task relative to its forecast, on a target of known speed.
	ForecastStdDev float64
	// UnknownCost is what an unknown outcome costs the caller, relative to the value
	// of an answer in time. A job that may have run cannot be submitted again.
	UnknownCost float64
	// MinExpectedValue is the expected value that each ready task must have on
	// its best target for its job to be accepted.
	MinExpectedValue float64
	// MaxValueLoss bounds how far a task's expected value may be below that on
	// its best target for a job with MustStartNow to be accepted.
	MaxValueLoss float64
	// OverdueFactor and OverdueMS define when a run counts as hung: after this
	// multiple of its forecast, but at least this many milliseconds after it.
	OverdueFactor float64
	OverdueMS     int
	// EjectAfter is the number of consecutive failures, of different jobs, after
	// which a target is ejected.
	EjectAfter int
}

// DefaultPolicy returns the policy that is used unless Config sets another.
func DefaultPolicy() Policy {
	return Policy{
		LateFactor: 3, WaitGain: 0.1, SlownessWeight: 0.04, FreeCapacityWeight: 0.02, ForecastStdDev: 0.37,
		UnknownCost: 0.7, MinExpectedValue: 0.04, MaxValueLoss: 0.05, OverdueFactor: 3, OverdueMS: 300, EjectAfter: 2,
	}
}

// overdue returns the time after which a run with the forecast d counts as hung.
func (p Policy) overdue(d time.Duration) time.Duration {
	return max(time.Duration(float64(d)*p.OverdueFactor), d+time.Duration(p.OverdueMS)*time.Millisecond)
}
