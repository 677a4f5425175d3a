// Package ownership decides which shards of targets an instance claims. A
// shard is a subset of the targets of a service in an availability zone. Its
// claim is a key in the store, and the revision of the key is the fencing token
// for the targets. If two instances claim the same shard, the store accepts one
// of them, and the targets obey the higher token.
package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rankDelay is the additional time that an instance waits per rank before it
	// claims a shard, so that claims rarely collide.
	rankDelay = 300 * time.Millisecond
	// otherZoneDelay is the additional time that an instance of another zone
	// waits, so that a restarted instance of the zone can claim first.
	otherZoneDelay = 1500 * time.Millisecond
	// releaseDelay is how long another instance has to be the better holder of a
	// shard before the shard is released, so that restarts do not move shards
	// twice.
	releaseDelay = 3 * time.Second
	// releaseCapacityRatio is the ratio of capacities above which a shard is
	// released to a larger instance.
	releaseCapacityRatio = 2
	// targetsPerCore and targetsPerMbps are the numbers of targets that one core
	// and one Mbit/s of network bandwidth can serve. Per second, the requests to
	// one target take 5 to 8 ms of CPU time and about 12 KB, and twice as much in
	// bursts.
	targetsPerCore = 100
	targetsPerMbps = 5
	// maxTargets limits the targets of one instance, because placing a task
	// examines all of them.
	maxTargets = 120
	// defaultCapacity is assumed for an instance that does not report its
	// capacity.
	defaultCapacity = 40
	// reclaimDelay gives a live holder whose key is gone the time to claim it
	// again, because its tasks are still running under the old token.
	reclaimDelay = 1200 * time.Millisecond
)

// Shard identifies a subset of the targets of a service in an availability zone.
type Shard struct {
	Service string
	Zone    string
	Index   int
}

// ShardOf returns the shard of a target, if its pool is divided into n shards.
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

// Capacity returns the number of targets that an instance can serve with a number
// of cores and a network bandwidth in Mbit/s. A bandwidth of 0 means unlimited.
func Capacity(cores, mbps float64) int {
	n := min(cores*targetsPerCore, maxTargets)
	if mbps > 0 {
		n = min(n, mbps*targetsPerMbps)
	}
	return max(int(n), 1)
}

func (m Member) capacity() int {
	if m.Capacity <= 0 {
		return defaultCapacity
	}
	return m.Capacity
}

// Claim is the holder of a shard. A claim without a holder was released and can be
// taken over at once.
type Claim struct {
	Holder      string
	Address     string
	Incarnation uint64
	// Revision is the revision of the key in the store.
	Revision int64
	// KeyMissing is set for a claim whose key is gone from the store. The holder
	// keeps using its old token until another instance fences it, if it is still
	// alive.
	KeyMissing bool
}

// ClaimRequest is a claim that the instance should write to the store.
type ClaimRequest struct {
	Shard Shard
	// ExpectedRevision is the revision of the key that is replaced, or 0 if
	// there must be no key.
	ExpectedRevision int64
	// Previous is the claim of another instance that this one replaces. Its holder
	// is not registered, but may be alive; see Postpone. It is empty if there is
	// none.
	Previous Claim
}

// Planner decides which shards an instance claims and releases, from the members,
// claims and target counts in the store. It is not safe for concurrent use.
type Planner struct {
	self     Member
	zones    []string
	services []string
	shards   int
	members  map[string]Member
	claims   map[Shard]Claim
	// vacant holds the shards without a holder.
	vacant map[Shard]vacancy
	// targetCounts holds the number of targets of each pool.
	targetCounts map[pool]int
	// plans caches the plans until members or target counts change.
	plans map[pool]plan
	// misplaced holds the own shards that another instance should hold, and
	// since when.
	misplaced map[Shard]time.Time
}

// pool identifies all targets of a service in an availability zone.
type pool struct{ service, zone string }

type vacancy struct {
	since time.Time
	// reclaim is set if the last holder is still registered.
	reclaim bool
}

