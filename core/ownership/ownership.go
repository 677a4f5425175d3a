// Package ownership decides which shards of targets an instance claims. A
// shard is a part of the targets of a service in an availability zone; its
// claim is a key in the store, and the key's revision is the fencing token at
// the targets. Two instances that decide differently collide at the store, and
// at the targets the higher token wins.
package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rankDelay is how much longer each lower-ranked instance waits before it
	// claims, so that claims rarely collide.
	rankDelay = 300 * time.Millisecond
	// awayDelay is how much longer an instance of another availability zone
	// waits, so that a restarted instance of the zone comes first.
	awayDelay = 1500 * time.Millisecond
	// settleTime is how long another instance has to be the better holder of a
	// shard before it is passed on, so that restarts do not move shards twice.
	settleTime = 3 * time.Second
	// muchLarger is the ratio of capacities from which a shard is passed on.
	muchLarger = 2
	// targetsPerCore and targetsPerMbps are the targets that one core, and one
	// Mbit/s of the link, can serve: the orders for a target take 5 to 8 ms of
	// processor time and about 12 KB a second, and as much again in bursts.
	targetsPerCore = 100
	targetsPerMbps = 5
	// mostTargets bounds the search for a free target, which looks at each.
	mostTargets = 120
	// usualCapacity is that of an instance that has not told its own.
	usualCapacity = 40
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
	// Capacity is the number of targets that the instance can serve.
	Capacity int
	// Draining is set once the instance prepares to stop: it claims nothing.
	Draining bool
}

// Capacity returns the number of targets that an instance can serve, by its
// processors and its link in Mbit/s, of which 0 means any number.
func Capacity(cores, mbps float64) int {
	n := min(cores*targetsPerCore, mostTargets)
	if mbps > 0 {
		n = min(n, mbps*targetsPerMbps)
	}
	return max(int(n), 1)
}

func (m Member) capacity() int {
	if m.Capacity <= 0 {
		return usualCapacity
	}
	return m.Capacity
}

// Claim is the holder of a shard. One without a name was passed on by its
// holder and can be claimed at once.
type Claim struct {
	Holder      string
	Address     string
	Incarnation uint64
	// Revision is that of the key in the store.
	Revision int64
	// KeyMissing is set for a claim of this instance whose key is gone. The
	// instance goes on under its old token until another one fences it off.
	KeyMissing bool
}

// ClaimRequest is a claim that the instance wants to make.
type ClaimRequest struct {
	Shard Shard
	// ExpectedRevision is the revision of the key that is replaced; 0 if there is none.
	ExpectedRevision int64
}

// Planner knows the members and claims, and decides. It is used by one
// goroutine.
type Planner struct {
	self     Member
	zones    []string
	services []string
	shards   int
	members  map[string]Member
	claims   map[Shard]Claim
	// free holds the shards that can be claimed and since when.
	free map[Shard]vacancy
	// targets is the number of targets of a pool.
	targets map[pool]int
	// plans holds those made since the members or targets changed last.
	plans map[pool]plan
	// misplaced holds own shards that another instance should hold.
	misplaced map[Shard]time.Time
}

// pool is the targets of a service in an availability zone.
type pool struct{ service, zone string }

type vacancy struct {
	since time.Time
	// reclaim is set where the last holder still lives.
	reclaim bool
}

// New returns a Keeper for the zones, with a number of shards for each service
// in each zone.
func New(self Member, zones []string, shards int) *Planner {
	k := &Planner{
		self: self, zones: slices.Clone(zones), shards: max(shards, 1),
		members: map[string]Member{}, claims: map[Shard]Claim{}, free: map[Shard]vacancy{},
		targets: map[pool]int{}, plans: map[pool]plan{}, misplaced: map[Shard]time.Time{},
	}
	slices.Sort(k.zones)
	return k
}

// SetServices sets the services of the configuration in force.
func (k *Planner) SetServices(services []string) { k.services = slices.Clone(services) }

// SetTargetCount sets how many targets a service has in a zone. As many instances
// hold its shards as it takes to serve them.
func (k *Planner) SetTargetCount(service, zone string, n int) {
	k.targets[pool{service, zone}] = n
	clear(k.plans)
}

// TargetCount is the number set with SetTargets.
func (k *Planner) TargetCount(service, zone string) int { return k.targets[pool{service, zone}] }

// SetMember registers a live instance.
func (k *Planner) SetMember(m Member) {
	k.members[m.Name] = m
	clear(k.plans)
}

// RemoveMember forgets an instance whose registration has ended.
func (k *Planner) RemoveMember(name string) {
	delete(k.members, name)
	clear(k.plans)
}

// SetClaim records the holder of a shard.
func (k *Planner) SetClaim(s Shard, c Claim) {
	if old, ok := k.claims[s]; ok && old.Revision > c.Revision {
		return
	}
	k.claims[s] = c
	delete(k.free, s)
}

