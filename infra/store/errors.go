package store

import "fmt"

// Unavailable says that no address answered, and that a write has certainly
// not taken effect.
type Unavailable struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Unavailable) Error() string { return fmt.Sprintf("store: %s: unavailable: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Err }

// Ambiguous says that the reply to a write was lost: the write may have taken
// effect, or may still do so.
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

// Compacted says that the store no longer holds the revision that a watch
// was to start from. The reader has to read the current keys and watch again.
type Compacted struct {
	// Revision is the oldest that the store still holds.
	Revision int64
}

// Error implements error.
func (e *Compacted) Error() string {
	return fmt.Sprintf("store: watch: revisions below %d are compacted", e.Revision)
}

// Rejected says that the store refused the request as wrong.
type Rejected struct {
	Op     string
	Status int
	Body   string
}

// Error implements error.
func (e *Rejected) Error() string {
	return fmt.Sprintf("store: %s: status %d: %s", e.Op, e.Status, e.Body)
}

// Malformed says that a reply could not be read.
type Malformed struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Malformed) Error() string { return fmt.Sprintf("store: %s: malformed reply: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Malformed) Unwrap() error { return e.Err }
