package placement

import "slices"

// AssignedSlots returns the number of slots on usable targets that are assigned to
// this instance.
func (t *Table) AssignedSlots() int { return t.shares }

// AssignedTargets returns the number of targets on which this instance has slots.
func (t *Table) AssignedTargets() int {
	n := 0
	for _, tg := range t.targets {
		if tg.share > 0 && !tg.gone() {
			n++
		}
	}
	return n
}

// ServingTargets returns the number of targets of a service that are not leaving.
func (t *Table) ServingTargets(name string) int {
	svc := t.services[name]
	if svc == nil {
		return 0
	}
	n := 0
	for _, p := range svc.order {
		if !p.target.gone() {
			n++
		}
	}
	return n
}

// Address returns the address of a target, or an empty one.
func (t *Table) Address(name string) string {
	if n := t.targets[name]; n != nil {
		return n.address
	}
	return ""
}

// Services returns the services of a target.
func (t *Table) Services(name string) []string {
	if n := t.targets[name]; n != nil {
		return n.Services
	}
	return nil
}

// Targets returns the names of the targets that are not leaving, in order.
func (t *Table) Targets() []string {
	names := sortedKeys(t.targets)
	return slices.DeleteFunc(names, func(n string) bool { return t.targets[n].gone() })
}

// Zones returns the number of availability zones with targets, at least 1.
func (t *Table) Zones() int {
	zones := make(map[string]bool)
	for _, n := range t.targets {
		zones[n.AvailabilityZone] = true
	}
	return max(1, len(zones))
}

// TargetSlots returns the number of slots of a target.
func (t *Table) TargetSlots(name string) int {
	if n := t.targets[name]; n != nil {
		return n.Slots
	}
	return 0
}
