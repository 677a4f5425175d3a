// Package hedge decides when a running task is started a second time.
package hedge

import "time"

// burst is the number of hedges that may be saved up.
const burst = 8

// Budget limits the hedges of one service to a percentage of its starts. It is
// not safe for concurrent use.
type Budget struct {
	percent float64
	tokens  float64
}

// New returns a Budget; 0 percent turns hedging off.
func New(percent int) *Budget { return &Budget{percent: float64(percent)} }

// SetPercent changes the bound.
func (b *Budget) SetPercent(percent int) { b.percent = float64(percent) }

// Enabled says whether the service is hedged at all.
func (b *Budget) Enabled() bool { return b.percent > 0 }

// RecordStart notes a first start.
func (b *Budget) RecordStart() { b.tokens = min(b.tokens+b.percent/100, burst) }

// Task describes a running attempt.
type Task struct {
	Repeatable bool
	// InFlight is the number of attempts of the task in flight, Finished the number
	// made that ran or may have run, and MaxAttempts the bound on them.
	InFlight, Finished, MaxAttempts int
	Deadline                        time.Time
}

// Take decides whether the attempt is hedged on a target where the task is
// expected to run that long, and counts the hedge.
func (b *Budget) Take(now time.Time, a Task, expected time.Duration) bool {
	switch {
	case !a.Repeatable, a.InFlight != 1, a.Finished+a.InFlight >= a.MaxAttempts, b.tokens < 1:
		return false
	case now.Add(expected).After(a.Deadline):
		return false
	}
	b.tokens--
	return true
}
