// Package demand measures how much work arrives through each queue, and what it costs
// callers to turn it away.
package demand

import (
	"math"
	"slices"
	"time"
)

const (
	// usualPeriod and currentPeriod are the time constants of the averages of the
	// usual and of the current demand.
	usualPeriod   = 2 * time.Minute
	currentPeriod = 500 * time.Millisecond
	// prioritiesPerDoubling is the number of priorities by which the price doubles.
	prioritiesPerDoubling = 3
	// minUsualTime bounds the time over which the usual demand is averaged.
	minUsualTime = time.Second
	// maxSilence is the time without demand after which a queue is dropped.
	maxSilence = 10 * time.Minute
)

// Demand holds the demand of the queues. The zero value is not usable; see New. A
// Demand is not safe for concurrent use.
type Demand struct {
	queues map[string]*queue
	// names holds the names of the queues, sorted, so that equal events give equal sums.
	names []string
	// nextExpiry is when queues are dropped next.
	nextExpiry time.Time
}

type queue struct {
	priority int
	// since is when the first work arrived.
	since time.Time
	// used is when work last arrived or waited.
	used           time.Time
	usual, current average
}

// average is a sum whose addends lose weight exponentially with time.
type average struct {
	sum float64
	at  time.Time
}

// New returns a Demand without queues.
func New() *Demand { return &Demand{queues: map[string]*queue{}} }

// Add records work, in core-seconds, that arrives at a queue.
func (d *Demand) Add(now time.Time, name string, priority int, coreSeconds float64) {
	d.expire(now)
	q := d.queues[name]
	if q == nil {
		q = &queue{since: now}
		d.queues[name] = q
		i, _ := slices.BinarySearch(d.names, name)
		d.names = slices.Insert(d.names, i, name)
	}
	q.priority, q.used = priority, now
	q.usual.add(now, coreSeconds, usualPeriod)
	q.current.add(now, coreSeconds, currentPeriod)
}

// Keep records that jobs of a queue wait, so that it keeps its price.
func (d *Demand) Keep(now time.Time, name string) {
	if q := d.queues[name]; q != nil {
		q.used = now
	}
}

// Price returns what it costs the callers of a queue to turn work away, for each
// core-second, relative to other queues. All queues count the same to their callers
// together, so that a core-second costs more where less is asked for, and a queue that
// asks for more than others gives way first. Higher priorities cost more.
func (d *Demand) Price(now time.Time, name string) float64 {
	q := d.queues[name]
	if q == nil {
		return 0
	}
	weight := math.Exp2(-float64(q.priority) / prioritiesPerDoubling)
	return weight / max(q.usual.rate(now, usualPeriod, q.elapsed(now)), math.SmallestNonzeroFloat32)
}

// Current returns the current demand of a queue, in core-seconds per second.
func (d *Demand) Current(now time.Time, name string) float64 {
	q := d.queues[name]
	if q == nil {
		return 0
	}
	return q.current.rate(now, currentPeriod, q.elapsed(now))
}

// Priorities returns the price of the queue with the most demand of each priority.
func (d *Demand) Priorities(now time.Time) map[int]float64 {
	d.expire(now)
	prices := map[int]float64{}
	for _, name := range d.names {
		priority, price := d.queues[name].priority, d.Price(now, name)
		if lowest, ok := prices[priority]; !ok || price < lowest {
			prices[priority] = price
		}
	}
	return prices
}

// CurrentAbove returns the current demand of all queues with a higher price, in
// core-seconds per second.
func (d *Demand) CurrentAbove(now time.Time, price float64) (rate float64) {
	for _, name := range d.names {
		if d.Price(now, name) > price {
			rate += d.Current(now, name)
		}
	}
	return rate
}

// Queues returns the names of the queues with demand, sorted.
func (d *Demand) Queues() []string { return slices.Clone(d.names) }

// expire drops the queues without demand, at most once a second.
func (d *Demand) expire(now time.Time) {
	if now.Before(d.nextExpiry) {
		return
	}
	d.nextExpiry = now.Add(time.Second)
	d.names = slices.DeleteFunc(d.names, func(name string) bool {
		silent := now.Sub(d.queues[name].used) >= maxSilence
		if silent {
			delete(d.queues, name)
		}
		return silent
	})
}

func (q *queue) elapsed(now time.Time) time.Duration { return max(now.Sub(q.since), minUsualTime) }

func (a *average) add(now time.Time, v float64, period time.Duration) {
	a.sum = a.decayed(now, period) + v
	a.at = now
}

func (a *average) decayed(now time.Time, period time.Duration) float64 {
	return a.sum * math.Exp(-now.Sub(a.at).Seconds()/period.Seconds())
}

// rate returns the mean per second over the period, or since the first addend if that
// was later.
func (a *average) rate(now time.Time, period, elapsed time.Duration) float64 {
	mass := period.Seconds() * (1 - math.Exp(-elapsed.Seconds()/period.Seconds()))
	return a.decayed(now, period) / mass
}
