package store

import "fmt"

// Unavailable reports that no address gave a usable reply. A write that fails
// with this error has not taken effect.
type Unavailable struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Unavailable) Error() string { return fmt.Sprintf("store: %s: unavailable: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Err }

// Ambiguous reports that a write got no usable reply. The write may have taken
// effect, or may still take effect.
type Ambiguous struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Ambiguous) Error() string {
	return fmt.Sprintf("store: %s: no reply, the write may have taken effect: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Ambiguous) Unwrap() error { return e.Err }

// Compacted reports that the store has compacted the revision from which a
// watch should start. The reader must read the current keys and start a new
// watch.
type Compacted struct {
	// Revision is the oldest revision that the store still holds.
	Revision int64
}

// Error implements error.
func (e *Compacted) Error() string {
	return fmt.Sprintf("store: watch: revisions below %d are compacted", e.Revision)
}

// Rejected reports that the store refused a request with an HTTP status below
// 500.
type Rejected struct {
	Op     string
	Status int
	Body   string
}

// Error implements error.
func (e *Rejected) Error() string {
	return fmt.Sprintf("store: %s: status %d: %s", e.Op, e.Status, e.Body)
}

// Malformed reports that a reply could not be decoded.
type Malformed struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Malformed) Error() string { return fmt.Sprintf("store: %s: malformed reply: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Malformed) Unwrap() error { return e.Err }
