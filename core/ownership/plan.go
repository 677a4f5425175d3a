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
	// holders are the preferred holders of the shards.
	holders []string
}

// plan ranks the live instances by size and weighted rendezvous hashing, those
// of the pool's zone first. The shards are divided evenly among the first ones, so
// that each queue sees as many targets as its instance can serve.
func (k *Keeper) plan(service, zone string) plan {
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
	p := plan{near: len(near), ranked: append(rank(near, key), rank(far, key)...)}
	n := min(k.Owners(service, zone), max(len(near), min(len(far), 1)))
	if n > 0 {
		p.holders = divide(p.ranked[:n], key, k.shards)
	}
	return p
}

// rank puts larger instances before smaller ones: an owner of too few
// processors is late with every order for its targets. Hashing spreads the pools
// over the instances of about one size.
func rank(all []Member, key string) []string {
	score := func(m Member) float64 {
		return -max(m.Weight, minWeight) / math.Log(unit(key+"/"+m.Name))
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	out := make([]string, len(all))
	for i, m := range all {
		out[i] = m.Name
	}
	return out
}

// minWeight stands for instances that have not told their weight.
const minWeight = 0.01

// size is the same for instances whose weights differ by less than about a
// factor of two.
func size(m Member) int { return int(math.Floor(math.Log2(max(m.Weight, minWeight)))) }

// unit hashes a text into the open interval from 0 to 1.
func unit(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}

// divide gives each shard to the owner that ranks first for it and has room,
// so that few shards move when an owner comes or goes.
func divide(owners []string, key string, shards int) []string {
	room := (shards + len(owners) - 1) / len(owners)
	count := map[string]int{}
	out := make([]string, shards)
	for i := range shards {
		best, bestScore := "", -1.0
		for _, o := range owners {
			if score := unit(key + "/" + strconv.Itoa(i) + "/" + o); count[o] < room && score > bestScore {
				best, bestScore = o, score
			}
		}
		out[i] = best
		count[best]++
	}
	return out
}

// owners is the number of instances that share the pool.
func (p plan) owners() int {
	seen := map[string]bool{}
	for _, h := range p.holders {
		seen[h] = true
	}
	return len(seen)
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
