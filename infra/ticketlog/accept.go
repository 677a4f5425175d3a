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
	// acceptTries bounds how often a write without a reply is resolved.
	acceptTries = 5
	// acceptWait is the pause after the first try; it doubles each time.
	acceptWait = 100 * time.Millisecond
	nonceBytes = 16
)

// NewNonce returns a random nonce for a ticket.
func NewNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // It never fails; it ends the process instead.
	return hex.EncodeToString(b)
}

// Conflict says that another ticket took the number first. Nothing was
// written; the change has to be prepared again on the newest configuration.
type Conflict struct {
	// Winner is the ticket that took the number.
	Winner ticket.Ticket
	// Head is the newest ticket.
	Head uint64
	// Changes is what the winner and the tickets after it changed.
	Changes []ticket.Change
	// CommonObjects holds the objects that both sides touch.
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

// MissingBaseError says that the store does not hold the ticket that the new
// one is based on, for example because it is another store.
type MissingBaseError struct {
	Base uint64
}

// Error implements error.
func (e *MissingBaseError) Error() string {
	return fmt.Sprintf("ticketlog: the store does not hold the base ticket %d", e.Base)
}

// Accept writes t, which ticket.Prepare made for d, and returns nil once it is
// known to be accepted. A write whose reply is lost is repeated: the store
// creates the key at most once, and the nonce shows whose it is. The error is
// that of ticket.Apply, a *Conflict, a *MissingBaseError, or an error of the
// store. With *store.Ambiguous the ticket may have been accepted; with every
// other error it was not.
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
		if err := l.explain(ctx, d, t, kv); err != nil {
			return err
		}
	}
	if err := l.snapshotIfDue(ctx, next); err != nil && l.OnSnapshotError != nil {
		l.OnSnapshotError(err)
	}
	return nil
}

// create repeats the write while it is ambiguous. Once one write was, a later
// *store.Unavailable does not mean that the ticket was not accepted.
func (l *Log) create(ctx context.Context, t ticket.Ticket, b []byte) (store.KV, bool, error) {
	var requires []string
	if t.Base > 0 {
		requires = append(requires, ticketKey(t.Base))
	}
	var ambiguous *store.Ambiguous
	for i := range acceptTries {
		kv, created, err := l.st.CreateIfAbsent(ctx, ticketKey(t.Number), b, requires...)
		if err == nil {
			return kv, created, nil
		}
		if !errors.As(err, &ambiguous) && ambiguous == nil {
			return store.KV{}, false, err
		}
		if i == acceptTries-1 || !sleep(ctx, acceptWait<<i) {
			break
		}
	}
	return store.KV{}, false, ambiguous
}

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

// explain returns nil if the key holds t itself, else why it does not.
func (l *Log) explain(ctx context.Context, d *directory.Directory, t ticket.Ticket, kv store.KV) error {
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
	// The winner alone is named if the tickets after it cannot be read.
	ts, _, _ := l.after(ctx, winner.Number, 0)
	touched := t.AffectedObjects()
	head := d
	for _, w := range append([]ticket.Ticket{winner}, ts...) {
		next, err := ticket.Apply(head, w)
		if err != nil {
			break
		}
		head, c.Head = next, w.Number
		for _, o := range w.AffectedObjects() {
			if slices.Contains(touched, o) && !slices.Contains(c.CommonObjects, o) {
				c.CommonObjects = append(c.CommonObjects, o)
			}
		}
	}
	c.Changes = ticket.Diff(d, head)
	return c
}
