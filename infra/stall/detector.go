// Package stall detects that the process did not run for some time, because it was
// paused, its machine was suspended, or the processor was busy. Requests that are
// read after a stall may have waited during all of it.
package stall

import (
	"sync/atomic"
	"time"
)

const (
	// tickEvery is the interval in which the process shows that it runs.
	tickEvery = 50 * time.Millisecond
	// minStall is the shortest time without a tick that counts as a stall.
	minStall = 200 * time.Millisecond
	// settleTime is the time after a stall in which requests are read that arrived
	// during it.
	settleTime = 100 * time.Millisecond
)

// Detector records when the process last stalled. Its methods may be called
// concurrently.
type Detector struct {
	clock func() time.Time
	last  atomic.Pointer[record]
	stop  chan struct{}
	done  chan struct{}
}

// record is the state after a tick.
type record struct {
	tick time.Time
	// begin and end delimit the last stall, if there was one.
	begin, end time.Time
}

// New returns a Detector that counts as running now. The clock must include
// suspensions of the machine.
func New(clock func() time.Time) *Detector {
	d := &Detector{clock: clock, stop: make(chan struct{}), done: make(chan struct{})}
	d.last.Store(&record{tick: clock()})
	return d
}

// Run observes the process until Close.
func (d *Detector) Run() {
	defer close(d.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.tick()
		case <-d.stop:
			return
		}
	}
}

func (d *Detector) tick() {
	now, r := d.clock(), *d.last.Load()
	if now.Sub(r.tick) >= minStall {
		r.begin, r.end = r.tick, now
	}
	r.tick = now
	d.last.Store(&r)
}

// MaxAge returns how long ago a request that is read now may have arrived. It is 0
// unless the process has just stalled.
func (d *Detector) MaxAge() time.Duration {
	now, r := d.clock(), d.last.Load()
	switch {
	case now.Sub(r.tick) >= minStall:
		return now.Sub(r.tick)
	case !r.end.IsZero() && now.Sub(r.end) < settleTime:
		return now.Sub(r.begin)
	}
	return 0
}

// Close stops Run and waits for its end. Run must have been started.
func (d *Detector) Close() {
	close(d.stop)
	<-d.done
}
