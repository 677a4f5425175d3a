package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// leaveNoticeLimit is the time after which a leaving target must not be
	// given new tasks.
	leaveNoticeLimit = 3 * time.Second
	// minInFlightTime is the duration above which a failed request counts as
	// accepted by the instance. A shorter one may have failed because it was
	// sent on a connection that the instance was closing.
	minInFlightTime = 200 * time.Millisecond
)

type interval struct{ from, to time.Time }

func (i interval) overlaps(o interval) bool { return i.from.Before(o.to) && o.from.Before(i.to) }

// leavingPeriod is the time during which a target was on the instance list as
// leaving before it was stopped.
type leavingPeriod struct {
	target string
	interval
}

// plannedStops records the planned stops of a run and their violations. It is
// safe for concurrent use.
type plannedStops struct {
	mu             sync.Mutex
	leavingPeriods []leavingPeriod
	// exempt holds, by instance name, the intervals in which the instance may
	// have been unable to read the instance list or was paused. The limit for
	// leaving targets does not apply to it in these intervals.
	exempt        map[string][]interval
	drains        int
	interruptions []string
}

func (s *plannedStops) addLeavingPeriod(l leavingPeriod) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingPeriods = append(s.leavingPeriods, l)
}

// runExempt calls do and exempts the instances from the limit for leaving
// targets meanwhile. The exemption ends leaveNoticeLimit later, because the
// instances first have to read the instance list again.
func (s *plannedStops) runExempt(instances []*entry, do func() error) error {
	from := time.Now()
	err := do()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exempt == nil {
		s.exempt = map[string][]interval{}
	}
	for _, e := range instances {
		s.exempt[e.spec.Name] = append(s.exempt[e.spec.Name], interval{from, time.Now().Add(leaveNoticeLimit)})
	}
	return err
}

func (s *plannedStops) countDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains++
}

func (s *plannedStops) addInterruption(instance string, err error, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptions = append(s.interruptions, fmt.Sprintf("the planned stop of %s interrupted a request after %v: %v",
		instance, elapsed.Round(time.Millisecond), err))
}

// lateStarts returns the starts at targets that had been leaving for longer than
// leaveNoticeLimit. It leaves out the starts by instances that were exempt or
// whose incarnation was not recorded, and returns their number as unchecked.
// instanceByIncarnation maps incarnations, which are the prefixes of job names,
// to instances: only the home instance of a session starts its jobs.
func (s *plannedStops) lateStarts(starts []taskStart, instanceByIncarnation map[string]string) (late []taskStart, unchecked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leavingPeriods {
		for _, st := range starts {
			at := time.UnixMilli(st.TimeUnixMS)
			if st.Target != l.target || !at.After(l.from.Add(leaveNoticeLimit)) || !at.Before(l.to) {
				continue
			}
			incarnation, _, _ := strings.Cut(st.Job, "-")
			if instance, ok := instanceByIncarnation[incarnation]; !ok || s.isExempt(instance, l.interval) {
				unchecked++
				continue
			}
			late = append(late, st)
		}
	}
	return late, unchecked
}

func (s *plannedStops) isExempt(instance string, i interval) bool {
	return slices.ContainsFunc(s.exempt[instance], i.overlaps)
}

// report adds the late starts and the interrupted requests to the summary, and
// returns a line about the planned stops of targets and of instances.
func (s *plannedStops) report(sum *Summary, starts []taskStart, instanceByIncarnation map[string]string) string {
	late, unchecked := s.lateStarts(starts, instanceByIncarnation)
	for _, st := range late {
		sum.addViolation(&sum.StopViolations, "a task was started at a leaving target: %+v", st)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, text := range s.interruptions {
		sum.addViolation(&sum.StopViolations, "%s", text)
	}
	return fmt.Sprintf("soak: %d planned stops of targets, %d late starts, %d by instances that could not read the instance list; "+
		"%d planned stops of instances, %d requests interrupted", len(s.leavingPeriods), len(late), unchecked, s.drains, len(s.interruptions))
}
