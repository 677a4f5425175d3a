package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// leaveBound is the time after which a leaving target gets no new work.
	leaveBound = 3 * time.Second
	// inFlightAfter tells a request that an instance had taken from one that
	// met a closing connection.
	inFlightAfter = 200 * time.Millisecond
)

type interval struct{ from, to time.Time }

func (i interval) overlaps(o interval) bool { return i.from.Before(o.to) && o.from.Before(i.to) }

// leave is the time for which a target was on the list as leaving before it
// was stopped.
type leave struct {
	target string
	interval
}

// stops is what the run knows of planned stops.
type stops struct {
	mu     sync.Mutex
	leaves []leave
	// hidden holds, by instance, the times at which it could not see the list
	// or was paused, so that the bound on leaving targets does not apply to it.
	hidden      map[string][]interval
	drains      int
	interrupted []string
}

func (s *stops) left(l leave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaves = append(s.leaves, l)
}

// hide runs do as a time at which the instances may not see the list. They
// then need another while to read it again.
func (s *stops) hide(instances []*entry, do func() error) error {
	from := time.Now()
	err := do()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hidden == nil {
		s.hidden = map[string][]interval{}
	}
	for _, e := range instances {
		s.hidden[e.spec.Name] = append(s.hidden[e.spec.Name], interval{from, time.Now().Add(leaveBound)})
	}
	return err
}

func (s *stops) drained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains++
}

func (s *stops) interrupt(instance string, err error, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = append(s.interrupted, fmt.Sprintf("the planned stop of %s interrupted a request after %v: %v",
		instance, after.Round(time.Millisecond), err))
}

// late returns the starts at leaving targets after the bound by instances that
// saw the list, and the number of starts after the bound that it could not
// judge. homes maps incarnations, as in the names of jobs, to instances: only
// the home of a session starts its jobs.
func (s *stops) late(starts []start, homes map[string]string) (late []start, unjudged int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leaves {
		for _, st := range starts {
			at := time.UnixMilli(st.TimeUnixMS)
			if st.Target != l.target || !at.After(l.from.Add(leaveBound)) || !at.Before(l.to) {
				continue
			}
			incarnation, _, _ := strings.Cut(st.Job, "-")
			if home, ok := homes[incarnation]; !ok || s.isHidden(home, l.interval) {
				unjudged++
				continue
			}
			late = append(late, st)
		}
	}
	return late, unjudged
}

func (s *stops) isHidden(instance string, i interval) bool {
	return slices.ContainsFunc(s.hidden[instance], i.overlaps)
}

// report adds the broken bounds to the summary and returns a line on both
// kinds of planned stops.
func (s *stops) report(sum *Summary, starts []start, homes map[string]string) string {
	late, unjudged := s.late(starts, homes)
	for _, st := range late {
		sum.fault(&sum.StopViolations, "a target that is leaving was given a start: %+v", st)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, text := range s.interrupted {
		sum.fault(&sum.StopViolations, "%s", text)
	}
	return fmt.Sprintf("soak: %d planned stops of targets, %d late starts, %d by instances that did not see the list; "+
		"%d planned stops of instances, %d requests interrupted", len(s.leaves), len(late), unjudged, s.drains, len(s.interrupted))
}