// New returns a Planner for the instance self. Each service has the given number
// of shards in each zone.
func New(self Member, zones []string, shards int) *Planner {
	p := &Planner{
		self: self, zones: slices.Clone(zones), shards: max(shards, 1),
		members: map[string]Member{}, claims: map[Shard]Claim{}, vacant: map[Shard]vacancy{},
		targetCounts: map[pool]int{}, plans: map[pool]plan{}, misplaced: map[Shard]time.Time{},
	}
	slices.Sort(p.zones)
	return p
}

// SetServices sets the services of the configuration in force.
func (p *Planner) SetServices(services []string) { p.services = slices.Clone(services) }

// SetTargetCount sets how many targets a service has in a zone. The shards are
// divided among as many instances as are needed to serve them.
func (p *Planner) SetTargetCount(service, zone string, n int) {
	p.targetCounts[pool{service, zone}] = n
	clear(p.plans)
}

// TargetCount returns the number that was set with SetTargetCount.
func (p *Planner) TargetCount(service, zone string) int { return p.targetCounts[pool{service, zone}] }

// Peers returns the addresses of the other live instances.
func (p *Planner) Peers() []string {
	var out []string
	for name, m := range p.members {
		if name != p.self.Name {
			out = append(out, m.Address)
		}
	}
	slices.Sort(out)
	return out
}

// SetMember registers a live instance.
func (p *Planner) SetMember(m Member) {
	p.members[m.Name] = m
	clear(p.plans)
}

// RemoveMember removes an instance whose registration has ended.
func (p *Planner) RemoveMember(name string) {
	delete(p.members, name)
	clear(p.plans)
}

// SetClaim records the holder of a shard. A claim with an older revision than the
// known one is ignored.
func (p *Planner) SetClaim(s Shard, c Claim) {
	if old, ok := p.claims[s]; ok && old.Revision > c.Revision {
		return
	}
	p.claims[s] = c
	delete(p.vacant, s)
}

// RemoveClaim records that the key of a shard was deleted at a revision of the
// store. The revision is 0 if it is unknown. The claim is kept with KeyMissing set.
func (p *Planner) RemoveClaim(now time.Time, s Shard, revision int64) {
	old, ok := p.claims[s]
	switch {
	case !ok || revision != 0 && old.Revision > revision:
	case old.Holder == "":
		p.vacate(now, s, false)
	default:
		old.KeyMissing = true
		p.claims[s] = old
		if !p.isOwn(old) {
			p.vacant[s] = vacancy{since: now, reclaim: p.holderRegistered(old)}
		}
	}
}

// Postpone leaves a shard to the previous holder of a due claim, which has replied
// to a heartbeat. The claim becomes due again later.
func (p *Planner) Postpone(now time.Time, s Shard) { p.vacant[s] = vacancy{since: now, reclaim: true} }

// DropClaim gives up a claim of this instance after another instance has fenced
// it.
func (p *Planner) DropClaim(now time.Time, s Shard) { p.vacate(now, s, true) }

func (p *Planner) vacate(now time.Time, s Shard, reclaim bool) {
	delete(p.claims, s)
	p.vacant[s] = vacancy{since: now, reclaim: reclaim}
}

// isOwn reports whether this incarnation of the instance holds a claim.
func (p *Planner) isOwn(c Claim) bool {
	return c.Holder == p.self.Name && c.Incarnation == p.self.Incarnation
}

// Reset clears the state before the store is read again. Claims are kept with
// KeyMissing set until SetClaim is called for them.
func (p *Planner) Reset() {
	for s, c := range p.claims {
		if c.Holder == "" {
			delete(p.claims, s)
			continue
		}
		c.KeyMissing = true
		p.claims[s] = c
	}
	p.members = map[string]Member{}
	p.targetCounts = map[pool]int{}
	clear(p.plans)
}

// holderRegistered reports whether the holder of a claim is registered.
func (p *Planner) holderRegistered(c Claim) bool {
	m, ok := p.members[c.Holder]
	return ok && m.Incarnation == c.Incarnation
}

