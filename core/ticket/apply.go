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
	if err := order(d.Number, t); err != nil {
		return nil, err
	}
	s := d.State.Clone()
	var l finding.List
	change(&l, s, t)
	if err := append(l, s.Validate()...).Err(); err != nil {
		return nil, err
	}
	return directory.New(t.Number, s), nil
}

func order(inForce uint64, t Ticket) error {
	if t.Number != inForce+1 || t.Base != inForce {
		return &OrderError{InForce: inForce, Number: t.Number, Base: t.Base}
	}
	return nil
}

// change makes the changes of t to s.
func change(l *finding.List, s directory.State, t Ticket) {
	remove(l, "teams", s.Teams, t.Put.Teams, t.Delete.Teams)
	remove(l, "services", s.Services, t.Put.Services, t.Delete.Services)
	remove(l, "callers", s.Callers, t.Put.Callers, t.Delete.Callers)
	remove(l, "targets", s.Targets, t.Put.Targets, t.Delete.Targets)
	maps.Copy(s.Teams, t.Put.Teams)
	maps.Copy(s.Services, t.Put.Services)
	maps.Copy(s.Callers, t.Put.Callers)
	maps.Copy(s.Targets, t.Put.Targets)
	if len(t.AffectedObjects()) == 0 {
		l.Add(fmt.Sprintf("tickets[%d]", t.Number), "changes nothing")
	}
}

// ApplyAll returns the configuration after all tickets, which must follow d
// and each other. Only the last result is validated and compared with its
// digest, which covers the ones before it: the cost of both grows with the
// whole state, and a starting instance applies up to 255 tickets. If the last
// result is wrong, the tickets are applied one by one, and ApplyAll returns
// the configuration before the first wrong ticket with the error of Apply.
func ApplyAll(d *directory.Directory, ts []Ticket) (*directory.Directory, error) {
	if len(ts) == 0 {
		return d, nil
	}
	if next, ok := applyRun(d, ts); ok {
		return next, nil
	}
	for _, t := range ts {
		next, err := Apply(d, t)
		if err != nil {
			return d, err
		}
		d = next
	}
	return d, nil
}

func applyRun(d *directory.Directory, ts []Ticket) (*directory.Directory, bool) {
	s := d.State.Clone()
	var l finding.List
	for i, t := range ts {
		if order(d.Number+uint64(i), t) != nil {
			return nil, false
		}
		change(&l, s, t)
	}
	if len(l) > 0 || len(s.Validate()) > 0 {
		return nil, false
	}
	last := ts[len(ts)-1]
	next := directory.New(last.Number, s)
	return next, next.Digest == last.Digest
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
