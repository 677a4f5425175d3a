package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	handoverRetention = 24 * time.Hour
	maxHandovers      = 4096
	// recentHandoverAge is how long every message contains a handover. A
	// message reaches all instances of a region within a few exchange rounds
	// of one second.
	recentHandoverAge = 2 * time.Minute
	// olderHandoverInterval is the interval, in seconds, at which messages
	// contain an older handover.
	olderHandoverInterval = 4
	// maxHandoverChain limits a lookup, so that contradictory handovers cannot
	// cause an endless loop.
	maxHandoverChain = 64
)

// Handover records that the sessions of an incarnation were handed over.
type Handover struct {
	Incarnation uint64
	// Successor is the peer address of the instance that accepted them.
	Successor string
	// Age is the time since the handover.
	Age time.Duration
}

type handoverEntry struct {
	successor string
	// nextIncarnation is the incarnation of the successor, or 0 if it is not
	// known yet.
	nextIncarnation uint64
	at              time.Time
}

// handoverTable holds the known handovers, keyed by the incarnation whose
// sessions were handed over.
type handoverTable struct {
	entries map[uint64]handoverEntry
}

// add merges a handover. If the successors differ, the later handover replaces
// the earlier one. If the successor is the same, the earliest time is kept: the
// age in a message does not include the transmission time, and repeated
// messages must not extend the retention.
func (t *handoverTable) add(now time.Time, h Handover, nextIncarnation uint64) {
	at := now.Add(-max(h.Age, 0))
	if now.Sub(at) > handoverRetention || h.Incarnation == 0 || h.Successor == "" {
		return
	}
	old, known := t.entries[h.Incarnation]
	switch {
	case known && old.successor == h.Successor:
		if at.After(old.at) {
			at = old.at
		}
		if old.nextIncarnation != 0 {
			nextIncarnation = old.nextIncarnation
		}
	case known && !at.After(old.at):
		return
	case !known && len(t.entries) >= maxHandovers:
		t.evict(now)
	}
	t.entries[h.Incarnation] = handoverEntry{successor: h.Successor, nextIncarnation: nextIncarnation, at: at}
}

// evict removes all expired entries. If the table is still full, it removes the
// oldest entry.
func (t *handoverTable) evict(now time.Time) {
	var oldest uint64
	var at time.Time
	for inc, e := range t.entries {
		if now.Sub(e.at) > handoverRetention {
			delete(t.entries, inc)
			continue
		}
		if oldest == 0 || e.at.Before(at) {
			oldest, at = inc, e.at
		}
	}
	if len(t.entries) >= maxHandovers {
		delete(t.entries, oldest)
	}
}

// setSuccessorIncarnation sets the incarnation of the successor in all entries
// whose successor has this address and whose incarnation is not known yet.
func (t *handoverTable) setSuccessorIncarnation(address string, incarnation uint64) {
	for inc, e := range t.entries {
		if e.successor == address && e.nextIncarnation == 0 && inc != incarnation {
			e.nextIncarnation = incarnation
			t.entries[inc] = e
		}
	}
}

// retarget replaces the successor of all entries that lead to the instance with
// this address or incarnation.
func (t *handoverTable) retarget(now time.Time, address string, incarnation uint64, successor string) {
	for inc, e := range t.entries {
		if e.successor == address || e.nextIncarnation == incarnation {
			t.entries[inc] = handoverEntry{successor: successor, at: now}
		}
	}
}

// find follows the handovers of an incarnation and returns the address of the
// last known successor. It returns false if no handover is known.
func (t *handoverTable) find(now time.Time, incarnation uint64) (string, bool) {
	address, found := "", false
	for range maxHandoverChain {
		e, ok := t.entries[incarnation]
		if !ok || now.Sub(e.at) > handoverRetention {
			break
		}
		address, found = e.successor, true
		incarnation = e.nextIncarnation
	}
	return address, found
}

// recent returns up to n handovers of the last two minutes, newest first. In one
// of every four seconds it adds one older handover, in rotation, so that
// instances that started later receive it too. Sending all older handovers with
// every message would exceed the limit of 5 KB/s per instance at about five
// handovers.
func (t *handoverTable) recent(now time.Time, n int) []Handover {
	var recent, older []Handover
	for inc, e := range t.entries {
		h := Handover{Incarnation: inc, Successor: e.successor, Age: now.Sub(e.at)}
		switch {
		case h.Age <= recentHandoverAge:
			recent = append(recent, h)
		case h.Age <= handoverRetention:
			older = append(older, h)
		}
	}
	slices.SortFunc(recent, byAge)
	recent = recent[:min(n, len(recent))]
	if second := now.Unix(); len(older) > 0 && second%olderHandoverInterval == 0 {
		slices.SortFunc(older, byAge)
		recent = append(recent, older[int(second/olderHandoverInterval)%len(older)])
	}
	return recent
}

func byAge(a, b Handover) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Incarnation, b.Incarnation))
}
