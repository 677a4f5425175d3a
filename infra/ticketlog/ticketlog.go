// Package ticketlog reads and accepts change tickets through the platform's
// store.
package ticketlog

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/infra/store"
)

const (
	ticketPrefix   = "marigoldfront/ticket/"
	snapshotPrefix = "marigoldfront/snapshot/"
	// pageSize is the number of tickets read by one call. 16 tickets of 1 MB
	// fit the largest reply that the store client accepts.
	pageSize = 16
)

// Log is the sequence of accepted tickets. It is safe for concurrent use.
type Log struct {
	st *store.Client
	// OnSnapshotError, if set before the first use, is told why a snapshot was
	// not written. The ticket is accepted all the same, and the next writer
	// tries again.
	OnSnapshotError func(error)
}

// New returns the log that st holds.
func New(st *store.Client) *Log {
	return &Log{st: st}
}

// CorruptError says that an entry of the store is not what its writer wrote.
// The configuration stays at the one before Number.
type CorruptError struct {
	Number uint64
	Err    error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("ticketlog: ticket %d is corrupt: %v", e.Number, e.Err)
}

// Unwrap returns the cause, a finding.List where the digest is wrong.
func (e *CorruptError) Unwrap() error { return e.Err }

// GapError says that the store lacks a ticket below one that it holds.
type GapError struct {
	Missing, Found uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("ticketlog: ticket %d is missing but %d exists", e.Missing, e.Found)
}

func ticketKey(n uint64) string { return fmt.Sprintf("%s%010d", ticketPrefix, n) }

// Head returns the number of the newest ticket, 0 if there is none. It is one
// call of the store.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	p, err := l.st.Range(ctx, ticketPrefix, store.RangeOptions{Descending: true, Limit: 1, KeysOnly: true})
	if err != nil || len(p.KVs) == 0 {
		return 0, err
	}
	return numberOf(p.KVs[0].Key)
}

func numberOf(key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, ticketPrefix), 10, 64)
	if err != nil || ticketKey(n) != key {
		return 0, fmt.Errorf("ticketlog: key %q is not that of a ticket", key)
	}
	return n, nil
}

func decodeTicket(kv store.KV) (ticket.Ticket, error) {
	n, err := numberOf(kv.Key)
	if err != nil {
		return ticket.Ticket{}, err
	}
	t, err := ticket.Decode(kv.Value)
	if err != nil {
		return ticket.Ticket{}, &CorruptError{n, err}
	}
	if t.Number != n {
		return ticket.Ticket{}, &CorruptError{n, fmt.Errorf("it carries number %d", t.Number)}
	}
	return t, nil
}

// After returns the tickets above n in order, without a gap. If one of them
// is unreadable, it returns those before it and the error, which is a
// *CorruptError, a *GapError or an error of the store.
func (l *Log) After(ctx context.Context, n uint64) ([]ticket.Ticket, error) {
	ts, _, err := l.after(ctx, n, 0)
	return ts, err
}

// after reads up to and including upTo, 0 meaning the newest, and returns the
// revision from which a watch misses nothing.
func (l *Log) after(ctx context.Context, n, upTo uint64) ([]ticket.Ticket, int64, error) {
	var ts []ticket.Ticket
	o := store.RangeOptions{Limit: pageSize}
	if upTo > 0 {
		o.Before = ticketKey(upTo + 1)
	}
	for {
		o.From = ticketKey(n + 1)
		p, err := l.st.Range(ctx, ticketPrefix, o)
		if err != nil {
			return ts, 0, err
		}
		for _, kv := range p.KVs {
			t, err := decodeTicket(kv)
			if err != nil {
				return ts, 0, err
			}
			if t.Number != n+1 {
				return ts, 0, &GapError{n + 1, t.Number}
			}
			ts = append(ts, t)
			n++
		}
		if !p.More {
			return ts, p.Revision, nil
		}
	}
}

// Load returns the configuration after ticket upTo, 0 meaning the newest. It
// starts from the newest usable snapshot. If a ticket cannot be applied, it
// returns the configuration before it together with a *CorruptError.
func (l *Log) Load(ctx context.Context, upTo uint64) (*directory.Directory, error) {
	d, err := l.loadSnapshot(ctx, upTo)
	if err != nil {
		return nil, err
	}
	ts, _, err := l.after(ctx, d.Number, upTo)
	d, applyErr := ticket.ApplyAll(d, ts)
	if applyErr != nil {
		return d, &CorruptError{d.Number + 1, applyErr}
	}
	if err == nil && upTo > 0 && d.Number != upTo {
		err = fmt.Errorf("ticketlog: ticket %d does not exist, the newest is %d", upTo, d.Number)
	}
	return d, err
}
