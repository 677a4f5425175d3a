package membership

import "time"

// MaxConfirmationAge is the maximum age of the last known confirmation by the
// store. If it is older, the instance polls the store itself.
const MaxConfirmationAge = 3 * time.Second

// ticketHead is the highest known ticket number and its confirmation.
type ticketHead struct {
	highest uint64
	// confirmed is the time of the latest known poll of the store by any
	// instance.
	confirmed time.Time
}

// ConfirmTicket records that the store, when it was polled at the given time,
// returned no ticket above the number.
func (r *Roster) ConfirmTicket(asked time.Time, number uint64) {
	r.head.highest = max(r.head.highest, number)
	if asked.After(r.head.confirmed) {
		r.head.confirmed = asked
	}
}

// RecordTicket records that the ticket with this number exists.
func (r *Roster) RecordTicket(number uint64) {
	r.head.highest = max(r.head.highest, number)
}

func (r *Roster) mergeTicketHead(now time.Time, m Message) {
	r.RecordTicket(max(m.Ticket, m.KnownTicket))
	if m.ConfirmationAge < 0 || m.ConfirmationAge >= neverConfirmed {
		return
	}
	r.ConfirmTicket(now.Add(-m.ConfirmationAge), m.KnownTicket)
}

// neverConfirmed is the confirmation age if no confirmation is known.
const neverConfirmed = 1000 * time.Hour

// HighestTicket returns the highest known ticket number.
func (r *Roster) HighestTicket() uint64 { return r.head.highest }

// ConfirmationAge returns the time since the last known confirmation by the
// store, or 1,000 hours if none is known.
func (r *Roster) ConfirmationAge(now time.Time) time.Duration {
	if r.head.confirmed.IsZero() {
		return neverConfirmed
	}
	return min(max(now.Sub(r.head.confirmed), 0), neverConfirmed)
}

// PollDue reports whether the instance must poll the store itself because the
// last known confirmation is older than MaxConfirmationAge.
func (r *Roster) PollDue(now time.Time) bool {
	return r.ConfirmationAge(now) > MaxConfirmationAge
}

// PeersAhead returns the peers whose ticket in force is higher than number.
// Peers that are not suspected come first.
func (r *Roster) PeersAhead(number uint64) []Peer {
	reachable := r.selectPeers(func(p *Peer) bool { return p.Ticket > number && p.state() != Suspected })
	suspected := r.selectPeers(func(p *Peer) bool { return p.Ticket > number && p.state() == Suspected })
	return append(reachable, suspected...)
}

// AddHandover merges a handover that a peer reported or that this instance
// accepted.
func (r *Roster) AddHandover(now time.Time, h Handover) {
	var nextIncarnation uint64
	if h.Successor == r.self.Address {
		nextIncarnation = r.self.Incarnation
	}
	for _, p := range r.peers {
		if p.Address == h.Successor {
			nextIncarnation = p.Incarnation
		}
	}
	if nextIncarnation == h.Incarnation {
		nextIncarnation = 0
	}
	r.handovers.add(now, h, nextIncarnation)
}

// RecordOwnHandover records that the successor now holds the sessions of this
// instance, including those that this instance had taken over itself.
func (r *Roster) RecordOwnHandover(now time.Time, successor string) {
	r.handovers.retarget(now, r.self.Address, r.self.Incarnation, successor)
	r.AddHandover(now, Handover{Incarnation: r.self.Incarnation, Successor: successor})
}

// FindSessionHolder returns the address of the instance that holds the sessions
// of an incarnation after one or more handovers. It returns false if no handover
// of the incarnation is known.
func (r *Roster) FindSessionHolder(now time.Time, incarnation uint64) (string, bool) {
	return r.handovers.find(now, incarnation)
}

// RecentHandovers returns the handovers for an exchange message: up to n of the
// last two minutes and, in one of every four seconds, one older handover.
func (r *Roster) RecentHandovers(now time.Time, n int) []Handover {
	return r.handovers.recent(now, n)
}
