package policyrun

import (
	"slices"
	"time"
)

// Scenario describes a run. Times count from its begin.
type Scenario struct {
	Name   string
	Length time.Duration
	// Load is the offered work relative to the capacity.
	Load float64
	// BurstLoad replaces the load from 10 s on for 2 s, if it is not 0.
	BurstLoad float64
	// MixedSpeeds draws targets of half to double speed.
	MixedSpeeds        bool
	InaccurateDeclared bool
	// StragglerShare is the share of attempts that take ten times as long.
	StragglerShare float64
	// PoisonShare and TooLargeShare are the shares of jobs that fail on every target and
	// that fit none.
	PoisonShare, TooLargeShare float64
	HedgePercent               int
	// Fault happens to the first Faulty targets at 10 s and ends at RepairAt,
	// if that is not 0.
	Fault    mode
	Faulty   int
	RepairAt time.Duration
	// WholeZone makes the faulty targets those of the first availability zone.
	WholeZone  bool
	CancelWave bool
	// FloodLoad is the load of the team that floods from 10 s on. Only the jobs of
	// the others are measured.
	FloodLoad float64
	// EjectionThreshold replaces the default of the Config, unless it is negative.
	EjectionThreshold float64
	// MinBorrowBacklog replaces the default of the Config, if it is not 0.
	MinBorrowBacklog time.Duration
}

const faultAt = 10 * time.Second

// Scenarios lists all runs.
func Scenarios() []Scenario {
	base := Scenario{Length: 45 * time.Second, Load: 0.7, EjectionThreshold: -1}
	with := func(name string, f func(*Scenario)) Scenario {
		s := base
		s.Name = name
		f(&s)
		return s
	}
	return []Scenario{
		with("steady-50", func(s *Scenario) { s.Load = 0.5 }),
		with("steady-70", func(*Scenario) {}),
		with("steady-90", func(s *Scenario) { s.Load = 0.9 }),
		with("burst-3x", func(s *Scenario) { s.Load, s.BurstLoad, s.Length = 0.5, 3, 20*time.Second }),
		with("speeds-70", func(s *Scenario) { s.MixedSpeeds = true }),
		with("declared-10x", func(s *Scenario) { s.InaccurateDeclared = true }),
		with("declared-10x-speeds", func(s *Scenario) { s.InaccurateDeclared, s.MixedSpeeds = true, true }),
		with("stragglers", func(s *Scenario) { s.StragglerShare = 0.02 }),
		with("stragglers-hedge", func(s *Scenario) { s.StragglerShare, s.HedgePercent = 0.02, 2 }),
		with("one-fails-fast", func(s *Scenario) { s.Fault, s.Faulty = failing, 1 }),
		with("60-percent-fail", func(s *Scenario) { s.Fault, s.Faulty, s.Load, s.RepairAt = failing, 29, 0.35, 25*time.Second }),
		with("60-percent-flaky", func(s *Scenario) { s.Fault, s.Faulty, s.Load, s.RepairAt = flaky, 29, 0.35, 25*time.Second }),
		with("all-flaky", func(s *Scenario) { s.Fault, s.Faulty, s.Load, s.RepairAt = flaky, targets, 0.35, 25*time.Second }),
		with("target-dies", func(s *Scenario) { s.Fault, s.Faulty = dead, 1 }),
		with("target-hangs", func(s *Scenario) { s.Fault, s.Faulty = hanging, 1 }),
		with("target-hangs-hedge", func(s *Scenario) { s.Fault, s.Faulty, s.HedgePercent = hanging, 1, 2 }),
		with("zone-dies", func(s *Scenario) { s.Fault, s.Faulty, s.Load, s.WholeZone = dead, targets/zones, 0.5, true }),
		with("never-run", func(s *Scenario) { s.TooLargeShare, s.PoisonShare = 0.2, 0.02 }),
		with("cancel-wave", func(s *Scenario) { s.CancelWave, s.Load = true, 0.9 }),
		with("flood-off", func(s *Scenario) { s.Load = 0.4 }),
		with("flood-on", func(s *Scenario) { s.Load, s.FloodLoad = 0.4, 3 }),
	}
}

// prepare schedules the load and the faults of a run.
func (w *world) prepare() {
	sc := w.sc
	w.openSessions()
	for _, team := range teams[:3] {
		w.arrive(team, func(t time.Duration) float64 {
			if sc.BurstLoad > 0 && t >= faultAt && t < faultAt+2*time.Second {
				return sc.BurstLoad / 3
			}
			return sc.Load / 3
		})
	}
	w.arrive(teams[3], func(t time.Duration) float64 {
		if t >= faultAt {
			return sc.FloodLoad
		}
		return 0
	})
	w.After(faultAt, w.breakTargets)
	if sc.RepairAt > 0 {
		w.After(sc.RepairAt, w.repairTargets)
	}
	if sc.CancelWave {
		w.After(faultAt, w.cancelWave)
	}
	w.window = [2]time.Time{w.begin.Add(warmUp), w.begin.Add(sc.Length)}
	switch {
	case sc.BurstLoad > 0:
		w.window = [2]time.Time{w.begin.Add(faultAt), w.begin.Add(faultAt + 5*time.Second)}
	case sc.FloodLoad > 0 || sc.Name == "flood-off":
		w.window[0] = w.begin.Add(faultAt)
	}
}

func (w *world) faulty() []*target {
	if !w.sc.WholeZone {
		return w.targets[:w.sc.Faulty]
	}
	return slices.DeleteFunc(slices.Clone(w.targets), func(t *target) bool { return t.zone != 0 })
}

func (w *world) breakTargets() {
	for _, t := range w.faulty() {
		if w.sc.Fault == dead {
			w.kill(t)
			continue
		}
		t.mode = w.sc.Fault
	}
	if w.sc.Fault == dead {
		w.After(listLag, func() {
			for _, e := range w.entries {
				w.list(e)
			}
		})
	}
}

func (w *world) repairTargets() {
	for _, t := range w.faulty() {
		t.mode = serving
	}
}