// Holders returns the claims on the shards of a service, without released shards.
func (p *Planner) Holders(service string) map[Shard]Claim {
	out := map[Shard]Claim{}
	for s, c := range p.claims {
		if s.Service == service && c.Holder != "" {
			out[s] = c
		}
	}
	return out
}

// Owned returns the claims of this instance.
func (p *Planner) Owned() map[Shard]Claim {
	out := map[Shard]Claim{}
	for s, c := range p.claims {
		if p.isOwn(c) {
			out[s] = c
		}
	}
	return out
}

// DueClaims returns the claims to write to the store now. A draining instance
// claims nothing.
func (p *Planner) DueClaims(now time.Time) []ClaimRequest {
	if p.self.Draining {
		return nil
	}
	var out []ClaimRequest
	p.eachPool(func(service, zone string) {
		pl := p.plan(service, zone)
		for i := range p.shards {
			s := Shard{Service: service, Zone: zone, Index: i}
			delay, ok := pl.delay(i, p.self.Name)
			if !ok {
				continue
			}
			if req, ok := p.dueClaim(now, s, delay); ok {
				out = append(out, req)
			}
		}
	})
	return out
}

// ShardsToRelease returns the shards of this instance that another one should
// hold, once this has been the case for releaseDelay. A shard is only released if
// this instance is in another zone, has much less capacity or holds too many
// shards, because the targets of a shard are idle while it is handed over.
func (p *Planner) ShardsToRelease(now time.Time) []Shard {
	var out []Shard
	p.eachPool(func(service, zone string) {
		pl := p.plan(service, zone)
		var own []Shard
		for i := range p.shards {
			s := Shard{Service: service, Zone: zone, Index: i}
			if c := p.claims[s]; p.isOwn(c) && !c.KeyMissing {
				own = append(own, s)
			}
		}
		excess := len(own) - pl.quota(p.self, p.shards)
		for _, s := range own {
			to := pl.preferred(s.Index)
			if to == p.self.Name || to == "" || excess <= 0 && !p.isBetterHolder(to, zone) {
				delete(p.misplaced, s)
				continue
			}
			excess--
			if p.misplacedLongEnough(now, s) {
				out = append(out, s)
			}
		}
	})
	return out
}

// isBetterHolder reports whether another instance is much better suited to hold
// targets of a zone than this one.
func (p *Planner) isBetterHolder(name, zone string) bool {
	m := p.members[name]
	if p.self.Zone != zone {
		return m.Zone == zone
	}
	return m.Zone == zone && m.capacity() > releaseCapacityRatio*p.self.capacity()
}

// misplacedLongEnough reports whether a shard has been misplaced for
// releaseDelay.
func (p *Planner) misplacedLongEnough(now time.Time, s Shard) bool {
	since, ok := p.misplaced[s]
	if !ok {
		p.misplaced[s] = now
		return false
	}
	return now.Sub(since) >= releaseDelay
}

func (p *Planner) eachPool(fn func(service, zone string)) {
	for _, service := range p.services {
		for _, zone := range p.zones {
			fn(service, zone)
		}
	}
}

// Drain marks the instance as draining, so that it claims no more shards.
func (p *Planner) Drain() { p.self.Draining = true }

func (p *Planner) dueClaim(now time.Time, s Shard, delay time.Duration) (ClaimRequest, bool) {
	c, held := p.claims[s]
	req := ClaimRequest{Shard: s, ExpectedRevision: c.Revision}
	if c.KeyMissing {
		req.ExpectedRevision = 0
	}
	if held && c.KeyMissing && p.isOwn(c) {
		return req, true
	}
	stale := held && c.Holder == p.self.Name && c.Incarnation != p.self.Incarnation
	if held && !c.KeyMissing && !stale && p.holderRegistered(c) {
		delete(p.vacant, s)
		return ClaimRequest{}, false
	}
	v, ok := p.vacant[s]
	if !ok {
		v = vacancy{since: now}
		p.vacant[s] = v
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
	if !stale {
		req.Previous = c
	}
	return req, true
}
