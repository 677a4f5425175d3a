// Package hedge limits how often a running task is started a second time on
// another target.
package hedge

import "time"

// burst is the maximum number of unused hedges that accumulate.
const burst = 8

// Budget is a token bucket that limits the hedges of one service to a percentage
// of its task starts. It is not safe for concurrent use.
type Budget struct {
	percent float64
	tokens  float64
}

// New returns an empty Budget. A percentage of 0 turns hedging off.
func New(percent int) *Budget { return &Budget{percent: float64(percent)} }

// SetPercent changes the percentage and keeps the accumulated tokens.
func (b *Budget) SetPercent(percent int) { b.percent = float64(percent) }

// Enabled reports whether the service may be hedged.
func (b *Budget) Enabled() bool { return b.percent > 0 }

// RecordStart adds the share of a token that one start of a task earns. It is
// not called for hedges.
func (b *Budget) RecordStart() { b.tokens = min(b.tokens+b.percent/100, burst) }

// Task describes a running task that may be hedged.
type Task struct {
	Repeatable bool
	// InFlight is the number of attempts in flight. Finished is the number of
	// earlier attempts that ran or may have run. MaxAttempts bounds their sum.
	InFlight, Finished, MaxAttempts int
	Deadline                        time.Time
}

// Take reports whether the task may be hedged on a target on which it is
// expected to run for the given time. If so, it consumes one token.
func (b *Budget) Take(now time.Time, t Task, expected time.Duration) bool {
	switch {
	case !t.Repeatable, t.InFlight != 1, t.Finished+t.InFlight >= t.MaxAttempts, b.tokens < 1:
		return false
	case now.Add(expected).After(t.Deadline):
		return false
	}
	b.tokens--
	return true
}
