package membership

import (
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// storeWatchers is the number of instances per availability zone that watch
	// the store.
	storeWatchers = 2
	// sameZonePeers of the peersPerRound peers of an exchange round are in the
	// same availability zone.
	sameZonePeers        = 2
	peersPerRound        = 3
	peersPerAnnouncement = 4
)

// ZoneInstances returns the names of the entry instances that share the targets
// of the availability zone, including this one. Draining instances are left
// out. A suspected instance is included as long as the instance list contains
// it, because it may still be running on the other side of a network partition.
func (r *Roster) ZoneInstances() []string {
	var names []string
	if !r.draining {
		names = append(names, r.self.Name)
	}
	for _, p := range r.selectPeers(r.sameZone) {
		if p.State == Live || p.State == Suspected && p.Listed {
			names = append(names, p.Name)
		}
	}
	return names
}

// RegionSize returns the number of entry instances of the region that are not
// draining, including this one. The connections of a target are divided by it.
func (r *Roster) RegionSize() int {
	n := 1
	for _, p := range r.peers {
		if p.Region == r.self.Region && p.state() != Draining {
			n++
		}
	}
	return n
}

// IsStoreWatcher reports whether this instance is one of the two that watch the
// store on behalf of the availability zone.
func (r *Roster) IsStoreWatcher() bool {
	if r.draining {
		return false
	}
	names := []string{r.self.Name}
	for _, p := range r.selectPeers(r.sameZone) {
		if p.State == Live {
			names = append(names, p.Name)
		}
	}
	ranked := Rank(names, "watch "+r.self.AvailabilityZone)
	for _, n := range ranked[:min(storeWatchers, len(ranked))] {
		if n == r.self.Name {
			return true
		}
	}
	return false
}

// Successor returns the live instance of the availability zone that takes over
// the sessions of this instance. It prefers instances from which a message
// arrived recently. The result must be kept and used for all sessions: with a
// second successor, a session could have two home instances.
func (r *Roster) Successor(now time.Time) (Peer, bool) {
	recent := func(p *Peer) bool {
		return r.sameZone(p) && p.state() == Live && !p.LastHeard.IsZero() && now.Sub(p.LastHeard) <= maxSuccessorSilence
	}
	live := func(p *Peer) bool { return r.sameZone(p) && p.state() == Live }
	for _, match := range []func(*Peer) bool{recent, live} {
		if peers := r.selectPeers(match); len(peers) > 0 {
			return r.chooseSuccessor(peers), true
		}
	}
	return Peer{}, false
}

func (r *Roster) chooseSuccessor(peers []Peer) Peer {
	names := make([]string, 0, len(peers))
	for _, p := range peers {
		names = append(names, p.Name)
	}
	ranked := Rank(names, "successor "+strconv.FormatUint(r.self.Incarnation, 16))
	p, _ := r.Peer(ranked[0])
	return p
}

// ExchangePeers returns the peers of one exchange round: two of the same
// availability zone and one of another zone of the region. If one side has too
// few peers, the other side fills the gap. At most one peer is suspected, so
// that failed instances do not displace live ones and a recovered instance is
// still detected.
func (r *Roster) ExchangePeers(rng *rand.Rand) []Peer {
	own := r.selectPeers(r.sameZone)
	other := r.selectPeers(r.otherZone)
	shuffle(rng, own)
	shuffle(rng, other)
	nOwn := min(sameZonePeers, len(own))
	nOther := min(peersPerRound-nOwn, len(other))
	order := append([]Peer{}, own[:nOwn]...)
	order = append(order, other[:nOther]...)
	order = append(order, own[nOwn:]...)
	order = append(order, other[nOther:]...)
	return limitSuspected(order, peersPerRound)
}

func limitSuspected(order []Peer, n int) []Peer {
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

// AnnouncePeers returns up to four peers to which a new ticket is announced
// immediately, those of the same availability zone first. Suspected peers are
// left out.
func (r *Roster) AnnouncePeers(rng *rand.Rand) []Peer {
	reachable := func(zone func(*Peer) bool) []Peer {
		peers := r.selectPeers(func(p *Peer) bool { return zone(p) && p.state() != Suspected })
		shuffle(rng, peers)
		return peers
	}
	own, other := reachable(r.sameZone), reachable(r.otherZone)
	// Half of the peers are in other zones, because the store watchers of those
	// zones may be down.
	nOwn := min(max(peersPerAnnouncement/2, peersPerAnnouncement-len(other)), len(own))
	nOther := min(peersPerAnnouncement-nOwn, len(other))
	return append(own[:nOwn:nOwn], other[:nOther]...)
}

func (r *Roster) sameZone(p *Peer) bool {
	return p.Region == r.self.Region && p.AvailabilityZone == r.self.AvailabilityZone
}

func (r *Roster) otherZone(p *Peer) bool {
	return p.Region == r.self.Region && p.AvailabilityZone != r.self.AvailabilityZone
}

func shuffle(rng *rand.Rand, peers []Peer) {
	rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}
