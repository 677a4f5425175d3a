package ownership

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// plan assigns the shards of a pool to instances. Instances with the same members
// and target counts compute the same plan.
type plan struct {
	// ranked lists the candidates, best first. The first inZone of them are in
	// the pool's zone.
	ranked []string
	inZone int
	// holders lists the preferred holder of each shard. capacity is the total
	// capacity of the preferred holders.
	holders  []string
	capacity int
}

// plan returns the plan of a pool. The plan is cached until the members change,
// because hashing and ranking 300 members for each decision would take a fifth of
// a core in every instance.
func (p *Planner) plan(service, zone string) plan {
	key := pool{service, zone}
	pl, ok := p.plans[key]
	if !ok {
		pl = p.newPlan(service, zone)
		p.plans[key] = pl
	}
	return pl
}

// newPlan ranks the live instances by size and weighted rendezvous hashing, those
// of the pool's zone first. The shards are divided, in proportion to capacity,
// among the first instances that together can serve all targets. Using as few
// instances as possible gives each queue as many targets as its instance can
// serve.
func (p *Planner) newPlan(service, zone string) plan {
	key := service + "/" + zone
	var near, far []Member
	for _, m := range p.members {
		switch {
		case m.Draining:
		case m.Zone == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	rank(near, key)
	rank(far, key)
	pl := plan{inZone: len(near)}
	for _, m := range append(near, far...) {
		pl.ranked = append(pl.ranked, m.Name)
	}
	owners := near
	if len(near) == 0 {
		owners = far[:min(len(far), 1)]
	}
	for i, m := range owners {
		pl.capacity += m.capacity()
		if pl.capacity >= p.TargetCount(service, zone) || i == len(owners)-1 {
			pl.holders = assignShards(owners[:i+1], pl.capacity, key, p.shards)
			break
		}
	}
	return pl
}

// rank puts larger instances before smaller ones, because an owner with too little
// CPU sends every request to its targets late. Hashing distributes the pools among
// instances of similar size.
func rank(all []Member, key string) {
	score := func(m Member) float64 {
		return -float64(m.capacity()) / math.Log(hashToUnit(key+"/"+m.Name))
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(sizeClass(b), sizeClass(a)), cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
}

// sizeClass returns the power of two of an instance's capacity, so that instances
// of similar capacity rank equally.
func sizeClass(m Member) int { return int(math.Floor(math.Log2(float64(m.capacity())))) }

// hashToUnit hashes a text to a number in the open interval from 0 to 1.
func hashToUnit(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}

// assignShards gives each shard to the owner with the highest hash score that has
// not reached its quota, so that few shards move when an owner is added or removed.
func assignShards(owners []Member, capacity int, key string, shards int) []string {
	count := map[string]int{}
	out := make([]string, shards)
	for i := range shards {
		best, bestScore := "", -1.0
		for _, o := range owners {
			score := hashToUnit(key + "/" + strconv.Itoa(i) + "/" + o.Name)
			if count[o.Name] < quota(o, capacity, shards) && score > bestScore {
				best, bestScore = o.Name, score
			}
		}
		out[i] = best
		count[best]++
	}
	return out
}

// quota returns the maximum number of shards of an owner, in proportion to its
// part of the owners' total capacity.
func quota(m Member, capacity, shards int) int {
	return (shards*m.capacity() + capacity - 1) / capacity
}

// quota returns the maximum number of shards of the pool that an instance should
// hold.
func (p plan) quota(m Member, shards int) int {
	if p.capacity == 0 {
		return shards
	}
	return quota(m, p.capacity, shards)
}

// preferred returns the instance that should hold shard i, or "" if there is none.
func (p plan) preferred(i int) string {
	if i >= len(p.holders) {
		return ""
	}
	return p.holders[i]
}

// delay returns how long an instance waits for better candidates before it claims
// the vacant shard i. It returns false if the instance is not a candidate.
func (p plan) delay(i int, name string) (time.Duration, bool) {
	if p.preferred(i) == name {
		return 0, true
	}
	rank := slices.Index(p.ranked, name)
	switch {
	case rank < 0:
		return 0, false
	case rank < p.inZone || p.inZone == 0:
		return time.Duration(rank+1) * rankDelay, true
	}
	return otherZoneDelay + time.Duration(rank+1)*rankDelay, true
}
