// Package ticket defines numbered change tickets, which are the only way to
// change the configuration. It encodes, decodes and applies them.
package ticket

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/finding"
)

// MaxBytes limits the size of an encoded ticket. The store accepts values up to
// 1 MB.
const MaxBytes = 1_000_000

const (
	maxNonceBytes = 64
	maxTextBytes  = 2000
)

// ObjectNames lists objects by kind.
type ObjectNames struct {
	Teams    []string `json:"teams,omitempty"`
	Services []string `json:"services,omitempty"`
	Callers  []string `json:"callers,omitempty"`
	Targets  []string `json:"targets,omitempty"`
}

// Ticket is one accepted or proposed change. It contains the complete new state
// of every object that it puts.
type Ticket struct {
	// Number identifies the resulting configuration; the first is 1.
	Number uint64 `json:"number"`
	// Base is the configuration that the ticket changes: Number - 1.
	Base uint64 `json:"base"`
	// Nonce distinguishes this ticket from others with the same number. A
	// writer that did not receive the response of the store uses it to
	// recognise its own ticket.
	Nonce string `json:"nonce"`
	// Author is the author of the ticket.
	Author string `json:"author"`
	// Reason is the reason for the change, as free text.
	Reason string `json:"reason"`
	// CreatedUnixMS is the creation time by the clock of the writer, in Unix
	// milliseconds. It is informational only.
	CreatedUnixMS int64 `json:"created_unix_ms"`
	// Put holds the objects that are created or replaced.
	Put directory.State `json:"put"`
	// Delete names the objects that are removed.
	Delete ObjectNames `json:"delete"`
	// Digest is the digest of the resulting configuration. In JSON it is a
	// decimal string, because other decoders round numbers above 2^53.
	Digest uint64 `json:"digest,string"`
}

// ErrTooLarge is wrapped by the error for a ticket larger than MaxBytes.
var ErrTooLarge = errors.New("ticket: over 1 MB")

// Encode returns the JSON encoding of t. If it is larger than MaxBytes, the
// error wraps ErrTooLarge.
func Encode(t Ticket) ([]byte, error) {
	t.Put = t.Put.Clone()
	b, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("ticket: encode: %w", err)
	}
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(b))
	}
	return b, nil
}

// Decode decodes one ticket. Unknown keys, data after the ticket, a size above
// MaxBytes and a base other than number - 1 are errors. Decode does not validate
// the objects; Apply does.
func Decode(b []byte) (Ticket, error) {
	if len(b) > MaxBytes {
		return Ticket{}, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(b))
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var t Ticket
	if err := dec.Decode(&t); err != nil {
		return Ticket{}, fmt.Errorf("ticket: decode: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Ticket{}, errors.New("ticket: decode: data after the ticket")
	}
	if err := t.validateHeader().Err(); err != nil {
		return Ticket{}, fmt.Errorf("ticket: decode: %w", err)
	}
	t.Put = t.Put.Clone()
	return t, nil
}

func (t Ticket) validateHeader() finding.List {
	var l finding.List
	if t.Number == 0 || t.Base != t.Number-1 {
		l.Add("base", "is %d for number %d, want number - 1", t.Base, t.Number)
	}
	if t.Nonce == "" || len(t.Nonce) > maxNonceBytes {
		l.Add("nonce", "has %d bytes, allowed are 1 to %d", len(t.Nonce), maxNonceBytes)
	}
	if t.Author == "" || len(t.Author) > maxTextBytes {
		l.Add("author", "has %d bytes, allowed are 1 to %d", len(t.Author), maxTextBytes)
	}
	if len(t.Reason) > maxTextBytes {
		l.Add("reason", "has %d bytes, allowed are %d", len(t.Reason), maxTextBytes)
	}
	return l
}
