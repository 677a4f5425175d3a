package scheduler

import "time"

// Policy holds the figures of the decisions that trade one caller's time
// against another's. marigold-bench policies compares them.
type Policy struct {
	// HoldShare is the share of the latency objective after which a job
	// without a start is refused if it cannot start at once.
	HoldShare float64
	// LateFactor bounds the time of a job as a multiple of its latency
	// objective: later answers are worthless to the callers.
	LateFactor float64
	// WaitGain is how much the chance of a task has to grow for it to wait for
	// a faster target.
	WaitGain float64
	// SlownessWeight and RestWeight turn the logarithm of a target's slowness and
	// its unused share into chances.
	SlownessWeight     float64
	FreeCapacityWeight float64
	// MinExpectedValue is what a task must have on the fastest target for its job
	// to be accepted.
	MinExpectedValue float64
	// MaxValueLoss is how much less than its best chance a task may have for
	// another owner not to be asked.
	MaxValueLoss float64
	// OverdueFactor and OverdueMS say when a run is taken to hang: after a
	// multiple of its forecast, and no sooner than some time beyond it.
	OverdueFactor float64
	OverdueMS     int
	// EjectAfter is the number of failures in a row, of different jobs, that
	// eject a target.
	EjectAfter int
}

// DefaultPolicy returns the policy of the product.
func DefaultPolicy() Policy {
	return Policy{
		HoldShare: 0.25, LateFactor: 3, WaitGain: 0.1, SlownessWeight: 0.04, FreeCapacityWeight: 0.02, MinExpectedValue: 0.04,
		MaxValueLoss: 0.05, OverdueFactor: 3, OverdueMS: 300, EjectAfter: 2,
	}
}

// overdue is how long a run with the forecast d may take.
func (p Policy) overdue(d time.Duration) time.Duration {
	return max(time.Duration(float64(d)*p.OverdueFactor), d+time.Duration(p.OverdueMS)*time.Millisecond)
}
