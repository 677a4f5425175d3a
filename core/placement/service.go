package placement

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"

	"marigoldfront.dev/core/directory"
)

const (
	// targetSampleWeight is the weight of one sample in the learned slowness and
	// mean run time of a target. The first samples have a larger weight.
	targetSampleWeight = 0.05
	// serviceSampleWeight is the weight of one sample in the averages of a service.
	// The first samples have a larger weight.
	serviceSampleWeight = 0.01
	// tailQuantile is the quantile that is learned as the tail run time.
	tailQuantile = 0.95
	// tailStep is the step size of the tail estimate, which is a ratio of measured
	// to forecast run time.
	tailStep = 0.05
	// minSlowness and maxSlowness bound a learned slowness, so that a single
	// outlier has a limited effect.
	minSlowness = 0.1
	maxSlowness = 10
	// classWidth is the width of a speed class, as a natural logarithm of slowness.
	classWidth = 0.2
	// clearlyFasterClasses is the number of classes by which a target must be
	// faster than another to count as clearly faster.
	clearlyFasterClasses = 2
	// maxReliableError is the error of forecasts, as a natural logarithm, up to
	// which they distinguish long tasks from short ones.
	maxReliableError = 0.4
)

// The tiers of slots, in the order of preference: assigned to this instance, or
// borrowed in its own or in another availability zone.
const (
	assigned = iota
	sameZone
	otherZone
	// tiers is the number of tiers.
	tiers
)

// serviceStats holds what is learned about a service across all targets.
type serviceStats struct {
	samples int
	// mean is the mean run time on a target of slowness 1, in nanoseconds.
	mean float64
	// scale is the ratio of run time to declared time.
	scale float64
	// errMean and errDeclared are the mean absolute errors, as natural logarithms,
	// of the forecasts by mean and by declared time.
	errMean, errDeclared float64
	// tail is the 95th percentile of the ratio of run time to forecast.
	tail float64
}

type service struct {
	name string
	serviceStats
	// order holds the targets by speed class and rank, fastest class first, as of
	// sortedAt. The rank spreads the instances over targets of the same speed.
	order    []*profile
	sortedAt time.Time
	// faster holds, for each position, the assigned slots on clearly faster
	// targets. free holds, for each tier, the positions with a free slot.
	faster []slotCapacity
	free   [tiers]bitset
}

func newService(s directory.Service) *service {
	expected := float64(max(s.ExpectedRunTime(), time.Millisecond))
	return &service{name: s.Name, serviceStats: serviceStats{mean: expected, scale: 1, tail: 3, errMean: 0.7, errDeclared: 0.5}}
}

// baseRunTime forecasts the run time on a target of slowness 1. It uses the
// declared time if such forecasts have had the smaller error.
func (s *service) baseRunTime(declared time.Duration) float64 {
	if declared > 0 && s.errDeclared <= s.errMean {
		return float64(declared) * s.scale
	}
	return s.mean
}

// declaredTimeReliable reports whether forecasts by declared time distinguish long
// tasks from short ones.
func (s *service) declaredTimeReliable(declared time.Duration) bool {
	return declared > 0 && s.errDeclared <= min(s.errMean, maxReliableError)
}

// recordRunTime updates the statistics with a run time that is normalized to a
// target of slowness 1.
func (s *service) recordRunTime(declared time.Duration, norm float64) {
	s.samples++
	w := max(serviceSampleWeight, 1/float64(s.samples+4))
	s.errMean += w * (math.Abs(math.Log(norm/s.mean)) - s.errMean)
	if declared > 0 {
		ratio := norm / float64(declared)
		s.errDeclared += w * (math.Abs(math.Log(ratio/s.scale)) - s.errDeclared)
		s.scale *= math.Exp(w * clamp(math.Log(ratio/s.scale), 3))
	}
	s.mean += w * (min(norm, 20*s.mean) - s.mean)
}

// updateTail moves the tail estimate one step towards the quantile.
func (s *service) updateTail(ratio float64) {
	if ratio > s.tail {
		s.tail += tailStep * tailQuantile
	} else {
		s.tail = max(1, s.tail-tailStep*(1-tailQuantile))
	}
}

// profile holds what is learned about one target for one service.
type profile struct {
	target  *target
	service *service
	runTimeStats
	// slowness is the run time on the target relative to the mean of the service.
	slowness float64
	// pos is the position in the order of the service.
	pos int
}

// runTimeStats holds the learned mean run time of a target for a service, in
// nanoseconds.
type runTimeStats struct {
	samples int
	mean    float64
}

