// Package exit holds the exit codes of marigoldctl, so that scripts can tell
// the kinds of failure apart.
package exit

import (
	"context"
	"errors"

	"github.com/jessevdk/go-flags"
	"github.com/samber/oops"

	"marigoldfront.dev/core/finding"
)

// Code is an exit code.
type Code int

// The exit codes.
const (
	OK Code = 0
	// Failure is any failure without a code of its own.
	Failure Code = 1
	// Usage says that the command line is wrong.
	Usage Code = 2
	// Findings says that an input is wrong; nothing was changed.
	Findings Code = 3
	// Conflict says that another ticket took the number; nothing was changed.
	Conflict Code = 4
	// Unreachable says that the store, the instance list or an entry instance
	// does not answer.
	Unreachable Code = 5
	// NotComplete says that a job was answered failed or not_run.
	NotComplete Code = 6
	// Unknown says that the outcome is not known: a job may have run, or a
	// ticket may have been accepted.
	Unknown Code = 7
	// NotFound says that the named object does not exist.
	NotFound Code = 8
	// NotInForce says that a ticket is not in force at every instance asked.
	NotInForce Code = 9
)

// CodeOf returns the exit code of an error.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	if o, ok := oops.AsOops(err); ok {
		if c, ok := o.Code().(Code); ok {
			return c
		}
	}
	var usage *flags.Error
	var list finding.List
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return OK
	case errors.As(err, &usage):
		return Usage
	case errors.As(err, &list):
		return Findings
	case errors.Is(err, context.DeadlineExceeded):
		return Unreachable
	}
	return Failure
}

// Hint returns what the user can do about an error, or an empty string.
func Hint(err error) string {
	if o, ok := oops.AsOops(err); ok {
		return o.Hint()
	}
	return ""
}
