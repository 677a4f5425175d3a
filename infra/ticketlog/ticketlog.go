// Package ticketlog reads and writes the change tickets in the platform's store
// and builds configurations from them.
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
	// pageSize is the number of tickets that one call reads. 16 tickets of 1 MB
	// fit into the largest reply that the store client accepts.
	pageSize = 16
)

// Log is the sequence of accepted tickets. It is safe for concurrent use.
type Log struct {
	st *store.Client
	// OnSnapshotError, if not nil, is called with the error when a snapshot
	// cannot be written. The ticket is accepted nevertheless, and the next
	// Accept tries to write a snapshot again. OnSnapshotError must be set before
	// the first call of a method.
	OnSnapshotError func(error)
}

// New returns the log that is stored in st.
func New(st *store.Client) *Log {
	return &Log{st: st}
}

// CorruptError reports that the stored ticket Number cannot be decoded or
// applied. Readers keep the configuration of the ticket before it.
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

// GapError reports that the store holds ticket Found but lacks the earlier
// ticket Missing.
type GapError struct {
	Missing, Found uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("ticketlog: ticket %d is missing but %d exists", e.Missing, e.Found)
}

func ticketKey(n uint64) string { return fmt.Sprintf("%s%010d", ticketPrefix, n) }

// Head returns the number of the newest ticket, or 0 if there is none. It makes
// one call to the store.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	p, err := l.st.Range(ctx, ticketPrefix, store.RangeOptions{Descending: true, Limit: 1, KeysOnly: true})
	if err != nil || len(p.KVs) == 0 {
		return 0, err
	}
	return parseTicketKey(p.KVs[0].Key)
}

func parseTicketKey(key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, ticketPrefix), 10, 64)
	if err != nil || ticketKey(n) != key {
		return 0, fmt.Errorf("ticketlog: key %q is not that of a ticket", key)
	}
	return n, nil
}

func decodeTicket(kv store.KV) (ticket.Ticket, error) {
	n, err := parseTicketKey(kv.Key)
	if err != nil {
		return ticket.Ticket{}, err
	}
	t, err := ticket.Decode(kv.Value)
	if err != nil {
		return ticket.Ticket{}, &CorruptError{n, err}
	}
	if t.Number != n {
		return ticket.Ticket{}, &CorruptError{n, fmt.Errorf("its content has the number %d", t.Number)}
	}
	return t, nil
}

// After returns the tickets with numbers above n, in order and without a gap.
// If one of them cannot be read, it returns the tickets before it and the error,
// which is a *CorruptError, a *GapError or an error of the store.
func (l *Log) After(ctx context.Context, n uint64) ([]ticket.Ticket, error) {
	ts, _, err := l.readTickets(ctx, n, 0)
	return ts, err
}

// readTickets returns the tickets from n+1 to upTo (inclusive), where 0 means
// the newest, and the store revision of the last read. A watch that starts after
// this revision misses no ticket.
func (l *Log) readTickets(ctx context.Context, n, upTo uint64) ([]ticket.Ticket, int64, error) {
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

// Load returns the configuration as of ticket upTo, where 0 means the newest.
// It starts from the newest usable snapshot and applies the tickets after it. If
// a ticket cannot be applied, it returns the configuration before that ticket
// and a *CorruptError.
func (l *Log) Load(ctx context.Context, upTo uint64) (*directory.Directory, error) {
	d, err := l.loadSnapshot(ctx, upTo)
	if err != nil {
		return nil, err
	}
	ts, _, err := l.readTickets(ctx, d.Number, upTo)
	d, applyErr := ticket.ApplyAll(d, ts)
	if applyErr != nil {
		return d, &CorruptError{d.Number + 1, applyErr}
	}
	if err == nil && upTo > 0 && d.Number != upTo {
		err = fmt.Errorf("ticketlog: ticket %d does not exist, the newest is %d", upTo, d.Number)
	}
	return d, err
}
