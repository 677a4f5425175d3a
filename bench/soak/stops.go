package soak

import (
	"fmt"
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
	// hidden holds the times at which some instance could not see the list or
	// was paused, so that the bound on leaving targets does not apply.
	hidden      []interval
	drains      int
	interrupted []string
}

func (s *stops) left(l leave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaves = append(s.leaves, l)
}

// hide runs do as a time at which some instance may not see the list. The
// instances then need another second and a half to read it again.
func (s *stops) hide(do func() error) error {
	from := time.Now()
	err := do()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidden = append(s.hidden, interval{from, time.Now().Add(leaveBound / 2)})
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

// late returns the starts at leaving targets after the bound, and the number
// of planned stops of targets that could be judged.
func (s *stops) late(starts []start) (late []start, judged int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leaves {
		if s.isHidden(l.interval) {
			continue
		}
		judged++
		for _, st := range starts {
			at := time.UnixMilli(st.TimeUnixMS)
			if st.Target == l.target && at.After(l.from.Add(leaveBound)) && at.Before(l.to) {
				late = append(late, st)
			}
		}
	}
	return late, judged
}

func (s *stops) isHidden(i interval) bool {
	for _, h := range s.hidden {
		if h.overlaps(i) {
			return true
		}
	}
	return false
}

// report adds the broken bounds to the summary and returns a line on both
// kinds of planned stops.
func (s *stops) report(sum *Summary, starts []start) string {
	late, judged := s.late(starts)
	for _, st := range late {
		sum.fault(&sum.BrokenStops, "a target that is leaving was given a start: %+v", st)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, text := range s.interrupted {
		sum.fault(&sum.BrokenStops, "%s", text)
	}
	return fmt.Sprintf("soak: %d planned stops of targets, %d judged, %d late starts; %d planned stops of instances, %d requests interrupted",
		len(s.leaves), judged, len(late), s.drains, len(s.interrupted))
}
