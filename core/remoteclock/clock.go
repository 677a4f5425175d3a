// Package remoteclock estimates the clock of another process from the readings that
// its replies carry.
package remoteclock

import "time"

// Clock estimates a remote clock. The estimate is never ahead of the remote clock, as
// long as that runs at least at the speed 1-maxDrift relative to the local one: a
// reading was taken before it arrived, and time since then counts at the slowest
// speed. The zero value has no reading.
type Clock struct {
	reading time.Duration
	readAt  time.Time
	drift   float64
}

// New returns a Clock without a reading. The argument maxDrift is the fraction by
// which the remote clock may run slower than the local one.
func New(maxDrift float64) Clock { return Clock{drift: maxDrift} }

// Known reports whether there has been a reading.
func (c *Clock) Known() bool { return !c.readAt.IsZero() }

// ReadAt returns the local time of the reading in use, or zero.
func (c *Clock) ReadAt() time.Time { return c.readAt }

// Observe records a reading of the remote clock that arrived at the local time now.
// A reading below the estimate replaces it as well: it may be of a process that has
// restarted.
func (c *Clock) Observe(now time.Time, reading time.Duration) {
	c.reading, c.readAt = reading, now
}

// At returns the estimate of the remote clock at a local time. There must have been
// a reading.
func (c *Clock) At(now time.Time) time.Duration {
	return c.reading + time.Duration(float64(now.Sub(c.readAt))*(1-c.drift))
}

// Reset forgets all readings, for example because the remote process has restarted.
func (c *Clock) Reset() { c.reading, c.readAt = 0, time.Time{} }
