// Package ledger keeps, at an owner of targets, what became of the jobs of one
// sender. The sender compares it with the replies that it awaits, so that a
// connection that goes silent neither loses an answer nor leaves a job running
// for which nobody waits. It has no I/O, clocks or goroutines.
package ledger

import (
	"slices"
	"time"
)

const (
	// replyTime is how long the reply to an ended job may take on its own
	// connection before it is sent by another way as well.
	replyTime = 100 * time.Millisecond
	// keepTime is how long a reply is kept that the sender has not confirmed.
	// Senders compare four times a second.
	keepTime = 5 * time.Second
)

// SenderState is what the sender says of its jobs.
type SenderState struct {
	// Number rises with each comparison; older ones that arrive late are
	// ignored.
	Number uint64
	// LastID is the highest id that the sender has given to a job.
	LastID uint64
	// Awaited are the jobs whose replies the sender awaits, and Overdue those
	// of them that must have arrived by now.
	Awaited, Overdue []uint64
}

// Result is what the owner says to a Comparison.
type Result[R any] struct {
	// Replies holds the replies that the sender still awaits.
	Replies map[uint64]R
	// Missing are overdue jobs that the owner does not know. Those that arrive
	// after all are refused.
	Missing []uint64
	// Orphans are running jobs that the sender does not await any more.
	Orphans []uint64
}

// Ledger is the record of one sender, with replies of type R. It is used by
// one goroutine.
type Ledger[R any] struct {
	epoch   uint64
	running map[uint64]bool
	ended   map[uint64]ended[R]
	// compared is the last comparison, and refused the jobs that were missing
	// in it or earlier.
	compared SenderState
	refused  map[uint64]bool
}

type ended[R any] struct {
	reply R
	at    time.Time
}

// New returns an empty Ledger. The epoch is a random number.
func New[R any](epoch uint64) *Ledger[R] {
	return &Ledger[R]{epoch: epoch, running: map[uint64]bool{}, ended: map[uint64]ended[R]{}, refused: map[uint64]bool{}}
}

// Epoch changes whenever the Ledger has forgotten a job that the sender may
// still await. A job sent under the present epoch that the Ledger does not know
// has never arrived.
func (l *Ledger[R]) Epoch() uint64 { return l.epoch }

// Running is the number of running jobs.
func (l *Ledger[R]) Running() int { return len(l.running) }

// Begin records a job that has arrived. It returns false if the job must not
// run, because the sender does not await it any more.
func (l *Ledger[R]) Begin(id uint64) bool {
	_, done := l.ended[id]
	given := id <= l.compared.LastID && !slices.Contains(l.compared.Awaited, id)
	if l.running[id] || done || l.refused[id] || given {
		return false
	}
	l.running[id] = true
	return true
}

// End records the reply to a job.
func (l *Ledger[R]) End(now time.Time, id uint64, reply R) {
	if l.running[id] {
		delete(l.running, id)
		l.ended[id] = ended[R]{reply, now}
	}
}

// Reconcile takes in what the sender awaits.
func (l *Ledger[R]) Reconcile(now time.Time, c SenderState) Result[R] {
	out := Result[R]{Replies: map[uint64]R{}}
	if c.Number <= l.compared.Number {
		return out
	}
	l.compared = c
	for id := range l.running {
		if id <= c.LastID && !slices.Contains(c.Awaited, id) {
			out.Orphans = append(out.Orphans, id)
		}
	}
	slices.Sort(out.Orphans)
	for id, e := range l.ended {
		switch {
		case id <= c.LastID && !slices.Contains(c.Awaited, id):
			delete(l.ended, id)
		case now.Sub(e.at) >= replyTime:
			out.Replies[id] = e.reply
		}
	}
	refused := map[uint64]bool{}
	for _, id := range c.Awaited {
		_, done := l.ended[id]
		known := l.running[id] || done
		if l.refused[id] || !known && slices.Contains(c.Overdue, id) {
			refused[id] = true
			out.Missing = append(out.Missing, id)
		}
	}
	l.refused = refused
	return out
}

// Expire forgets replies that the sender has not confirmed for long.
func (l *Ledger[R]) Expire(now time.Time) {
	for id, e := range l.ended {
		if now.Sub(e.at) >= keepTime {
			delete(l.ended, id)
			l.epoch++
		}
	}
}