// RemoveClaim records that the key of a shard is gone as of a revision.
func (k *Planner) RemoveClaim(now time.Time, s Shard, revision int64) {
	old, ok := k.claims[s]
	switch {
	case !ok || revision != 0 && old.Revision > revision:
	case k.own(old):
		old.KeyMissing = true
		k.claims[s] = old
	default:
		k.vacate(now, s, k.lives(old))
	}
}

// DropClaim gives up a claim of this instance that another one has fenced off.
func (k *Planner) DropClaim(now time.Time, s Shard) { k.vacate(now, s, true) }

func (k *Planner) vacate(now time.Time, s Shard, reclaim bool) {
	delete(k.claims, s)
	k.free[s] = vacancy{since: now, reclaim: reclaim}
}

// own says whether a claim is this instance's.
func (k *Planner) own(c Claim) bool {
	return c.Holder == k.self.Name && c.Incarnation == k.self.Incarnation
}

// Reset begins a new reading of the store: what is not set again is gone.
func (k *Planner) Reset() {
	claims := map[Shard]Claim{}
	for s, c := range k.claims {
		if k.own(c) {
			c.KeyMissing = true
			claims[s] = c
		}
	}
	k.members = map[string]Member{}
	k.claims = claims
	k.targets = map[pool]int{}
	clear(k.plans)
}

// lives says whether the holder of a claim is registered.
func (k *Planner) lives(c Claim) bool {
	m, ok := k.members[c.Holder]
	return ok && m.Incarnation == c.Incarnation
}

// Holders returns the holders of the shards of a service.
func (k *Planner) Holders(service string) map[Shard]Claim {
	out := map[Shard]Claim{}
	for s, c := range k.claims {
		if s.Service == service && c.Holder != "" {
			out[s] = c
		}
	}
	return out
}

// Owned returns the claims of this instance.
func (k *Planner) Owned() map[Shard]Claim {
	out := map[Shard]Claim{}
	for s, c := range k.claims {
		if k.own(c) {
			out[s] = c
		}
	}
	return out
}

// DueClaims returns the claims to make now.
func (k *Planner) DueClaims(now time.Time) []ClaimRequest {
	if k.self.Draining {
		return nil
	}
	var out []ClaimRequest
	k.eachPool(func(service, zone string) {
		p := k.plan(service, zone)
		for i := range k.shards {
			s := Shard{Service: service, Zone: zone, Index: i}
			delay, ok := p.delay(i, k.self.Name)
			if !ok {
				continue
			}
			if w, ok := k.wish(now, s, delay); ok {
				out = append(out, w)
			}
		}
	})
	return out
}

// ShardsToRelease returns the shards of this instance that another one should hold,
// once that has been so for a while. A shard stays where it is unless that is
// in another zone, with a much smaller instance or with one that holds too
// many: passing it on costs its targets' time.
func (k *Planner) ShardsToRelease(now time.Time) []Shard {
	var out []Shard
	k.eachPool(func(service, zone string) {
		p := k.plan(service, zone)
		var own []Shard
		for i := range k.shards {
			s := Shard{Service: service, Zone: zone, Index: i}
			if c := k.claims[s]; k.own(c) && !c.KeyMissing {
				own = append(own, s)
			}
		}
		over := len(own) - p.quota(k.self, k.shards)
		for _, s := range own {
			to := p.preferred(s.Index)
			if to == k.self.Name || to == "" || over <= 0 && !k.better(to, zone) {
				delete(k.misplaced, s)
				continue
			}
			over--
			if k.settled(now, s) {
				out = append(out, s)
			}
		}
	})
	return out
}

// better says whether another instance suits a zone's targets much better than
// this one.
func (k *Planner) better(name, zone string) bool {
	m := k.members[name]
	if k.self.Zone != zone {
		return m.Zone == zone
	}
	return m.Zone == zone && m.capacity() > muchLarger*k.self.capacity()
}

// settled says whether a shard has been misplaced for long enough.
func (k *Planner) settled(now time.Time, s Shard) bool {
	since, ok := k.misplaced[s]
	if !ok {
		k.misplaced[s] = now
		return false
	}
	return now.Sub(since) >= settleTime
}

func (k *Planner) eachPool(fn func(service, zone string)) {
	for _, service := range k.services {
		for _, zone := range k.zones {
			fn(service, zone)
		}
	}
}

// Drain makes the instance claim nothing more.
func (k *Planner) Drain() { k.self.Draining = true }

func (k *Planner) wish(now time.Time, s Shard, delay time.Duration) (ClaimRequest, bool) {
	c, held := k.claims[s]
	if held && c.KeyMissing {
		return ClaimRequest{Shard: s}, true
	}
	stale := held && c.Holder == k.self.Name && c.Incarnation != k.self.Incarnation
	if held && !stale && k.lives(c) {
		delete(k.free, s)
		return ClaimRequest{}, false
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
		return ClaimRequest{}, false
	}
	return ClaimRequest{Shard: s, ExpectedRevision: c.Revision}, true
}
