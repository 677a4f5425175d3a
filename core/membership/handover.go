package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	movedKeep  = 24 * time.Hour
	movedLimit = 4096
	// movedFresh is how long every message carries a mapping. A message
	// reaches all instances of a region within a few rounds of a second.
	movedFresh = 2 * time.Minute
	// olderEvery is the interval, in seconds, of messages with an older one.
	olderEvery = 4
	// maxMoves bounds a lookup, so that contradictory mappings cannot loop.
	maxMoves = 64
)

// Handover says that the sessions of an incarnation were handed over.
type Handover struct {
	Incarnation uint64
	// Successor is the peer address of the instance that took them over.
	Successor string
	// Age is the time since the hand-over.
	Age time.Duration
}

type move struct {
	successor string
	// next is the successor's incarnation, 0 until it is known.
	next uint64
	at   time.Time
}

// moves is the table of moved incarnations.
type moves struct {
	entries map[uint64]move
}

// add merges a mapping. Of two successors the later hand-over wins; the same
// successor keeps its earliest time, so that repeated messages, whose age
// leaves out their travel time, never extend the retention.
func (m *moves) add(now time.Time, mv Handover, next uint64) {
	at := now.Add(-max(mv.Age, 0))
	if now.Sub(at) > movedKeep || mv.Incarnation == 0 || mv.Successor == "" {
		return
	}
	old, known := m.entries[mv.Incarnation]
	switch {
	case known && old.successor == mv.Successor:
		if at.After(old.at) {
			at = old.at
		}
		if old.next != 0 {
			next = old.next
		}
	case known && !at.After(old.at):
		return
	case !known && len(m.entries) >= movedLimit:
		m.makeRoom(now)
	}
	m.entries[mv.Incarnation] = move{successor: mv.Successor, next: next, at: at}
}

// makeRoom drops what has expired, or else the oldest entry.
func (m *moves) makeRoom(now time.Time) {
	var oldest uint64
	var at time.Time
	for inc, e := range m.entries {
		if now.Sub(e.at) > movedKeep {
			delete(m.entries, inc)
			continue
		}
		if oldest == 0 || e.at.Before(at) {
			oldest, at = inc, e.at
		}
	}
	if len(m.entries) >= movedLimit {
		delete(m.entries, oldest)
	}
}

// link notes the incarnation that runs at a successor's address.
func (m *moves) link(address string, incarnation uint64) {
	for inc, e := range m.entries {
		if e.successor == address && e.next == 0 && inc != incarnation {
			e.next = incarnation
			m.entries[inc] = e
		}
	}
}

// retarget redirects all mappings that end at the address.
func (m *moves) retarget(now time.Time, address string, incarnation uint64, successor string) {
	for inc, e := range m.entries {
		if e.successor == address || e.next == incarnation {
			m.entries[inc] = move{successor: successor, at: now}
		}
	}
}

// find follows the mappings of an incarnation to the last known address.
func (m *moves) find(now time.Time, incarnation uint64) (string, bool) {
	address, found := "", false
	for range maxMoves {
		e, ok := m.entries[incarnation]
		if !ok || now.Sub(e.at) > movedKeep {
			break
		}
		address, found = e.successor, true
		incarnation = e.next
	}
	return address, found
}

// newest returns up to n mappings of the last minutes, newest first. In one of
// four seconds it adds an older one, in turn, so that instances that started
// since learn them too: sending all of them with every message would exceed
// the 5 KB/s of an instance from about five mappings on.
func (m *moves) newest(now time.Time, n int) []Handover {
	var fresh, older []Handover
	for inc, e := range m.entries {
		mv := Handover{Incarnation: inc, Successor: e.successor, Age: now.Sub(e.at)}
		switch {
		case mv.Age <= movedFresh:
			fresh = append(fresh, mv)
		case mv.Age <= movedKeep:
			older = append(older, mv)
		}
	}
	slices.SortFunc(fresh, byAge)
	fresh = fresh[:min(n, len(fresh))]
	if second := now.Unix(); len(older) > 0 && second%olderEvery == 0 {
		slices.SortFunc(older, byAge)
		fresh = append(fresh, older[int(second/olderEvery)%len(older)])
	}
	return fresh
}

func byAge(a, b Handover) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Incarnation, b.Incarnation))
}
