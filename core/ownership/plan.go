package ownership

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// plan is who should hold the shards of a pool. All instances that know the
// same members make the same plan.
type plan struct {
	// ranked are the candidates, the best first; near is how many of them are
	// in the pool's zone.
	ranked []string
	near   int
	// holders are the preferred holders of the shards, and capacity what they
	// have together.
	holders  []string
	capacity int
}

// plan returns the plan of a pool. It is worked out once for the same members,
// because hashing and ranking 300 of them with each decision would take every
// instance a fifth of a core.
func (k *Planner) plan(service, zone string) plan {
	at := pool{service, zone}
	p, ok := k.plans[at]
	if !ok {
		p = k.newPlan(service, zone)
		k.plans[at] = p
	}
	return p
}

// newPlan ranks the live instances by size and weighted rendezvous hashing, those
// of the pool's zone first. The shards are divided among the first ones that can
// serve all targets together, by their capacities, so that each queue sees as
// many targets as its instance can serve.
func (k *Planner) newPlan(service, zone string) plan {
	key := service + "/" + zone
	var near, far []Member
	for _, m := range k.members {
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
	p := plan{near: len(near)}
	for _, m := range append(near, far...) {
		p.ranked = append(p.ranked, m.Name)
	}
	owners := near
	if len(near) == 0 {
		owners = far[:min(len(far), 1)]
	}
	for i, m := range owners {
		p.capacity += m.capacity()
		if p.capacity >= k.TargetCount(service, zone) || i == len(owners)-1 {
			p.holders = divide(owners[:i+1], p.capacity, key, k.shards)
			break
		}
	}
	return p
}

// rank puts larger instances before smaller ones: an owner of too few
// processors is late with every order for its targets. Hashing spreads the pools
// over the instances of about one size.
func rank(all []Member, key string) {
	score := func(m Member) float64 {
		return -float64(m.capacity()) / math.Log(unit(key+"/"+m.Name))
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
}

// size is the same for instances whose capacities differ by less than about a
// factor of two.
func size(m Member) int { return int(math.Floor(math.Log2(float64(m.capacity())))) }

// unit hashes a text into the open interval from 0 to 1.
func unit(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}

// divide gives each shard to the owner that ranks first for it and has room,
// so that few shards move when an owner comes or goes.
func divide(owners []Member, capacity int, key string, shards int) []string {
	count := map[string]int{}
	out := make([]string, shards)
	for i := range shards {
		best, bestScore := "", -1.0
		for _, o := range owners {
			score := unit(key + "/" + strconv.Itoa(i) + "/" + o.Name)
			if count[o.Name] < quota(o, capacity, shards) && score > bestScore {
				best, bestScore = o.Name, score
			}
		}
		out[i] = best
		count[best]++
	}
	return out
}

// quota is the most shards that an owner holds, of those of owners with a
// capacity together.
func quota(m Member, capacity, shards int) int {
	return (shards*m.capacity() + capacity - 1) / capacity
}

// quota is the most shards of the pool that an instance should hold.
func (p plan) quota(m Member, shards int) int {
	if p.capacity == 0 {
		return shards
	}
	return quota(m, p.capacity, shards)
}

// preferred is who should hold shard i, or empty.
func (p plan) preferred(i int) string {
	if i >= len(p.holders) {
		return ""
	}
	return p.holders[i]
}

// delay returns how long an instance leaves free shard i to better-placed
// ones.
func (p plan) delay(i int, name string) (time.Duration, bool) {
	if p.preferred(i) == name {
		return 0, true
	}
	at := slices.Index(p.ranked, name)
	switch {
	case at < 0:
		return 0, false
	case at < p.near || p.near == 0:
		return time.Duration(at+1) * rankDelay, true
	}
	return awayDelay + time.Duration(at+1)*rankDelay, true
}
