package caller

import (
	"fmt"

	"marigoldfront.dev/core/finding"
)

// Rejected reports that an instance refused a request as invalid or not
// allowed. The request started no task.
type Rejected struct {
	// Status is the HTTP status.
	Status int
	// Findings lists the reasons, each with the place in the request.
	Findings finding.List
}

// Error implements error.
func (e *Rejected) Error() string {
	return fmt.Sprintf("rejected with status %d: %s", e.Status, e.Findings.Error())
}

// NoAnswer reports that no instance answered in time. A submitted job may have
// run. Session.Collect with the same sequence number requests its answer again.
type NoAnswer struct {
	// Sends is the number of attempts to send the request.
	Sends int
	// Last is the error of the last attempt.
	Last error
}

// Error implements error.
func (e *NoAnswer) Error() string {
	return fmt.Sprintf("no answer after %d tries: %v", e.Sends, e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *NoAnswer) Unwrap() error { return e.Last }
