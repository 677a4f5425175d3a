// Package ownership decides which shards of targets an instance claims. A
// shard is a part of the targets of a service in an availability zone; its
// claim is a key in the store, and the key's revision is the fencing token at
// the targets. Two instances that decide differently collide at the store, and
// at the targets the higher token wins.
package ownership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldfront.dev/core/membership"
)

const (
	// rankDelay is how much longer each lower-ranked instance waits before it
	// claims, so that claims rarely collide.
	rankDelay = 300 * time.Millisecond
	// awayDelay is how much longer an instance of another availability zone
	// waits, so that a restarted instance of the zone comes first.
	awayDelay = 1500 * time.Millisecond
	// reclaimDelay leaves a living holder whose key vanished the time to claim
	// it again, because its tasks run on under the old token.
	reclaimDelay = 1200 * time.Millisecond
)

// Shard names a part of the targets of a service in an availability zone.
type Shard struct {
	Service string
	Zone    string
	Index   int
}

// ShardOf returns the shard of a target, of n shards.
func ShardOf(service, zone, target string, n int) Shard {
	return Shard{Service: service, Zone: zone, Index: int(xxhash.Sum64String(target) % uint64(max(n, 1)))}
}

// Member is a live instance, as it is registered in the store.
type Member struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
	// Draining is set once the instance prepares to stop: it claims nothing.
	Draining bool
}

// Claim is the holder of a shard.
type Claim struct {
	Name        string
	Address     string
	Incarnation uint64
	// Revision is that of the key in the store.
	Revision int64
}

// Wish is a claim that the instance wants to make.
type Wish struct {
	Shard Shard
	// Expected is the revision of the key that is replaced; 0 if there is none.
	Expected int64
}

// Keeper knows the members and claims, and decides. It is used by one
// goroutine.
type Keeper struct {
	self     Member
	zones    []string
	services []string
	shards   int
	members  map[string]Member
	claims   map[Shard]Claim
	// free holds the shards that can be claimed and since when.
	free map[Shard]vacancy
}

type vacancy struct {
	since time.Time
	// reclaim is set where the last holder still lives.
	reclaim bool
}

// New returns a Keeper for the zones, with a number of shards for each service
// in each zone.
func New(self Member, zones []string, shards int) *Keeper {
	k := &Keeper{
		self: self, zones: slices.Clone(zones), shards: max(shards, 1),
		members: map[string]Member{}, claims: map[Shard]Claim{}, free: map[Shard]vacancy{},
	}
	slices.Sort(k.zones)
	return k
}

// SetServices sets the services of the configuration in force.
func (k *Keeper) SetServices(services []string) { k.services = slices.Clone(services) }

// SetMember registers a live instance.
func (k *Keeper) SetMember(m Member) { k.members[m.Name] = m }

// RemoveMember forgets an instance whose registration has ended.
func (k *Keeper) RemoveMember(name string) { delete(k.members, name) }

// SetClaim records the holder of a shard.
func (k *Keeper) SetClaim(s Shard, c Claim) {
	if old, ok := k.claims[s]; ok && old.Revision > c.Revision {
		return
	}
	k.claims[s] = c
	delete(k.free, s)
}

// RemoveClaim records that the key of a shard is gone as of a revision.
func (k *Keeper) RemoveClaim(now time.Time, s Shard, revision int64) {
	old, ok := k.claims[s]
	if !ok || revision != 0 && old.Revision > revision {
		return
	}
	delete(k.claims, s)
	k.free[s] = vacancy{since: now, reclaim: k.lives(old) && old.Name != k.self.Name}
}

// Reset drops all members and claims before a new reading of the store.
func (k *Keeper) Reset() {
	k.members = map[string]Member{}
	k.claims = map[Shard]Claim{}
}

// lives says whether the holder of a claim is registered.
func (k *Keeper) lives(c Claim) bool {
	m, ok := k.members[c.Name]
	return ok && m.Incarnation == c.Incarnation
}

// Holders returns the holders of the shards of a service.
func (k *Keeper) Holders(service string) map[Shard]Claim {
	out := map[Shard]Claim{}
	for s, c := range k.claims {
		if s.Service == service {
			out[s] = c
		}
	}
	return out
}

// Members returns the live instances, by name.
func (k *Keeper) Members() []Member {
	all := make([]Member, 0, len(k.members))
	for _, m := range k.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Owned returns the claims of this instance.
func (k *Keeper) Owned() map[Shard]Claim {
	out := map[Shard]Claim{}
	for s, c := range k.claims {
		if c.Name == k.self.Name && c.Incarnation == k.self.Incarnation {
			out[s] = c
		}
	}
	return out
}

// Decide returns the claims to make now.
func (k *Keeper) Decide(now time.Time) []Wish {
	if k.self.Draining {
		return nil
	}
	var out []Wish
	for _, service := range k.services {
		for _, zone := range k.zones {
			delay, ok := k.delay(service, zone)
			if !ok {
				continue
			}
			for i := range k.shards {
				s := Shard{Service: service, Zone: zone, Index: i}
				if w, ok := k.wish(now, s, delay); ok {
					out = append(out, w)
				}
			}
		}
	}
	return out
}

// Drain makes the instance claim nothing more.
func (k *Keeper) Drain() { k.self.Draining = true }

func (k *Keeper) wish(now time.Time, s Shard, delay time.Duration) (Wish, bool) {
	c, held := k.claims[s]
	stale := held && c.Name == k.self.Name && c.Incarnation != k.self.Incarnation
	if held && !stale && k.lives(c) {
		delete(k.free, s)
		return Wish{}, false
	}
	v, ok := k.free[s]
	if !ok {
		v = vacancy{since: now}
		k.free[s] = v
	}
	if stale {
		delay = 0
	}
	if v.reclaim {
		delay += reclaimDelay
	}
	if now.Sub(v.since) < delay {
		return Wish{}, false
	}
	return Wish{Shard: s, Expected: c.Revision}, true
}

// delay returns how long this instance leaves a free shard to better-placed
// ones. All shards of a service in a zone have the same order, so that one
// instance holds them and its queue sees all of their room.
func (k *Keeper) delay(service, zone string) (time.Duration, bool) {
	var near, far []string
	for _, m := range k.members {
		switch {
		case m.Draining:
		case m.Zone == zone:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	key := service + "/" + zone + "/" + strconv.Itoa(len(k.zones))
	if i := slices.Index(membership.Rank(near, key), k.self.Name); i >= 0 {
		return time.Duration(i) * rankDelay, true
	}
	i := slices.Index(membership.Rank(far, key), k.self.Name)
	if i < 0 {
		return 0, false
	}
	return awayDelay + time.Duration(len(near)+i)*rankDelay, true
}
