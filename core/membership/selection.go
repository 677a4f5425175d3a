package membership

import (
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	watchers     = 2
	ownPeers     = 2
	roundPeers   = 3
	announceSize = 4
)

// ZoneInstances returns the names of the entry instances that share the
// availability zone's targets, this one included. A suspected instance counts
// as long as the list names it, because it may serve behind a partition.
func (r *Roster) ZoneInstances() []string {
	var names []string
	if !r.draining {
		names = append(names, r.self.Name)
	}
	for _, p := range r.filter(r.inZone) {
		if p.State == Live || p.State == Suspected && p.Listed {
			names = append(names, p.Name)
		}
	}
	return names
}

// RegionSize returns how many entry instances of the region are not draining,
// this one included. It divides the connections of a target.
func (r *Roster) RegionSize() int {
	n := 1
	for _, p := range r.peers {
		if p.Region == r.self.Region && p.state() != Draining {
			n++
		}
	}
	return n
}

// IsStoreWatcher says whether this instance is one of the two that watch the store
// for the availability zone.
func (r *Roster) IsStoreWatcher() bool {
	if r.draining {
		return false
	}
	names := []string{r.self.Name}
	for _, p := range r.filter(r.inZone) {
		if p.State == Live {
			names = append(names, p.Name)
		}
	}
	ranked := Rank(names, "watch "+r.self.AvailabilityZone)
	for _, n := range ranked[:min(watchers, len(ranked))] {
		if n == r.self.Name {
			return true
		}
	}
	return false
}

// Successor returns the live instance of the availability zone that takes
// over this instance's sessions. The caller keeps the result, because a
// second successor could give a session two homes.
func (r *Roster) Successor(now time.Time) (Peer, bool) {
	fresh := func(p *Peer) bool {
		return r.inZone(p) && p.state() == Live && !p.LastHeard.IsZero() && now.Sub(p.LastHeard) <= recentlyHeard
	}
	live := func(p *Peer) bool { return r.inZone(p) && p.state() == Live }
	for _, keep := range []func(*Peer) bool{fresh, live} {
		if peers := r.filter(keep); len(peers) > 0 {
			return r.best(peers), true
		}
	}
	return Peer{}, false
}

func (r *Roster) best(peers []Peer) Peer {
	names := make([]string, 0, len(peers))
	for _, p := range peers {
		names = append(names, p.Name)
	}
	ranked := Rank(names, "successor "+strconv.FormatUint(r.self.Incarnation, 16))
	p, _ := r.Peer(ranked[0])
	return p
}

// ExchangePeers returns the peers of one exchange round: two of the own availability
// zone and one of another one of the region, filled up from either where one
// has too few. At most one of them is suspected, so that a dead instance does
// not take the place of live ones and a recovered one is still found.
func (r *Roster) ExchangePeers(rng *rand.Rand) []Peer {
	own := r.filter(r.inZone)
	other := r.filter(r.outOfZone)
	shuffle(rng, own)
	shuffle(rng, other)
	nOwn := min(ownPeers, len(own))
	nOther := min(roundPeers-nOwn, len(other))
	order := append([]Peer{}, own[:nOwn]...)
	order = append(order, other[:nOther]...)
	order = append(order, own[nOwn:]...)
	order = append(order, other[nOther:]...)
	return oneSuspected(order, roundPeers)
}

func oneSuspected(order []Peer, n int) []Peer {
	out := make([]Peer, 0, n)
	suspected := false
	for _, p := range order {
		if len(out) == n {
			break
		}
		if p.State == Suspected {
			if suspected {
				continue
			}
			suspected = true
		}
		out = append(out, p)
	}
	return out
}

// AnnouncePeers returns up to four peers that a new ticket is announced to at
// once, those of the own availability zone first. Suspected ones are left out.
func (r *Roster) AnnouncePeers(rng *rand.Rand) []Peer {
	reach := func(zone func(*Peer) bool) []Peer {
		peers := r.filter(func(p *Peer) bool { return zone(p) && p.state() != Suspected })
		shuffle(rng, peers)
		return peers
	}
	own, other := reach(r.inZone), reach(r.outOfZone)
	// Half go elsewhere, because the other zones' watchers may be down.
	nOwn := min(max(announceSize/2, announceSize-len(other)), len(own))
	nOther := min(announceSize-nOwn, len(other))
	return append(own[:nOwn:nOwn], other[:nOther]...)
}

func (r *Roster) inZone(p *Peer) bool {
	return p.Region == r.self.Region && p.AvailabilityZone == r.self.AvailabilityZone
}

func (r *Roster) outOfZone(p *Peer) bool {
	return p.Region == r.self.Region && p.AvailabilityZone != r.self.AvailabilityZone
}

func shuffle(rng *rand.Rand, peers []Peer) {
	rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}
