package ticketlog

import (
	"context"
	"errors"

	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/infra/store"
)

// eventBuffer is the number of store events that are buffered while a ticket is
// sent.
const eventBuffer = 16

// Watch sends every ticket with a number above after to ch, in order and
// without a gap, until ctx is done or the store fails. It always returns an
// error. If the store has compacted the revision of the watch, Watch reads the
// tickets again and continues. An open watch does not show that the store is
// reachable: see store.Client.Watch.
func (l *Log) Watch(ctx context.Context, after uint64, ch chan<- ticket.Ticket) error {
	for {
		ts, revision, err := l.readTickets(ctx, after, 0)
		for _, t := range ts {
			if sendErr := send(ctx, ch, t); sendErr != nil {
				return sendErr
			}
			after = t.Number
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		after, err = l.watchFrom(ctx, after, revision+1, ch)
		var compacted *store.Compacted
		if err != nil && !errors.As(err, &compacted) {
			return err
		}
	}
}

// watchFrom watches the tickets from a revision on and sends them to ch. It
// returns the number of the last ticket sent. It returns no error if the
// tickets have to be read again.
func (l *Log) watchFrom(ctx context.Context, after uint64, revision int64, ch chan<- ticket.Ticket) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan store.Event, eventBuffer)
	done := make(chan error, 1)
	go func() {
		err := l.st.Watch(ctx, ticketPrefix, revision, events)
		close(events)
		done <- err
	}()
	var err error
	for ev := range events {
		var gap bool
		if after, gap, err = l.sendIfNext(ctx, after, ev, ch); gap || err != nil {
			break
		}
	}
	cancel()
	for range events { // Unblocks the watch, so that it can return.
	}
	watchErr := <-done
	if err != nil {
		return after, err
	}
	if errors.Is(watchErr, context.Canceled) {
		return after, nil // Cancelled above, or by the caller's ctx, which the caller checks.
	}
	return after, watchErr
}

// sendIfNext sends the event's ticket to ch if its number is after+1. It returns
// the number of the last ticket sent, and whether a ticket is missing before the
// event's ticket.
func (l *Log) sendIfNext(ctx context.Context, after uint64, ev store.Event, ch chan<- ticket.Ticket) (uint64, bool, error) {
	if ev.Deleted {
		return after, false, nil
	}
	t, err := decodeTicket(ev.KV)
	switch {
	case err != nil:
		return after, false, err
	case t.Number <= after:
		return after, false, nil
	case t.Number > after+1:
		return after, true, nil
	}
	if err := send(ctx, ch, t); err != nil {
		return after, false, err
	}
	return t.Number, false, nil
}

func send(ctx context.Context, ch chan<- ticket.Ticket, t ticket.Ticket) error {
	select {
	case ch <- t:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
