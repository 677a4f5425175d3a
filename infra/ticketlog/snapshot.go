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
	// snapshotInterval is the number of tickets between two snapshots.
	snapshotInterval = 256
	// maxPartBytes is the maximum size of a part. It leaves space for the key
	// below the store's limit of 1 MB.
	maxPartBytes = 900_000
	// maxParts is the maximum number of parts that a reader fetches for a
	// snapshot.
	maxParts = 100
	// maxSnapshotReads is the number of snapshots that a reader tries, newest
	// first, before it reads all tickets instead.
	maxSnapshotReads = 2
)

// snapshotHeader is stored as part 0. It is written after the other parts, so a
// snapshot that has a header is complete.
type snapshotHeader struct {
	Parts int `json:"parts"`
	Bytes int `json:"bytes"`
}

func partKey(number uint64, part int) string {
	return fmt.Sprintf("%s%010d/%04d", snapshotPrefix, number, part)
}

// newestSnapshot returns the number of the newest complete snapshot below the
// given number, or 0 if there is none. If below is 0, it considers all
// snapshots.
func (l *Log) newestSnapshot(ctx context.Context, below uint64) (uint64, error) {
	// The range also returns the keys of the parts after the header, so the
	// limit exceeds the number of keys of one snapshot.
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

// loadSnapshot returns the newest usable snapshot with a number up to upTo,
// where 0 means no upper limit. It returns the empty configuration if there is
// none.
func (l *Log) loadSnapshot(ctx context.Context, upTo uint64) (*directory.Directory, error) {
	var below uint64
	if upTo > 0 {
		below = upTo + 1
	}
	for range maxSnapshotReads {
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

// readSnapshot reads snapshot n. It returns nil without an error if the snapshot
// is missing, incomplete or damaged. The caller then has to use an older
// snapshot or the tickets.
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
	return l.verifyWithTicket(ctx, d)
}

// verifyWithTicket returns d if its digest equals that of the ticket with the
// same number, and nil otherwise. This prevents the use of a snapshot that was
// written from a different sequence of tickets.
func (l *Log) verifyWithTicket(ctx context.Context, d *directory.Directory) (*directory.Directory, error) {
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

// snapshotIfDue writes a snapshot of d if the newest snapshot is at least
// snapshotInterval tickets older. It does not rely on the number of d being a
// multiple of snapshotInterval, because the process that accepted such a ticket
// may have terminated before it wrote the snapshot.
func (l *Log) snapshotIfDue(ctx context.Context, d *directory.Directory) error {
	if d.Number < snapshotInterval {
		return nil
	}
	n, err := l.newestSnapshot(ctx, d.Number)
	if err != nil {
		return err
	}
	if d.Number-n < snapshotInterval {
		return nil
	}
	return l.writeSnapshot(ctx, d)
}

func (l *Log) writeSnapshot(ctx context.Context, d *directory.Directory) error {
	b := directory.EncodeSnapshot(d)
	h := snapshotHeader{Bytes: len(b)}
	for len(b) > 0 {
		n := min(len(b), maxPartBytes)
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
