package ticketlog

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/infra/store"
)

const (
	// maxCreateAttempts is the maximum number of attempts to write a ticket
	// while the outcome of the write is ambiguous.
	maxCreateAttempts = 5
	// firstBackoff is the pause after the first attempt. It doubles with each
	// further attempt.
	firstBackoff = 100 * time.Millisecond
	nonceBytes   = 16
)

// NewNonce returns a random nonce for a ticket.
func NewNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // Read never returns an error; it crashes the process instead.
	return hex.EncodeToString(b)
}

// Conflict reports that another ticket with the same number was accepted first.
// Nothing was written. The change has to be prepared again, based on the newest
// configuration.
type Conflict struct {
	// Winner is the accepted ticket with the number.
	Winner ticket.Ticket
	// Head is the number of the newest ticket that could be read and applied.
	Head uint64
	// Changes lists what Winner and the tickets after it changed.
	Changes []ticket.Change
	// CommonObjects lists the objects that are affected both by the own ticket
	// and by Winner or a ticket after it.
	CommonObjects []ticket.Object
}

// Error implements error.
func (e *Conflict) Error() string {
	lines := []string{fmt.Sprintf("ticketlog: ticket %d was taken by %s (%s); the newest is %d",
		e.Winner.Number, e.Winner.Author, e.Winner.Reason, e.Head)}
	for _, c := range e.Changes {
		lines = append(lines, "  "+c.String())
	}
	if len(e.CommonObjects) == 0 {
		return strings.Join(append(lines, "  none of it touches the same objects"), "\n")
	}
	for _, o := range e.CommonObjects {
		lines = append(lines, "  both touch "+o.String())
	}
	return strings.Join(lines, "\n")
}

// MissingBaseError reports that the store does not hold the ticket on which the
// new one is based, for example because the ticket was prepared for another
// store.
type MissingBaseError struct {
	// Base is the number of the missing ticket.
	Base uint64
}

// Error implements error.
func (e *MissingBaseError) Error() string {
	return fmt.Sprintf("ticketlog: the store does not hold the base ticket %d", e.Base)
}

// Accept writes t, which ticket.Prepare created for d, to the store. It returns
// nil if t is certainly accepted. A write whose reply is lost is repeated: the
// store creates the key at most once, and the nonce shows which ticket the key
// holds. The error is that of ticket.Apply, a *Conflict, a *MissingBaseError, or
// an error of the store. After a *store.Ambiguous error the ticket may have been
// accepted; after any other error it was not.
func (l *Log) Accept(ctx context.Context, d *directory.Directory, t ticket.Ticket) error {
	next, err := ticket.Apply(d, t)
	if err != nil {
		return err
	}
	b, err := ticket.Encode(t)
	if err != nil {
		return err
	}
	kv, created, err := l.create(ctx, t, b)
	if err != nil {
		return err
	}
	if !created {
		if err := l.checkExisting(ctx, d, t, kv); err != nil {
			return err
		}
	}
	if err := l.snapshotIfDue(ctx, next); err != nil && l.OnSnapshotError != nil {
		l.OnSnapshotError(err)
	}
	return nil
}

// create writes the ticket and repeats the write while its outcome is
// ambiguous. After an ambiguous attempt, any later error is treated as
// ambiguous too: it does not show that the first attempt had no effect.
func (l *Log) create(ctx context.Context, t ticket.Ticket, b []byte) (store.KV, bool, error) {
	var requires []string
	if t.Base > 0 {
		requires = append(requires, ticketKey(t.Base))
	}
	var ambiguous *store.Ambiguous
	for i := range maxCreateAttempts {
		kv, created, err := l.st.CreateIfAbsent(ctx, ticketKey(t.Number), b, requires...)
		if err == nil {
			return kv, created, nil
		}
		if !errors.As(err, &ambiguous) && ambiguous == nil {
			return store.KV{}, false, err
		}
		if i == maxCreateAttempts-1 || !sleep(ctx, firstBackoff<<i) {
			break
		}
	}
	return store.KV{}, false, ambiguous
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkExisting returns nil if kv, the existing entry under the number of t,
// holds t itself. Otherwise it returns a *MissingBaseError, a *Conflict or a
// *CorruptError.
func (l *Log) checkExisting(ctx context.Context, d *directory.Directory, t ticket.Ticket, kv store.KV) error {
	if kv.Key == "" {
		return &MissingBaseError{t.Base}
	}
	winner, err := decodeTicket(kv)
	if err != nil {
		return err
	}
	if winner.Nonce == t.Nonce {
		return nil
	}
	c := &Conflict{Winner: winner, Head: winner.Number}
	// If the tickets after the winner cannot be read, the conflict covers only
	// the winner.
	ts, _, _ := l.readTickets(ctx, winner.Number, 0)
	affected := t.AffectedObjects()
	head := d
	for _, w := range append([]ticket.Ticket{winner}, ts...) {
		next, err := ticket.Apply(head, w)
		if err != nil {
			break
		}
		head, c.Head = next, w.Number
		for _, o := range w.AffectedObjects() {
			if slices.Contains(affected, o) && !slices.Contains(c.CommonObjects, o) {
				c.CommonObjects = append(c.CommonObjects, o)
			}
		}
	}
	c.Changes = ticket.Diff(d, head)
	return c
}
