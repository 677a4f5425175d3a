// Package finding collects what is wrong with an input, each with its place,
// so that all of it is reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	// Place is where the fault is, for example "entry.toml:12: peer_secret"
	// or "tasks[3].payload".
	Place string
	// Message says what is wrong and, where possible, what is allowed.
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

// Error implements error with one finding a line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.Place+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}
