// Package membership keeps what an entry instance knows of the others: who is
// live, draining or suspected, where moved sessions went, and how recently
// the store confirmed the ticket in force.
package membership

import (
	"slices"
	"strings"
	"time"
)

// State is an instance's state as far as this instance can tell.
type State int

// The states of an instance.
const (
	Live State = iota + 1
	Draining
	Suspected
)

const (
	// suspectAfter failed calls in a row make an instance suspected; a single
	// time-out is common when an instance is briefly overloaded.
	suspectAfter = 2
	// forgetSuspected and forgetSilent are how long an instance is kept that
	// the list no longer names, with and without failed calls. The second
	// covers the list's lag: an instance of another availability zone is
	// heard of only every 12 s on average.
	forgetSuspected = 10 * time.Second
	forgetSilent    = 60 * time.Second
	// recentlyHeard is how fresh direct evidence of a successor should be.
	recentlyHeard = 10 * time.Second
)

// Identity names one run of one entry instance.
type Identity struct {
	Name             string
	Region           string
	AvailabilityZone string
	// Address is the IP:port on which the instance serves its peers.
	Address     string
	Incarnation uint64
}

// ListedInstance is one entry instance of the instance list.
type ListedInstance struct {
	Name             string
	Region           string
	AvailabilityZone string
	Address          string
	Leaving          bool
}

// Message is what an exchange message, or the reply to it, says of its sender.
type Message struct {
	From     Identity
	Draining bool
	// Ticket is the number in force at the sender, KnownTicket the highest
	// that it has heard of.
	Ticket          uint64
	KnownTicket     uint64
	ConfirmationAge time.Duration
	Handovers       []Handover
}

// Peer is another entry instance.
type Peer struct {
	Identity
	State  State
	Ticket uint64
	// LastHeard is the time of the last direct message, zero if there was none.
	LastHeard time.Time
	// Listed says that the last instance list names the peer.
	Listed bool

	draining   bool
	leaving    bool
	leavingInc uint64
	previous   uint64
	failures   int
	refused    bool
	failedAt   time.Time
	listedAt   time.Time
}

func (p *Peer) state() State {
	switch {
	case p.draining, p.leaving && p.leavingInc == p.Incarnation:
		return Draining
	case p.refused, p.failures >= suspectAfter:
		return Suspected
	default:
		return Live
	}
}

func (p *Peer) forgotten(now time.Time) bool {
	if p.Listed {
		return false
	}
	if p.state() == Suspected && now.Sub(p.failedAt) > forgetSuspected && p.failedAt.After(p.LastHeard) {
		return true
	}
	seen := p.listedAt
	if p.LastHeard.After(seen) {
		seen = p.LastHeard
	}
	return now.Sub(seen) > forgetSilent
}

// Roster is one entry instance's view of the others. It is not safe for
// concurrent use.
type Roster struct {
	self     Identity
	draining bool
	peers    map[string]*Peer
	moved    moves
	head     head
}

// New returns the Roster of an instance that knows no other yet.
func New(self Identity) *Roster {
	return &Roster{
		self:  self,
		peers: make(map[string]*Peer),
		moved: moves{entries: make(map[uint64]move)},
	}
}

// Self returns the instance's own identity.
func (r *Roster) Self() Identity { return r.self }

// SetDraining notes that this instance itself has begun its planned stop.
func (r *Roster) SetDraining() { r.draining = true }

// MergeList merges the instance list's entry instances. An empty list is ignored,
// and an instance that the list no longer names stays until direct evidence
// agrees or the retention has passed.
func (r *Roster) MergeList(now time.Time, all []ListedInstance) {
	if len(all) == 0 {
		return
	}
	for _, p := range r.peers {
		p.Listed = false
	}
	for _, l := range all {
		if l.Name != r.self.Name {
			r.list(now, l)
		}
	}
	r.forget(now)
}

func (r *Roster) list(now time.Time, l ListedInstance) {
	p := r.peer(l.Name)
	p.Listed, p.listedAt = true, now
	p.Region, p.AvailabilityZone = l.Region, l.AvailabilityZone
	// A direct message is newer than the list, which lags.
	if p.LastHeard.IsZero() || p.state() == Suspected {
		p.Address = l.Address
	}
	if l.Leaving && !p.leaving {
		p.leavingInc = p.Incarnation
	}
	p.leaving = l.Leaving
}

func (r *Roster) peer(name string) *Peer {
	p, ok := r.peers[name]
	if !ok {
		p = &Peer{Identity: Identity{Name: name}}
		r.peers[name] = p
	}
	return p
}

func (r *Roster) forget(now time.Time) {
	for name, p := range r.peers {
		if p.forgotten(now) {
			delete(r.peers, name)
		}
	}
}

// MergeMessage merges an exchange message or the reply to one. It returns false for a
// message of an earlier incarnation that arrived late.
func (r *Roster) MergeMessage(now time.Time, m Message) bool {
	r.mergeHead(now, m)
	for _, mv := range m.Handovers {
		r.AddHandover(now, mv)
	}
	if m.From.Name == r.self.Name {
		return m.From.Incarnation == r.self.Incarnation
	}
	p := r.peer(m.From.Name)
	if m.From.Incarnation == p.previous && p.previous != 0 {
		return false
	}
	if p.Incarnation != m.From.Incarnation {
		r.replace(p, m.From)
	}
	p.Identity = m.From
	p.LastHeard = now
	p.Ticket = max(p.Ticket, m.Ticket)
	p.draining = p.draining || m.Draining
	p.failures, p.refused = 0, false
	return true
}

// replace starts the record of a new incarnation.
func (r *Roster) replace(p *Peer, id Identity) {
	if p.Incarnation == 0 && p.leaving {
		p.leavingInc = id.Incarnation
	}
	p.previous = p.Incarnation
	p.draining = false
	p.Ticket = 0
	r.moved.link(id.Address, id.Incarnation)
}

// RecordFailure notes a failed call to an instance. A refused connection makes it
// suspected at once, a time-out only when the next call fails too. The next
// message heard from it ends the suspicion.
func (r *Roster) RecordFailure(now time.Time, name string, refused bool) {
	p, ok := r.peers[name]
	if !ok {
		return
	}
	p.failures++
	p.refused = p.refused || refused
	p.failedAt = now
	r.forget(now)
}

// Peers returns copies of all known peers, ordered by name.
func (r *Roster) Peers() []Peer {
	return r.filter(func(*Peer) bool { return true })
}

// Peer returns a copy of the named peer.
func (r *Roster) Peer(name string) (Peer, bool) {
	p, ok := r.peers[name]
	if !ok {
		return Peer{}, false
	}
	c := *p
	c.State = p.state()
	return c, true
}

// ByIncarnation returns the peer that runs the incarnation.
func (r *Roster) ByIncarnation(incarnation uint64) (Peer, bool) {
	for _, p := range r.peers {
		if incarnation != 0 && p.Incarnation == incarnation {
			return r.Peer(p.Name)
		}
	}
	return Peer{}, false
}

func (r *Roster) filter(keep func(*Peer) bool) []Peer {
	var out []Peer
	for _, p := range r.peers {
		if !keep(p) {
			continue
		}
		c := *p
		c.State = p.state()
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}
