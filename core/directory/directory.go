package directory

import (
	"maps"
	"slices"
	"strings"
)

// Empty returns the configuration before the first ticket. It has number 0 and
// no objects.
func Empty() *Directory {
	return New(0, State{})
}

// New returns the configuration that results from the ticket with this number.
// It copies s, so that later changes to s have no effect, and computes the
// digest. It does not validate s.
func New(number uint64, s State) *Directory {
	c := s.Clone()
	return &Directory{Number: number, Digest: c.Digest(), State: c}
}

// Clone returns a deep copy in canonical form: no nil maps or lists, and the
// lists of services sorted.
func (s State) Clone() State {
	c := State{
		Teams:    make(map[string]Team, len(s.Teams)),
		Services: make(map[string]Service, len(s.Services)),
		Callers:  make(map[string]Caller, len(s.Callers)),
		Targets:  make(map[string]Target, len(s.Targets)),
	}
	maps.Copy(c.Teams, s.Teams)
	maps.Copy(c.Services, s.Services)
	for k, v := range s.Callers {
		v.Services = sortedCopy(v.Services)
		c.Callers[k] = v
	}
	for k, v := range s.Targets {
		v.Services = sortedCopy(v.Services)
		c.Targets[k] = v
	}
	return c
}

func sortedCopy(l []string) []string {
	c := append(make([]string, 0, len(l)), l...)
	slices.Sort(c)
	return c
}

// Caller returns the caller of that name.
func (d *Directory) Caller(name string) (Caller, bool) {
	c, ok := d.State.Callers[name]
	return c, ok
}

// Service returns the service of that name.
func (d *Directory) Service(name string) (Service, bool) {
	s, ok := d.State.Services[name]
	return s, ok
}

// Owner returns the person or group that is responsible for the caller of that
// name.
func (d *Directory) Owner(caller string) (string, bool) {
	c, ok := d.State.Callers[caller]
	return c.Owner, ok
}

// TargetsForService returns the targets that serve a service, sorted by name.
// It scans all targets, which is too slow for the request path; it is meant for
// commands and configuration changes.
func (d *Directory) TargetsForService(service string) []Target {
	return d.selectTargets(func(t Target) bool { return slices.Contains(t.Services, service) })
}

// TargetsForCaller returns the targets that serve any service of a caller,
// sorted by name. Like TargetsForService, it scans all targets.
func (d *Directory) TargetsForCaller(caller string) []Target {
	c := d.State.Callers[caller]
	return d.selectTargets(func(t Target) bool {
		return slices.ContainsFunc(t.Services, func(s string) bool { return slices.Contains(c.Services, s) })
	})
}

func (d *Directory) selectTargets(match func(Target) bool) []Target {
	var l []Target
	for _, t := range d.State.Targets {
		if match(t) {
			l = append(l, t)
		}
	}
	slices.SortFunc(l, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	return l
}
