package ticket

import (
	"fmt"
	"maps"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/finding"
)

// OrderError says that a ticket does not follow the configuration in force.
// It is the error of older tickets, repeated tickets and gaps alike.
type OrderError struct {
	// InForce is the number of the configuration.
	InForce uint64
	// Number and Base are those of the ticket.
	Number, Base uint64
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("ticket: %d with base %d does not follow configuration %d", e.Number, e.Base, e.InForce)
}

// Apply returns the configuration that results from t. The ticket's number
// must be that of d plus 1, its digest must be that of the result, and the
// result must be valid as a whole; else the error is an *OrderError or a
// finding.List and d stays in force.
func Apply(d *directory.Directory, t Ticket) (*directory.Directory, error) {
	next, err := apply(d, t)
	if err != nil {
		return nil, err
	}
	if next.Digest != t.Digest {
		var l finding.List
		l.Add(fmt.Sprintf("tickets[%d].digest", t.Number), "is %016x but the result has %016x", t.Digest, next.Digest)
		return nil, l
	}
	return next, nil
}

// Prepare completes t so that it follows d: it sets the number, the base and
// the digest. The error is that of Apply.
func Prepare(d *directory.Directory, t Ticket) (Ticket, *directory.Directory, error) {
	t.Number, t.Base = d.Number+1, d.Number
	t.Put = t.Put.Clone()
	if err := t.header().Err(); err != nil {
		return Ticket{}, nil, err
	}
	next, err := apply(d, t)
	if err != nil {
		return Ticket{}, nil, err
	}
	t.Digest = next.Digest
	return t, next, nil
}

func apply(d *directory.Directory, t Ticket) (*directory.Directory, error) {
	if t.Number != d.Number+1 || t.Base != d.Number {
		return nil, &OrderError{InForce: d.Number, Number: t.Number, Base: t.Base}
	}
	s := d.State.Clone()
	var l finding.List
	remove(&l, "teams", s.Teams, t.Put.Teams, t.Delete.Teams)
	remove(&l, "services", s.Services, t.Put.Services, t.Delete.Services)
	remove(&l, "callers", s.Callers, t.Put.Callers, t.Delete.Callers)
	remove(&l, "targets", s.Targets, t.Put.Targets, t.Delete.Targets)
	maps.Copy(s.Teams, t.Put.Teams)
	maps.Copy(s.Services, t.Put.Services)
	maps.Copy(s.Callers, t.Put.Callers)
	maps.Copy(s.Targets, t.Put.Targets)
	if len(t.Touches()) == 0 {
		l.Add(fmt.Sprintf("tickets[%d]", t.Number), "changes nothing")
	}
	if err := append(l, s.Validate()...).Err(); err != nil {
		return nil, err
	}
	return directory.New(t.Number, s), nil
}

func remove[V any](l *finding.List, kind string, from, put map[string]V, names []string) {
	for i, name := range names {
		at := fmt.Sprintf("delete.%s[%d]", kind, i)
		if _, ok := put[name]; ok {
			l.Add(at, "%q is also put", name)
		}
		if _, ok := from[name]; !ok {
			l.Add(at, "%q does not exist", name)
		}
		delete(from, name)
	}
}
