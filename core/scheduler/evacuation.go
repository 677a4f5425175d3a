package scheduler

import "time"

// evacuated reports whether the target's availability zone is evacuated.
func (t *target) evacuated() bool { return !t.evacuatedSince.IsZero() }

// evacuate replaces the set of evacuated availability zones. Runs go on. A target whose
// zone is taken back is polled before it gets work: its clock was not read meanwhile,
// and it may have restarted.
func (s *Scheduler) evacuate(zones []string) {
	since := make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		since[zone] = s.now
		if at, ok := s.evacuatedSince[zone]; ok {
			since[zone] = at
		}
	}
	s.evacuatedSince = since
	for _, t := range s.sortedTargets {
		at := since[t.Zone]
		if t.evacuated() && at.IsZero() {
			t.synced, t.nextPoll = false, s.now
		}
		t.evacuatedSince = at
	}
}

// mayFinishOn reports whether a job that has started may start its remaining tasks on a
// target that has just begun to drain or to be evacuated. A job that arrived after the
// evacuation may not.
func (s *Scheduler) mayFinishOn(t *target, j *job) bool {
	return j.started && s.isJustLeaving(t) && (!t.evacuated() || j.Arrived.Before(t.evacuatedSince))
}
