package ticketlog

import (
	"context"
	"errors"

	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/infra/store"
)

// watchBuffer is the number of store events held while a ticket is taken.
const watchBuffer = 16

// Watch sends every ticket above after to ch, in order and without a gap,
// until ctx ends or the store fails. It always returns an error. A compacted
// store is read again and does not end the watch. The watch itself is not a
// confirmation by the store: see store.Client.Watch.
func (l *Log) Watch(ctx context.Context, after uint64, ch chan<- ticket.Ticket) error {
	for {
		ts, revision, err := l.after(ctx, after, 0)
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
		after, err = l.follow(ctx, after, revision+1, ch)
		var compacted *store.Compacted
		if err != nil && !errors.As(err, &compacted) {
			return err
		}
	}
}

// follow watches from a revision on. It returns the number of the last ticket
// sent, and no error where the tickets have to be read again.
func (l *Log) follow(ctx context.Context, after uint64, revision int64, ch chan<- ticket.Ticket) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan store.Event, watchBuffer)
	done := make(chan error, 1)
	go func() {
		err := l.st.Watch(ctx, ticketPrefix, revision, events)
		close(events)
		done <- err
	}()
	var err error
	for ev := range events {
		var again bool
		if after, again, err = l.take(ctx, after, ev, ch); again || err != nil {
			break
		}
	}
	cancel()
	for range events { // Lets the watch end.
	}
	watchErr := <-done
	if err != nil {
		return after, err
	}
	if errors.Is(watchErr, context.Canceled) {
		return after, nil // Ended here, or ctx ended, which the caller sees.
	}
	return after, watchErr
}

// take sends the event's ticket if it is the next one. again says that one is
// missing in between.
func (l *Log) take(ctx context.Context, after uint64, ev store.Event, ch chan<- ticket.Ticket) (uint64, bool, error) {
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
