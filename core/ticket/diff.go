package ticket

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"marigoldfront.dev/core/directory"
)

// Kind is the kind of an object of the configuration.
type Kind string

// The kinds of objects.
const (
	Teams    Kind = "team"
	Services Kind = "service"
	Callers  Kind = "caller"
	Targets  Kind = "target"
)

// Object identifies one object of the configuration.
type Object struct {
	Kind Kind
	Name string
}

// String returns the kind and the quoted name, for example
// `caller "valuations"`.
func (o Object) String() string { return fmt.Sprintf("%s %q", o.Kind, o.Name) }

func compareObjects(a, b Object) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// AffectedObjects returns the objects that t puts or deletes, sorted by kind and
// name.
func (t Ticket) AffectedObjects() []Object {
	var l []Object
	l = addAffected(l, Teams, t.Put.Teams, t.Delete.Teams)
	l = addAffected(l, Services, t.Put.Services, t.Delete.Services)
	l = addAffected(l, Callers, t.Put.Callers, t.Delete.Callers)
	l = addAffected(l, Targets, t.Put.Targets, t.Delete.Targets)
	slices.SortFunc(l, compareObjects)
	return slices.Compact(l)
}

func addAffected[V any](l []Object, k Kind, put map[string]V, deleted []string) []Object {
	for name := range put {
		l = append(l, Object{k, name})
	}
	for _, name := range deleted {
		l = append(l, Object{k, name})
	}
	return l
}

// Op is the kind of a Change.
type Op string

// The operations of a Change.
const (
	Created Op = "created"
	Changed Op = "changed"
	Deleted Op = "deleted"
)

// Change is one difference between two configurations.
type Change struct {
	Object
	Op Op
	// Fields holds the fields that differ, for Changed only.
	Fields []FieldChange
}

// FieldChange is one field that differs. Field is the JSON name of the field.
type FieldChange struct {
	Field, Before, After string
}

// String describes the change, for example
// `changed team "desk": weight 1 -> 2`.
func (c Change) String() string {
	s := string(c.Op) + " " + c.Object.String()
	parts := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Field, f.Before, f.After))
	}
	if len(parts) > 0 {
		s += ": " + strings.Join(parts, ", ")
	}
	return s
}

// Diff returns the changes from a to b, sorted by kind and name.
func Diff(a, b *directory.Directory) []Change {
	var l []Change
	l = addDiff(l, Teams, a.State.Teams, b.State.Teams)
	l = addDiff(l, Services, a.State.Services, b.State.Services)
	l = addDiff(l, Callers, a.State.Callers, b.State.Callers)
	l = addDiff(l, Targets, a.State.Targets, b.State.Targets)
	slices.SortFunc(l, func(x, y Change) int { return compareObjects(x.Object, y.Object) })
	return l
}

func addDiff[V any](l []Change, k Kind, a, b map[string]V) []Change {
	for name, before := range a {
		after, ok := b[name]
		if !ok {
			l = append(l, Change{Object: Object{k, name}, Op: Deleted})
			continue
		}
		if fields := diffFields(before, after); len(fields) > 0 {
			l = append(l, Change{Object: Object{k, name}, Op: Changed, Fields: fields})
		}
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			l = append(l, Change{Object: Object{k, name}, Op: Created})
		}
	}
	return l
}

func diffFields(a, b any) []FieldChange {
	var l []FieldChange
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		before, after := fmt.Sprint(va.Field(i)), fmt.Sprint(vb.Field(i))
		if before == after {
			continue
		}
		name, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
		l = append(l, FieldChange{Field: name, Before: before, After: after})
	}
	return l
}
