package ticket

import (
	"fmt"
	"maps"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/finding"
)

// OrderError reports that a ticket does not follow the configuration in force:
// it is older, it is a repetition, or tickets are missing in between.
type OrderError struct {
	// InForce is the number of the configuration in force.
	InForce uint64
	// Number and Base are the numbers in the ticket.
	Number, Base uint64
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("ticket: %d with base %d does not follow configuration %d", e.Number, e.Base, e.InForce)
}

// Apply returns the configuration that results from applying t to d. The number
// of t must be the number of d plus 1, otherwise the error is an *OrderError.
// The digest of t must match the result, and the result must be valid as a
// whole, otherwise the error is a finding.List. Apply does not change d.
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

// Prepare completes t so that it follows d: it sets the number, the base and the
// digest. It also returns the resulting configuration. The errors are those of
// Apply.
func Prepare(d *directory.Directory, t Ticket) (Ticket, *directory.Directory, error) {
	t.Number, t.Base = d.Number+1, d.Number
	t.Put = t.Put.Clone()
	if err := t.validateHeader().Err(); err != nil {
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
	if err := checkOrder(d.Number, t); err != nil {
		return nil, err
	}
	s := d.State.Clone()
	var l finding.List
	applyChanges(&l, s, t)
	if err := append(l, s.Validate()...).Err(); err != nil {
		return nil, err
	}
	return directory.New(t.Number, s), nil
}

func checkOrder(inForce uint64, t Ticket) error {
	if t.Number != inForce+1 || t.Base != inForce {
		return &OrderError{InForce: inForce, Number: t.Number, Base: t.Base}
	}
	return nil
}

// applyChanges applies the changes of t to s. It does not validate the result.
func applyChanges(l *finding.List, s directory.State, t Ticket) {
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
// and each other. It validates only the last result and compares only its
// digest, which also covers the tickets before it: the cost of both steps grows
// with the size of the state, and a starting instance applies up to 255 tickets.
// If the last result is invalid, ApplyAll applies the tickets one by one, and
// returns the configuration before the first invalid ticket and the error of
// Apply.
func ApplyAll(d *directory.Directory, ts []Ticket) (*directory.Directory, error) {
	if len(ts) == 0 {
		return d, nil
	}
	if next, ok := applyBatch(d, ts); ok {
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

// applyBatch applies all tickets and validates only the last result. It returns
// false if any of them is invalid.
func applyBatch(d *directory.Directory, ts []Ticket) (*directory.Directory, bool) {
	s := d.State.Clone()
	var l finding.List
	for i, t := range ts {
		if checkOrder(d.Number+uint64(i), t) != nil {
			return nil, false
		}
		applyChanges(&l, s, t)
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
