// Package ledger records, at an owner of targets, the jobs that one sender has
// sent and their replies. The sender regularly reports which replies it awaits,
// and both sides reconcile their state. A failed connection therefore neither
// loses a reply nor leaves a job running that is no longer awaited. The package
// has no I/O, clocks or goroutines.
package ledger

import (
	"slices"
	"time"
)

const (
	// replyGrace is the time that a reply may take on its own connection before
	// it is also returned by Reconcile.
	replyGrace = 100 * time.Millisecond
	// replyRetention is how long a reply is kept that the sender has not
	// confirmed. Senders reconcile four times a second.
	replyRetention = 5 * time.Second
)

// SenderState is the state of a sender's jobs, as the sender reports it.
type SenderState struct {
	// Number increases with each report. A report that arrives after a newer one
	// is ignored.
	Number uint64
	// LastID is the highest ID that the sender has assigned to a job.
	LastID uint64
	// Awaited lists the jobs whose replies the sender awaits. Overdue lists those
	// of them that should have arrived at the owner by now.
	Awaited, Overdue []uint64
}

// Result is the owner's answer to a SenderState.
type Result[R any] struct {
	// Replies holds the replies that the sender still awaits, by job ID.
	Replies map[uint64]R
	// Missing lists the overdue jobs that the owner has not received. If they
	// arrive later, they are refused.
	Missing []uint64
	// Orphans lists the running jobs that the sender no longer awaits.
	Orphans []uint64
}

// Ledger records the jobs of one sender, with replies of type R. It is not safe
// for concurrent use.
type Ledger[R any] struct {
	epoch   uint64
	running map[uint64]bool
	ended   map[uint64]endedJob[R]
	// lastState is the last report of the sender. refused holds the jobs that
	// were missing in this report or an earlier one and are still awaited.
	lastState SenderState
	refused   map[uint64]bool
}

type endedJob[R any] struct {
	reply R
	at    time.Time
}

// New returns an empty Ledger. The epoch should be a random number, so that it
// differs from that of an earlier Ledger for the same sender.
func New[R any](epoch uint64) *Ledger[R] {
	return &Ledger[R]{epoch: epoch, running: map[uint64]bool{}, ended: map[uint64]endedJob[R]{}, refused: map[uint64]bool{}}
}

// Epoch returns a number that changes whenever the Ledger drops a reply that the
// sender may still await. A job that was sent under the current epoch and that the
// Ledger has no record of has never arrived.
func (l *Ledger[R]) Epoch() uint64 { return l.epoch }

// Running returns the number of running jobs.
func (l *Ledger[R]) Running() int { return len(l.running) }

// Begin records a job that has arrived. It returns false if the job must not run,
// because it has already arrived, was reported as missing, or is no longer
// awaited by the sender.
func (l *Ledger[R]) Begin(id uint64) bool {
	_, done := l.ended[id]
	notAwaited := id <= l.lastState.LastID && !slices.Contains(l.lastState.Awaited, id)
	if l.running[id] || done || l.refused[id] || notAwaited {
		return false
	}
	l.running[id] = true
	return true
}

// End records the reply to a running job.
func (l *Ledger[R]) End(now time.Time, id uint64, reply R) {
	if l.running[id] {
		delete(l.running, id)
		l.ended[id] = endedJob[R]{reply, now}
	}
}

// Reconcile compares the sender's report with the recorded jobs. It drops the
// replies that the sender has received and returns the differences. The result is
// empty if the report is older than an earlier one.
func (l *Ledger[R]) Reconcile(now time.Time, state SenderState) Result[R] {
	out := Result[R]{Replies: map[uint64]R{}}
	if state.Number <= l.lastState.Number {
		return out
	}
	l.lastState = state
	awaited := map[uint64]bool{}
	for _, id := range state.Awaited {
		awaited[id] = true
	}
	for id := range l.running {
		if id <= state.LastID && !awaited[id] {
			out.Orphans = append(out.Orphans, id)
		}
	}
	slices.Sort(out.Orphans)
	for id, e := range l.ended {
		switch {
		case id <= state.LastID && !awaited[id]:
			delete(l.ended, id)
		case now.Sub(e.at) >= replyGrace:
			out.Replies[id] = e.reply
		}
	}
	refused := map[uint64]bool{}
	for _, id := range state.Awaited {
		_, done := l.ended[id]
		known := l.running[id] || done
		if l.refused[id] || !known && slices.Contains(state.Overdue, id) {
			refused[id] = true
			out.Missing = append(out.Missing, id)
		}
	}
	l.refused = refused
	return out
}

// Expire drops the replies that have been kept longer than replyRetention, and
// then changes the epoch.
func (l *Ledger[R]) Expire(now time.Time) {
	for id, e := range l.ended {
		if now.Sub(e.at) >= replyRetention {
			delete(l.ended, id)
			l.epoch++
		}
	}
}
