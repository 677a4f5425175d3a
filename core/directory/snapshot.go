package directory

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"marigoldfront.dev/core/finding"
)

// MaxSnapshotBytes limits the size of a decompressed snapshot. The state of
// 3,400 targets takes about 1 MB.
const MaxSnapshotBytes = 64 << 20

type snapshot struct {
	Number uint64 `json:"number"`
	// Digest is encoded as a decimal string, because other JSON decoders round
	// numbers above 2^53.
	Digest uint64 `json:"digest,string"`
	State  State  `json:"state"`
}

// EncodeSnapshot returns d as gzip-compressed JSON.
func EncodeSnapshot(d *Directory) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	err := json.NewEncoder(w).Encode(snapshot{Number: d.Number, Digest: d.Digest, State: d.State})
	if err = errors.Join(err, w.Close()); err != nil {
		panic(fmt.Sprintf("directory: encode snapshot: %v", err))
	}
	return b.Bytes()
}

// DecodeSnapshot decodes a snapshot that EncodeSnapshot has encoded. Unknown
// keys, data after the snapshot, an invalid state and a digest that does not
// match the state are errors. If the state is invalid or the digest does not
// match, the error is a finding.List.
func DecodeSnapshot(b []byte) (*Directory, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("directory: snapshot: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxSnapshotBytes+1))
	if err != nil {
		return nil, fmt.Errorf("directory: snapshot: %w", err)
	}
	if len(plain) > MaxSnapshotBytes {
		return nil, fmt.Errorf("directory: snapshot: exceeds %d bytes after decompression", MaxSnapshotBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	var s snapshot
	if err := dec.Decode(&s); err != nil {
		return nil, fmt.Errorf("directory: snapshot: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("directory: snapshot: data after the snapshot")
	}
	return s.validate()
}

func (s snapshot) validate() (*Directory, error) {
	d := New(s.Number, s.State)
	if d.Digest != s.Digest {
		var l finding.List
		l.Add(fmt.Sprintf("snapshots[%d].digest", s.Number), "is %016x but the state has %016x", s.Digest, d.Digest)
		return nil, l
	}
	if err := d.State.Validate().Err(); err != nil {
		return nil, err
	}
	return d, nil
}
