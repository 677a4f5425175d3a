package ticketlog

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/infra/store"
)

const (
	// snapshotEvery is the number of tickets between snapshots.
	snapshotEvery = 256
	// partBytes leaves room below the store's 1 MB for the key.
	partBytes = 900_000
	// maxParts bounds what a reader fetches for one snapshot.
	maxParts = 100
	// snapshotTries is the number of snapshots that a reader tries, newest
	// first, before it reads all tickets instead.
	snapshotTries = 2
)

// snapshotHeader is part 0. It is written after the other parts, so that a
// snapshot with a header is complete.
type snapshotHeader struct {
	Parts int `json:"parts"`
	Bytes int `json:"bytes"`
}

func partKey(number uint64, part int) string {
	return fmt.Sprintf("%s%010d/%04d", snapshotPrefix, number, part)
}

// newestSnapshot returns the number of the newest complete snapshot below a
// number, 0 if there is none.
func (l *Log) newestSnapshot(ctx context.Context, below uint64) (uint64, error) {
	// Keys of parts come with those of headers, hence the limit.
	o := store.RangeOptions{Descending: true, KeysOnly: true, Limit: 2 * maxParts}
	if below > 0 {
		o.Before = fmt.Sprintf("%s%010d", snapshotPrefix, below)
	}
	p, err := l.st.Range(ctx, snapshotPrefix, o)
	if err != nil {
		return 0, err
	}
	for _, kv := range p.KVs {
		number, part, _ := strings.Cut(strings.TrimPrefix(kv.Key, snapshotPrefix), "/")
		if n, err := strconv.ParseUint(number, 10, 64); err == nil && part == "0000" {
			return n, nil
		}
	}
	return 0, nil
}

// loadSnapshot returns the newest usable snapshot that is not above upTo, or
// the empty configuration.
func (l *Log) loadSnapshot(ctx context.Context, upTo uint64) (*directory.Directory, error) {
	var below uint64
	if upTo > 0 {
		below = upTo + 1
	}
	for range snapshotTries {
		n, err := l.newestSnapshot(ctx, below)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			break
		}
		d, err := l.readSnapshot(ctx, n)
		if err != nil {
			return nil, err
		}
		if d != nil {
			return d, nil
		}
		below = n
	}
	return directory.Empty(), nil
}

// readSnapshot returns nil without an error if the snapshot is damaged; the
// tickets then have to be read instead.
func (l *Log) readSnapshot(ctx context.Context, n uint64) (*directory.Directory, error) {
	kv, ok, err := l.st.Get(ctx, partKey(n, 0))
	if err != nil || !ok {
		return nil, err
	}
	var h snapshotHeader
	if json.Unmarshal(kv.Value, &h) != nil || h.Parts < 1 || h.Parts > maxParts {
		return nil, nil
	}
	var b []byte
	for i := range h.Parts {
		kv, ok, err := l.st.Get(ctx, partKey(n, i+1))
		if err != nil || !ok {
			return nil, err
		}
		b = append(b, kv.Value...)
	}
	d, err := directory.DecodeSnapshot(b)
	if err != nil || d.Number != n || len(b) != h.Bytes {
		return nil, nil
	}
	return l.confirm(ctx, d)
}

// confirm compares a snapshot with the ticket of its number, which protects
// readers from a snapshot that was written from another history.
func (l *Log) confirm(ctx context.Context, d *directory.Directory) (*directory.Directory, error) {
	kv, ok, err := l.st.Get(ctx, ticketKey(d.Number))
	if err != nil || !ok {
		return nil, err
	}
	t, err := decodeTicket(kv)
	if err != nil || t.Digest != d.Digest {
		return nil, nil
	}
	return d, nil
}

// snapshotIfDue writes a snapshot of d if the newest one is too old. It looks
// at the newest one rather than at the number of d alone, because the writer
// of a multiple of snapshotEvery may have died before it wrote its own.
func (l *Log) snapshotIfDue(ctx context.Context, d *directory.Directory) error {
	if d.Number < snapshotEvery {
		return nil
	}
	n, err := l.newestSnapshot(ctx, d.Number)
	if err != nil {
		return err
	}
	if d.Number-n < snapshotEvery {
		return nil
	}
	return l.writeSnapshot(ctx, d)
}

func (l *Log) writeSnapshot(ctx context.Context, d *directory.Directory) error {
	b := directory.EncodeSnapshot(d)
	h := snapshotHeader{Bytes: len(b)}
	for len(b) > 0 {
		n := min(len(b), partBytes)
		h.Parts++
		if err := l.st.Put(ctx, partKey(d.Number, h.Parts), b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	if h.Parts > maxParts {
		return fmt.Errorf("ticketlog: snapshot %d has %d parts, allowed are %d", d.Number, h.Parts, maxParts)
	}
	v, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("ticketlog: encode snapshot header: %w", err)
	}
	return l.st.Put(ctx, partKey(d.Number, 0), v)
}
