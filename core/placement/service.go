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
	// meanWeight is the weight of one sample in a target's learned slowness,
	// early samples weigh more.
	meanWeight = 0.05
	// serviceWeight is the weight of one sample in a service's averages.
	serviceWeight = 0.01
	// tailShare is the quantile that is learned for the tail.
	tailShare = 0.95
	// tailStep is the step of the tail estimate in units of the ratio of
	// measured to forecast run time.
	tailStep = 0.05
	// minSlowness and maxSlowness bound a learned slowness, so that one
	// outlier cannot decide.
	minSlowness = 0.1
	maxSlowness = 10
	// classWidth is the width of a speed class as a logarithm.
	classWidth = 0.2
	// clearClasses is how many classes a target is faster to be clearly so.
	clearClasses = 2
	// sizedError is the error of forecasts, as a logarithm, up to which they
	// tell long tasks from short ones.
	sizedError = 0.4
)

// The tiers of slots, in the order of preference.
const (
	assigned = iota
	sameZone
	otherZone
	tiers
)

// learned is what is known of a service over all targets.
type learned struct {
	samples int
	// mean is the run time on a target of slowness 1.
	mean float64
	// scale is the ratio of run time to declared time.
	scale float64
	// errMean and errDeclared are the mean absolute errors, as logarithms, of
	// the forecasts by mean and by declared time.
	errMean, errDeclared float64
	// tail is the 95th percentile of run time over forecast.
	tail float64
}

type service struct {
	name string
	learned
	// order holds the targets by slowness, fastest first, as of sortedAt.
	order    []*pair
	sortedAt time.Time
	// faster describes, for each position, the slots on clearly faster targets.
	faster []faster
	free   [tiers]bitset
}

func newService(s directory.Service) *service {
	expected := float64(max(s.ExpectedRunTime(), time.Millisecond))
	return &service{name: s.Name, learned: learned{mean: expected, scale: 1, tail: 3, errMean: 0.7, errDeclared: 0.5}}
}

// base forecasts the run time on a target of slowness 1, by the declared time
// where such forecasts have been the better ones.
func (s *service) base(declared time.Duration) float64 {
	if declared > 0 && s.errDeclared <= s.errMean {
		return float64(declared) * s.scale
	}
	return s.mean
}

// sized says whether forecasts by declared time tell long tasks from short ones.
func (s *service) sized(declared time.Duration) bool {
	return declared > 0 && s.errDeclared <= min(s.errMean, sizedError)
}

// learn takes in a run time that is normalised to a target of slowness 1.
func (s *service) learn(declared time.Duration, norm float64) {
	s.samples++
	w := max(serviceWeight, 1/float64(s.samples+4))
	s.errMean += w * (math.Abs(math.Log(norm/s.mean)) - s.errMean)
	if declared > 0 {
		ratio := norm / float64(declared)
		s.errDeclared += w * (math.Abs(math.Log(ratio/s.scale)) - s.errDeclared)
		s.scale *= math.Exp(w * clamp(math.Log(ratio/s.scale), 3))
	}
	s.mean += w * (min(norm, 20*s.mean) - s.mean)
}

func (s *service) learnTail(ratio float64) {
	if ratio > s.tail {
		s.tail += tailStep * tailShare
	} else {
		s.tail = max(1, s.tail-tailStep*(1-tailShare))
	}
}

// pair is one target in its role for one service.
type pair struct {
	target  *target
	service *service
	speed
	// slowness is the target's run time relative to the service's mean.
	slowness float64
	pos      int
}

// speed is the learned run time of a target for a service.
type speed struct {
	samples int
	mean    float64
}

// class groups targets of about the same speed, so that noise in the learned
// run times does not outweigh the rank of this instance.
func (p *pair) class() int { return int(math.Round(math.Log(p.slowness) / classWidth)) }

func (p *pair) learn(took float64, ratio float64) {
	p.samples++
	// The slowness starts from 1 as if it were a sample; the mean starts from
	// the first run time.
	w := max(meanWeight, 1/float64(p.samples+1))
	p.mean += max(meanWeight, 1/float64(p.samples)) * (took - p.mean)
	p.slowness = min(max(p.slowness+w*(min(ratio, maxSlowness)-p.slowness), minSlowness), maxSlowness)
}

// sort orders the targets anew and normalises the slowness to a slot-weighted
// harmonic mean of 1, so that it cannot drift against the service's mean.
func (s *service) sort(now time.Time) {
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
	s.index()
}

// index rebuilds the order and the sets of free slots.
func (s *service) index() {
	slices.SortStableFunc(s.order, func(a, b *pair) int {
		return cmp.Or(cmp.Compare(a.class(), b.class()), cmp.Compare(a.target.rank, b.target.rank))
	})
	for i := range s.free {
		s.free[i] = newBitset(s.free[i], len(s.order))
	}
	s.faster = s.faster[:0]
	var sum faster
	next := 0
	for i, p := range s.order {
		p.pos = i
		for s.order[next].class() <= p.class()-clearClasses {
			sum.add(s.order[next])
			next++
		}
		s.faster = append(s.faster, sum)
	}
}

// faster sums up assigned slots.
type faster struct {
	slots float64
	// rate is the sum of the slots' speeds.
	rate float64
}

func (f *faster) add(p *pair) {
	if p.target.usable() {
		f.slots += float64(p.target.share)
		f.rate += float64(p.target.share) / p.slowness
	}
}

func (t *Table) sort(now time.Time, s *service) {
	s.sort(now)
	for _, p := range s.order {
		t.mark(now, p)
	}
}

// Speed is one learned run time, for exchange between instances.
type Speed struct {
	Target  string
	Service string
	Mean    time.Duration
	Samples int
}

// Speeds returns all learned run times, ordered by service and target.
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

// bitset is a set of positions in a service's order.
type bitset []uint64

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
