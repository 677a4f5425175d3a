package placement

import "slices"

// AssignedSlots returns the number of slots on usable targets that are assigned
// to this instance.
func (t *Table) AssignedSlots() int { return t.assignedSlots }

// AssignedTargets returns the number of targets that are not leaving and on which
// slots are assigned to this instance.
func (t *Table) AssignedTargets() int {
	n := 0
	for _, tg := range t.targets {
		if tg.assignedSlots > 0 && !tg.isLeaving() {
			n++
		}
	}
	return n
}

// ServingTargets returns the number of targets of a service that are not leaving.
func (t *Table) ServingTargets(serviceName string) int {
	svc := t.services[serviceName]
	if svc == nil {
		return 0
	}
	n := 0
	for _, p := range svc.order {
		if !p.target.isLeaving() {
			n++
		}
	}
	return n
}

// Address returns the address of a target, or "" if the target is unknown.
func (t *Table) Address(targetName string) string {
	if tg := t.targets[targetName]; tg != nil {
		return tg.address
	}
	return ""
}

// Services returns the names of the services of a target.
func (t *Table) Services(targetName string) []string {
	if tg := t.targets[targetName]; tg != nil {
		return tg.Services
	}
	return nil
}

// Targets returns the sorted names of the targets that are not leaving.
func (t *Table) Targets() []string {
	names := sortedKeys(t.targets)
	return slices.DeleteFunc(names, func(n string) bool { return t.targets[n].isLeaving() })
}

// Zones returns the number of availability zones with targets, at least 1.
func (t *Table) Zones() int {
	zones := make(map[string]bool)
	for _, tg := range t.targets {
		zones[tg.AvailabilityZone] = true
	}
	return max(1, len(zones))
}

// TargetSlots returns the number of slots of a target, or 0 if it is unknown.
func (t *Table) TargetSlots(targetName string) int {
	if tg := t.targets[targetName]; tg != nil {
		return tg.Slots
	}
	return 0
}
