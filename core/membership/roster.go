// Package membership holds the view that an entry instance has of the other
// entry instances: which of them are live, draining or suspected, which
// instances hold the sessions that were handed over, and when the store last
// confirmed the highest ticket.
package membership

import (
	"slices"
	"strings"
	"time"
)

// State is the state of an instance as observed by this instance.
type State int

// The states of an instance.
const (
	Live State = iota + 1
	// Draining means that the instance shuts down as planned.
	Draining
	// Suspected means that calls to the instance failed.
	Suspected
)

const (
	// suspectAfter is the number of consecutive failed calls after which an
	// instance is suspected. A single timeout is common when an instance is
	// briefly overloaded.
	suspectAfter = 2
	// keepSuspected and keepSilent are how long an instance is kept after the
	// list no longer contains it, with and without failed calls. keepSilent
	// covers the lag of the list: a message from an instance of another
	// availability zone arrives only every 12 s on average.
	keepSuspected = 10 * time.Second
	keepSilent    = 60 * time.Second
	// maxSuccessorSilence is the maximum age of the last direct message from a
	// preferred successor.
	maxSuccessorSilence = 10 * time.Second
)

// Identity identifies one run of one entry instance.
type Identity struct {
	Name             string
	Region           string
	AvailabilityZone string
	// Address is the IP:port at which the instance serves its peers.
	Address string
	// Incarnation identifies this run; it differs after a restart.
	Incarnation uint64
}

// ListedInstance is an entry instance in the instance list of the platform.
type ListedInstance struct {
	Name             string
	Region           string
	AvailabilityZone string
	Address          string
	// Leaving means that the platform reports the instance as leaving.
	Leaving bool
}

// Message is the content of an exchange message, or of the reply to one.
type Message struct {
	From     Identity
	Draining bool
	// Ticket is the number of the ticket in force at the sender. KnownTicket
	// is the highest ticket number that is known to the sender.
	Ticket      uint64
	KnownTicket uint64
	// ConfirmationAge is the time since the last confirmation by the store that
	// is known to the sender.
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
	// Listed means that the last instance list contains the peer.
	Listed bool

	draining bool
	// leaving is the state in the instance list. It applies only to
	// leavingIncarnation, because the list lags behind a restart.
	leaving             bool
	leavingIncarnation  uint64
	previousIncarnation uint64
	failures            int
	refused             bool
	failedAt            time.Time
	listedAt            time.Time
}

func (p *Peer) state() State {
	switch {
	case p.draining, p.leaving && p.leavingIncarnation == p.Incarnation:
		return Draining
	case p.refused, p.failures >= suspectAfter:
		return Suspected
	default:
		return Live
	}
}

func (p *Peer) expired(now time.Time) bool {
	if p.Listed {
		return false
	}
	if p.state() == Suspected && now.Sub(p.failedAt) > keepSuspected && p.failedAt.After(p.LastHeard) {
		return true
	}
	lastSeen := p.listedAt
	if p.LastHeard.After(lastSeen) {
		lastSeen = p.LastHeard
	}
	return now.Sub(lastSeen) > keepSilent
}

// Roster is the view that one entry instance has of the others. It is not safe
// for concurrent use.
type Roster struct {
	self      Identity
	draining  bool
	peers     map[string]*Peer
	handovers handoverTable
	head      ticketHead
}

// New returns a Roster without peers for the instance self.
func New(self Identity) *Roster {
	return &Roster{
		self:      self,
		peers:     make(map[string]*Peer),
		handovers: handoverTable{entries: make(map[uint64]handoverEntry)},
	}
}

// Self returns the identity of this instance.
func (r *Roster) Self() Identity { return r.self }

// SetDraining records that this instance has begun its planned shutdown.
func (r *Roster) SetDraining() { r.draining = true }

// MergeList merges the entry instances of the instance list. It ignores an empty
// list. An instance that the list no longer contains is kept until calls to it
// fail or no message from it arrives for the retention period.
func (r *Roster) MergeList(now time.Time, all []ListedInstance) {
	if len(all) == 0 {
		return
	}
	for _, p := range r.peers {
		p.Listed = false
	}
	for _, l := range all {
		if l.Name != r.self.Name {
			r.mergeListed(now, l)
		}
	}
	r.removeExpired(now)
}

func (r *Roster) mergeListed(now time.Time, l ListedInstance) {
	p := r.peer(l.Name)
	p.Listed, p.listedAt = true, now
	p.Region, p.AvailabilityZone = l.Region, l.AvailabilityZone
	// The list lags behind, so the address from a direct message is newer.
	if p.LastHeard.IsZero() || p.state() == Suspected {
		p.Address = l.Address
	}
	if l.Leaving && !p.leaving {
		p.leavingIncarnation = p.Incarnation
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

func (r *Roster) removeExpired(now time.Time) {
	for name, p := range r.peers {
		if p.expired(now) {
			delete(r.peers, name)
		}
	}
}

// MergeMessage merges an exchange message or the reply to one. It returns false
// for a late message from an earlier incarnation of its sender.
func (r *Roster) MergeMessage(now time.Time, m Message) bool {
	r.mergeTicketHead(now, m)
	for _, h := range m.Handovers {
		r.AddHandover(now, h)
	}
	if m.From.Name == r.self.Name {
		return m.From.Incarnation == r.self.Incarnation
	}
	p := r.peer(m.From.Name)
	if m.From.Incarnation == p.previousIncarnation && p.previousIncarnation != 0 {
		return false
	}
	if p.Incarnation != m.From.Incarnation {
		r.startIncarnation(p, m.From)
	}
	p.Identity = m.From
	p.LastHeard = now
	p.Ticket = max(p.Ticket, m.Ticket)
	p.draining = p.draining || m.Draining
	p.failures, p.refused = 0, false
	return true
}

// startIncarnation resets the record of a peer that has a new incarnation.
func (r *Roster) startIncarnation(p *Peer, id Identity) {
	if p.Incarnation == 0 && p.leaving {
		p.leavingIncarnation = id.Incarnation
	}
	p.previousIncarnation = p.Incarnation
	p.draining = false
	p.Ticket = 0
	r.handovers.setSuccessorIncarnation(id.Address, id.Incarnation)
}

// RecordFailure records a failed call to an instance. After a refused connection
// the instance is suspected immediately, after a timeout only if the next call
// fails too. The next message from the instance ends the suspicion.
func (r *Roster) RecordFailure(now time.Time, name string, refused bool) {
	p, ok := r.peers[name]
	if !ok {
		return
	}
	p.failures++
	p.refused = p.refused || refused
	p.failedAt = now
	r.removeExpired(now)
}

// Peers returns copies of all known peers, sorted by name.
func (r *Roster) Peers() []Peer {
	return r.selectPeers(func(*Peer) bool { return true })
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

// ByIncarnation returns a copy of the peer with this incarnation.
func (r *Roster) ByIncarnation(incarnation uint64) (Peer, bool) {
	for _, p := range r.peers {
		if incarnation != 0 && p.Incarnation == incarnation {
			return r.Peer(p.Name)
		}
	}
	return Peer{}, false
}

func (r *Roster) selectPeers(match func(*Peer) bool) []Peer {
	var out []Peer
	for _, p := range r.peers {
		if !match(p) {
			continue
		}
		c := *p
		c.State = p.state()
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}
