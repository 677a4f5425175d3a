// Package hedge decides when a running task is started a second time.
package hedge

import "time"

// burst is the number of hedges that may be saved up.
const burst = 8

// Bound limits the hedges of one service to a percentage of its starts. It is
// not safe for concurrent use.
type Bound struct {
	percent float64
	tokens  float64
}

// New returns a Bound; 0 percent turns hedging off.
func New(percent int) *Bound { return &Bound{percent: float64(percent)} }

// SetPercent changes the bound.
func (b *Bound) SetPercent(percent int) { b.percent = float64(percent) }

// Enabled says whether the service is hedged at all.
func (b *Bound) Enabled() bool { return b.percent > 0 }

// Start notes a first start.
func (b *Bound) Start() { b.tokens = min(b.tokens+b.percent/100, burst) }

// Attempt describes a running attempt.
type Attempt struct {
	Repeatable bool
	// Running is the number of attempts of the task in flight, Made the number
	// made that ran or may have run, and Allowed the bound on them.
	Running, Made, Allowed int
	Deadline               time.Time
}

// Take decides whether the attempt is hedged on a target where the task is
// expected to run that long, and counts the hedge.
func (b *Bound) Take(now time.Time, a Attempt, expected time.Duration) bool {
	switch {
	case !a.Repeatable, a.Running != 1, a.Made+a.Running >= a.Allowed, b.tokens < 1:
		return false
	case now.Add(expected).After(a.Deadline):
		return false
	}
	b.tokens--
	return true
}
