package draft

import (
	"fmt"
	"strconv"
	"strings"
)

// Change is a difference between two configurations.
type Change struct {
	// Kind is "version", "value", "limit", "service" or "queue".
	Kind string `json:"kind"`
	Name string `json:"name,omitempty"`
	// Op is "created", "changed" or "deleted".
	Op string `json:"op"`
	// Fields holds the values that differ, for "changed" only.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a value that differs.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String describes the change, for example
// `changed queue "valuations": timeout 1.5s -> 2s`.
func (c Change) String() string {
	s := c.Op + " " + c.Kind
	if c.Name != "" {
		s += " " + strconv.Quote(c.Name)
	}
	parts := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Field, f.Before, f.After))
	}
	if len(parts) > 0 {
		s += ": " + strings.Join(parts, ", ")
	}
	return s
}

// entry is a named part of a configuration with its values.
type entry struct {
	name   string
	values []Value
}

// Diff returns the changes from one configuration to another. Parts of the same kind
// are in the order of the new configuration, and those that it lacks come last.
func Diff(from, to *Draft) []Change {
	changes := diffEntries("version", versionEntry(from), versionEntry(to))
	changes = append(changes, diffEntries("value", valueEntries(from.Values), valueEntries(to.Values))...)
	changes = append(changes, diffEntries("limit", valueEntries(from.Limits), valueEntries(to.Limits))...)
	changes = append(changes, diffEntries("service", serviceEntries(from), serviceEntries(to))...)
	return append(changes, diffEntries("queue", queueEntries(from), queueEntries(to))...)
}

func diffEntries(kind string, from, to []entry) (changes []Change) {
	before := map[string]entry{}
	for _, e := range from {
		before[e.name] = e
	}
	after := map[string]bool{}
	for _, e := range to {
		after[e.name] = true
		old, ok := before[e.name]
		if !ok {
			changes = append(changes, Change{Kind: kind, Name: e.name, Op: "created"})
			continue
		}
		if fields := diffValues(old.values, e.values); len(fields) > 0 {
			changes = append(changes, Change{Kind: kind, Name: e.name, Op: "changed", Fields: fields})
		}
	}
	for _, e := range from {
		if !after[e.name] {
			changes = append(changes, Change{Kind: kind, Name: e.name, Op: "deleted"})
		}
	}
	return changes
}

// notSet stands for a value that one of the configurations does not have.
const notSet = "(not set)"

func diffValues(from, to []Value) (fields []FieldChange) {
	before := map[string]string{}
	for _, v := range from {
		before[v.Name] = v.Text
	}
	after := map[string]bool{}
	for _, v := range to {
		after[v.Name] = true
		old, ok := before[v.Name]
		if !ok {
			old = notSet
		}
		if old != v.Text {
			fields = append(fields, FieldChange{Field: v.Name, Before: old, After: v.Text})
		}
	}
	for _, v := range from {
		if !after[v.Name] {
			fields = append(fields, FieldChange{Field: v.Name, Before: v.Text, After: notSet})
		}
	}
	return fields
}

func versionEntry(d *Draft) []entry {
	return []entry{{values: []Value{{"version", strconv.FormatInt(d.Version, 10)}}}}
}

func valueEntries(values []Value) (all []entry) {
	for _, v := range values {
		all = append(all, entry{v.Name, []Value{{"value", v.Text}}})
	}
	return all
}

func serviceEntries(d *Draft) (all []entry) {
	for _, s := range d.Services {
		all = append(all, entry{s.Name, s.Values})
	}
	return all
}

func queueEntries(d *Draft) (all []entry) {
	for i := range d.Queues {
		q := &d.Queues[i]
		all = append(all, entry{q.Name, append([]Value{
			{"host", q.Host}, {"prefix", q.Prefix}, {"service", q.Service}, {"priority", strconv.Itoa(q.Priority)},
			{"attempts", strconv.Itoa(q.MaxAttempts)}, {"timeout", q.Timeout.String()},
			{"stretch", strconv.FormatFloat(q.Stretch, 'g', -1, 64)}, {"slack", q.Slack.String()},
		}, q.Values...)})
	}
	return all
}
