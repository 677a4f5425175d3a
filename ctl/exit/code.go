// Package exit defines the exit codes of marigoldctl, by which scripts
// distinguish the kinds of failure.
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
	// Failure is any failure that has no more specific code.
	Failure Code = 1
	// Usage means that the command line is wrong.
	Usage Code = 2
	// Findings means that an input is invalid. Nothing was changed.
	Findings Code = 3
	// Conflict means that another ticket was accepted first. Nothing was changed.
	Conflict Code = 4
	// Unreachable means that the store, the instance list or an instance did
	// not respond.
	Unreachable Code = 5
	// NotComplete means that a job was answered failed or not_run.
	NotComplete Code = 6
	// Unknown means that the outcome is not known: a job may have run, or a
	// ticket may have been accepted.
	Unknown Code = 7
	// NotFound means that the named object does not exist.
	NotFound Code = 8
	// NotInForce means that a ticket is not in force at every instance, or that
	// an instance did not respond.
	NotInForce Code = 9
)

// CodeOf returns the exit code of an error: the code that the error carries, or
// else one derived from its type. A nil error and a request for help give OK.
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

// Hint returns the advice that an error carries for the user, or an empty string.
func Hint(err error) string {
	if o, ok := oops.AsOops(err); ok {
		return o.Hint()
	}
	return ""
}
