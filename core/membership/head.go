package membership

import "time"

// MaxConfirmationAge is the age of the last known confirmation by the store
// beyond which an instance polls the store itself.
const MaxConfirmationAge = 3 * time.Second

// head is the highest known ticket and when the store last confirmed it.
type head struct {
	known     uint64
	confirmed time.Time
}

// ConfirmTicket notes that the store, asked at the given time, named no ticket
// above the number.
func (r *Roster) ConfirmTicket(asked time.Time, number uint64) {
	r.head.known = max(r.head.known, number)
	if asked.After(r.head.confirmed) {
		r.head.confirmed = asked
	}
}

// RecordTicket notes that a ticket exists.
func (r *Roster) RecordTicket(number uint64) {
	r.head.known = max(r.head.known, number)
}

func (r *Roster) mergeHead(now time.Time, m Message) {
	r.RecordTicket(max(m.Ticket, m.KnownTicket))
	if m.ConfirmationAge < 0 || m.ConfirmationAge >= neverConfirmed {
		return
	}
	r.ConfirmTicket(now.Add(-m.ConfirmationAge), m.KnownTicket)
}

// neverConfirmed is the age where no confirmation is known.
const neverConfirmed = 1000 * time.Hour

// HighestTicket returns the highest ticket number that is known to exist.
func (r *Roster) HighestTicket() uint64 { return r.head.known }

// ConfirmationAge returns the time since the store last confirmed the head,
// as far as is known, or 1,000 hours if it never did.
func (r *Roster) ConfirmationAge(now time.Time) time.Duration {
	if r.head.confirmed.IsZero() {
		return neverConfirmed
	}
	return min(max(now.Sub(r.head.confirmed), 0), neverConfirmed)
}

// PollDue says whether the instance must ask the store itself.
func (r *Roster) PollDue(now time.Time) bool {
	return r.ConfirmationAge(now) > MaxConfirmationAge
}

// PeersAhead returns the peers that have a higher ticket than the number in force,
// those that are not suspected first.
func (r *Roster) PeersAhead(number uint64) []Peer {
	good := r.filter(func(p *Peer) bool { return p.Ticket > number && p.state() != Suspected })
	bad := r.filter(func(p *Peer) bool { return p.Ticket > number && p.state() == Suspected })
	return append(good, bad...)
}

// AddHandover merges a mapping of a moved incarnation.
func (r *Roster) AddHandover(now time.Time, m Handover) {
	var next uint64
	if m.Successor == r.self.Address {
		next = r.self.Incarnation
	}
	for _, p := range r.peers {
		if p.Address == m.Successor {
			next = p.Incarnation
		}
	}
	if next == m.Incarnation {
		next = 0
	}
	r.moved.add(now, m, next)
}

// RecordOwnHandover notes that this instance's sessions, with those that it had taken
// over itself, are now at the successor.
func (r *Roster) RecordOwnHandover(now time.Time, successor string) {
	r.moved.retarget(now, r.self.Address, r.self.Incarnation, successor)
	r.AddHandover(now, Handover{Incarnation: r.self.Incarnation, Successor: successor})
}

// FindSessionHolder returns the address of the instance that holds the sessions of a
// moved incarnation, followed over any number of hand-overs.
func (r *Roster) FindSessionHolder(now time.Time, incarnation uint64) (string, bool) {
	return r.moved.find(now, incarnation)
}

// RecentHandovers returns the mappings for an exchange message: up to n of the last
// minutes, and now and then an older one.
func (r *Roster) RecentHandovers(now time.Time, n int) []Handover {
	return r.moved.newest(now, n)
}
