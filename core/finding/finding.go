// Package finding collects the validation errors of an input, each with its
// location, so that all of them are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error of an input.
type Finding struct {
	// Place is the location of the error, for example
	// "entry.toml:12: peer_secret" or "tasks[3].payload".
	Place string
	// Message describes the error and, where possible, the allowed values.
	Message string
}

// List collects findings. The zero value is empty and ready to use.
type List []Finding

// Add appends a finding at place; format and args are those of fmt.Sprintf.
func (l *List) Add(place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns one line per finding.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.Place+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}
