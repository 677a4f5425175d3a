package caller

import (
	"fmt"

	"marigoldfront.dev/core/finding"
)

// Rejected says that an instance refused a message as wrong, so that this
// message started nothing.
type Rejected struct {
	// Status is the HTTP status.
	Status   int
	Findings finding.List
}

// Error implements error.
func (e *Rejected) Error() string {
	return fmt.Sprintf("rejected with status %d: %s", e.Status, e.Findings.Error())
}

// NoAnswer says that no instance answered in time. A submitted job may have
// run. Collect with the same sequence number asks again.
type NoAnswer struct {
	// Sends counts the requests that were tried.
	Sends int
	// Last is the error of the last one.
	Last error
}

// Error implements error.
func (e *NoAnswer) Error() string {
	return fmt.Sprintf("no answer after %d tries: %v", e.Sends, e.Last)
}

// Unwrap returns the error of the last try.
func (e *NoAnswer) Unwrap() error { return e.Last }
