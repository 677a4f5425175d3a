// Package draft checks a configuration before it is sent to the store.
package draft

import (
	"strings"

	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/core/finding"
)

// Draft is a configuration with the places of its values.
type Draft struct {
	Version  int64
	Queues   []Queue
	Services []Service
	// Limits holds the values of other limits by their names, and Values all others.
	Limits, Values []Value
	// Place is the place of the version.
	Place string
}

// Queue is a queue of a Draft.
type Queue struct {
	catalog.Queue
	// Place is the place of the queue. Places holds those of the values that are set.
	Place  string
	Places Places
	// Values holds the values that instances do not use, by their names.
	Values []Value
}

// Places holds the places of the values of a queue. A value that is not set has the
// place of the queue.
type Places struct {
	Name, Host, Prefix, Service, Priority, Attempts, Timeout, Stretch, Slack string
}

// Service is a service of a Draft.
type Service struct {
	Name  string
	Place string
	// Values holds the other values of the service by their names.
	Values []Value
}

// Value is a named value in the form of the file.
type Value struct{ Name, Text string }

// Errors returns the findings for which instances refuse the configuration, or refuse
// requests that it is meant to allow.
func (d *Draft) Errors() finding.List {
	var found finding.List
	if d.Version <= 0 {
		found.Add(d.Place, "the version must be a whole number above 0")
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		switch {
		case s.Name == "":
			found.Add(s.Place, "the service has no name")
		case services[s.Name]:
			found.Add(s.Place, "the service %q is listed twice", s.Name)
		}
		services[s.Name] = true
	}
	names := map[string]string{}
	for i := range d.Queues {
		q := &d.Queues[i]
		q.addErrors(&found, services)
		if first, ok := names[q.Name]; ok && q.Name != "" {
			found.Add(q.Places.Name, "the queue of %s has the same name, %q", first, q.Name)
			continue
		}
		names[q.Name] = q.Place
	}
	return found
}

func (q *Queue) addErrors(found *finding.List, services map[string]bool) {
	for _, v := range []struct{ value, name, place string }{
		{q.Name, "name", q.Places.Name}, {q.Host, "host", q.Places.Host}, {q.Prefix, "prefix", q.Places.Prefix},
		{q.Service, "service", q.Places.Service},
	} {
		if v.value == "" {
			found.Add(v.place, "the queue has no %s", v.name)
		}
	}
	if q.Service != "" && !services[q.Service] {
		found.Add(q.Places.Service, "the service %q is not listed, so that no instance claims targets for it", q.Service)
	}
	if q.Priority < 0 {
		found.Add(q.Places.Priority, "the priority must not be negative")
	}
	if q.MaxAttempts < 0 {
		found.Add(q.Places.Attempts, "the number of attempts must not be negative")
	}
	if q.Timeout < 0 {
		found.Add(q.Places.Timeout, "the timeout must not be negative")
	}
	if q.Slack < 0 {
		found.Add(q.Places.Slack, "the slack must not be negative")
	}
	if q.Stretch < 0 {
		found.Add(q.Places.Stretch, "the stretch must not be negative")
	}
}

// Warnings returns the findings for entries that can never take effect, and for values
// that contradict each other. served holds the services that have targets, or is nil if
// they are not known.
func (d *Draft) Warnings(served map[string]bool) finding.List {
	var found finding.List
	used := map[string]bool{}
	for i := range d.Queues {
		q := &d.Queues[i]
		used[q.Service] = true
		q.addContradictions(&found)
		d.addUnreachable(&found, i)
	}
	for _, s := range d.Services {
		switch {
		case !used[s.Name]:
			found.Add(s.Place, "no queue uses the service %q, so that its targets get no work", s.Name)
		case served != nil && !served[s.Name]:
			found.Add(s.Place, "the service %q has no targets at the instances that were asked", s.Name)
		}
	}
	return found
}

func (q *Queue) addContradictions(found *finding.List) {
	if q.Timeout > 0 && q.Timeout < q.Slack {
		found.Add(q.Places.Timeout, "the timeout %v is shorter than the slack %v of the latency objective: "+
			"jobs of callers that do not say how long they wait end before their objective", q.Timeout, q.Slack)
	}
	if q.Timeout > catalog.MaxTimeout {
		found.Add(q.Places.Timeout, "instances keep no job for longer than %v", catalog.MaxTimeout)
	}
	if q.Stretch > 0 && q.Stretch < 1 {
		found.Add(q.Places.Stretch, "a stretch below 1 counts as 1, because no job is faster than its tasks")
	}
	if q.MaxAttempts == 0 {
		found.Add(q.Places.Attempts, "no attempts are set, so that a job fails with the first failure of a task")
	}
}

// addUnreachable adds a finding if no request can reach queue i, or if it takes part of
// the requests of another queue.
func (d *Draft) addUnreachable(found *finding.List, i int) {
	q := &d.Queues[i]
	if q.Host == "" || q.Prefix == "" {
		return
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		found.Add(q.Places.Prefix, "no path begins with %q, so that the queue gets no requests", q.Prefix)
		return
	}
	if strings.ContainsAny(q.Host, "/ ") {
		found.Add(q.Places.Host, "no request has the host %q, so that the queue gets no requests", q.Host)
		return
	}
	for k := range d.Queues {
		o := &d.Queues[k]
		rest, extends := strings.CutPrefix(q.Prefix, o.Prefix)
		switch {
		case k == i || o.Host != q.Host || o.Prefix == "" || !extends:
		case rest == "" && k < i:
			found.Add(q.Places.Prefix, "the queue %q at %s has the same host and prefix and gets all requests", o.Name, o.Place)
			return
		case rest != "" && len(rest) <= jobIDLength && isHex(rest):
			found.Add(q.Places.Prefix, "the prefix takes the jobs of the queue %q at %s whose ids begin with %q", o.Name, o.Place, rest)
		}
	}
}

// jobIDLength is the number of hexadecimal digits of a job's id, which follows the
// prefix in a path.
const jobIDLength = 16

func isHex(s string) bool { return strings.Trim(s, "0123456789abcdefABCDEF") == "" }