// class returns the speed class of the target. Targets of about the same speed
// share a class, so that noise in the learned run times does not outweigh the
// rank of this instance.
func (p *profile) class() int { return int(math.Round(math.Log(p.slowness) / classWidth)) }

func (p *profile) recordRunTime(took float64, ratio float64) {
	p.samples++
	// The initial slowness of 1 counts as one sample. The mean starts with the
	// first run time.
	w := max(targetSampleWeight, 1/float64(p.samples+1))
	p.mean += max(targetSampleWeight, 1/float64(p.samples)) * (took - p.mean)
	p.slowness = min(max(p.slowness+w*(min(ratio, maxSlowness)-p.slowness), minSlowness), maxSlowness)
}

// normalize scales the slowness of all targets to a slot-weighted harmonic mean of
// 1, so that it cannot drift against the mean of the service, and sorts them.
func (s *service) normalize(now time.Time) {
	s.sortedAt = now
	slots, speed := 0.0, 0.0
	for _, p := range s.order {
		slots += float64(p.target.Slots)
		speed += float64(p.target.Slots) / p.slowness
	}
	if speed > 0 {
		norm := speed / slots
		for _, p := range s.order {
			p.slowness = min(max(p.slowness*norm, minSlowness), maxSlowness)
		}
		s.mean /= norm
		s.scale /= norm
	}
	s.rebuildIndex()
}

// rebuildIndex sorts the targets, empties the sets of free slots and sums up the
// slots on clearly faster targets.
func (s *service) rebuildIndex() {
	slices.SortStableFunc(s.order, func(a, b *profile) int {
		return cmp.Or(cmp.Compare(a.class(), b.class()), cmp.Compare(a.target.rank, b.target.rank))
	})
	for i := range s.free {
		s.free[i] = newBitset(s.free[i], len(s.order))
	}
	s.faster = s.faster[:0]
	var sum slotCapacity
	next := 0
	for i, p := range s.order {
		p.pos = i
		for s.order[next].class() <= p.class()-clearlyFasterClasses {
			sum.add(s.order[next])
			next++
		}
		s.faster = append(s.faster, sum)
	}
}

// slotCapacity is a sum over assigned slots.
type slotCapacity struct {
	slots float64
	// rate is the sum of the speeds of the slots, where speed is 1/slowness.
	rate float64
}

func (c *slotCapacity) add(p *profile) {
	if p.target.usable() {
		c.slots += float64(p.target.assignedSlots)
		c.rate += float64(p.target.assignedSlots) / p.slowness
	}
}

// sort sorts the targets of a service and marks those with free slots.
func (t *Table) sort(now time.Time, s *service) {
	s.normalize(now)
	for _, p := range s.order {
		t.markFreeSlots(now, p)
	}
}

// Speed is the learned mean run time of a target for a service. Instances exchange
// speeds with their peers.
type Speed struct {
	Target  string
	Service string
	Mean    time.Duration
	Samples int
}

// Speeds returns all learned mean run times, ordered by service and target.
func (t *Table) Speeds() []Speed {
	var all []Speed
	for _, name := range sortedKeys(t.services) {
		for _, p := range t.services[name].order {
			if p.samples > 0 {
				all = append(all, Speed{p.target.Name, name, time.Duration(p.mean), p.samples})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Speed) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return all
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func clamp(x, limit float64) float64 { return min(max(x, -limit), limit) }

// bitset is a set of positions in the order of a service.
type bitset []uint64

// newBitset returns an empty set of n positions. It reuses the memory of old if
// that is large enough.
func newBitset(old bitset, n int) bitset {
	words := (n + 63) / 64
	if cap(old) < words {
		return make(bitset, words)
	}
	old = old[:words]
	clear(old)
	return old
}

func (b bitset) set(i int, on bool) {
	if on {
		b[i/64] |= 1 << (i % 64)
	} else {
		b[i/64] &^= 1 << (i % 64)
	}
}

// prev returns the last member at or before i, or -1.
func (b bitset) prev(i int) int {
	for w := i / 64; i >= 0 && w >= 0; w-- {
		word := b[w]
		if w == i/64 {
			word &= ^uint64(0) >> (63 - i%64)
		}
		if word != 0 {
			return w*64 + 63 - bits.LeadingZeros64(word)
		}
	}
	return -1
}

// next returns the first member at or after i, or -1.
func (b bitset) next(i int) int {
	for w := i / 64; w < len(b); w++ {
		word := b[w]
		if w == i/64 {
			word &= ^uint64(0) << (i % 64)
		}
		if word != 0 {
			return w*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}
