package policyrun

import (
	"slices"
	"time"
)

// Scenario describes the load and the faults of a run. Times are counted from
// the start of the run.
type Scenario struct {
	Name string
	// Length is how long jobs are submitted.
	Length time.Duration
	// Load is the offered work relative to the capacity of the targets.
	Load float64
	// BurstLoad replaces Load from 10 s to 12 s, if it is not 0.
	BurstLoad float64
	// MixedSpeeds gives the targets speeds from 0.5 to 2.
	MixedSpeeds bool
	// InaccurateDeclared makes declared run times wrong by a factor of up to 10.
	InaccurateDeclared bool
	// StragglerShare is the share of attempts that take ten times as long as
	// usual.
	StragglerShare float64
	// PoisonShare is the share of jobs whose tasks fail on every target.
	// TooLargeShare is the share of jobs that need more memory than any target
	// has.
	PoisonShare, TooLargeShare float64
	// HedgePercent is the bound on hedged attempts of the service, in percent of
	// its starts.
	HedgePercent int
	// Fault affects the first Faulty targets from 10 s to RepairAt, or to the
	// end of the run if RepairAt is 0.
	Fault    targetMode
	Faulty   int
	RepairAt time.Duration
	// WholeZone makes Fault affect all targets of the first availability zone,
	// whatever Faulty is.
	WholeZone bool
	// CancelWave cancels about half of the unanswered jobs at 10 s.
	CancelWave bool
	// FloodLoad is the load of the last team from 10 s on. If it is not 0, only
	// the jobs of the other teams are measured.
	FloodLoad float64
	// EjectionThreshold replaces the default of dispatch.Config, unless it is
	// negative.
	EjectionThreshold float64
	// MinBorrowBacklog replaces the default of dispatch.Config, if it is not 0.
	MinBorrowBacklog time.Duration
}

// faultAt is when faults, bursts, floods and cancellations begin.
const faultAt = 10 * time.Second

// Scenarios returns all scenarios.
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
		with("all-flaky", func(s *Scenario) { s.Fault, s.Faulty, s.Load, s.RepairAt = flaky, numTargets, 0.35, 25*time.Second }),
		with("target-dies", func(s *Scenario) { s.Fault, s.Faulty = crashed, 1 }),
		with("target-hangs", func(s *Scenario) { s.Fault, s.Faulty = hanging, 1 }),
		with("target-hangs-hedge", func(s *Scenario) { s.Fault, s.Faulty, s.HedgePercent = hanging, 1, 2 }),
		with("zone-dies", func(s *Scenario) { s.Fault, s.Faulty, s.Load, s.WholeZone = crashed, numTargets/numZones, 0.5, true }),
		with("never-run", func(s *Scenario) { s.TooLargeShare, s.PoisonShare = 0.2, 0.02 }),
		with("cancel-wave", func(s *Scenario) { s.CancelWave, s.Load = true, 0.9 }),
		with("flood-off", func(s *Scenario) { s.Load = 0.4 }),
		with("flood-on", func(s *Scenario) { s.Load, s.FloodLoad = 0.4, 3 }),
	}
}

// scheduleEvents schedules the load and the faults of a run and sets the
// measured window.
func (sim *simulation) scheduleEvents() {
	sc := sim.sc
	sim.openSessions()
	for _, team := range teams[:3] {
		sim.scheduleArrivals(team, func(t time.Duration) float64 {
			if sc.BurstLoad > 0 && t >= faultAt && t < faultAt+2*time.Second {
				return sc.BurstLoad / 3
			}
			return sc.Load / 3
		})
	}
	sim.scheduleArrivals(teams[3], func(t time.Duration) float64 {
		if t >= faultAt {
			return sc.FloodLoad
		}
		return 0
	})
	sim.After(faultAt, sim.injectFaults)
	if sc.RepairAt > 0 {
		sim.After(sc.RepairAt, sim.repairTargets)
	}
	if sc.CancelWave {
		sim.After(faultAt, sim.cancelHalf)
	}
	sim.measureWindow = [2]time.Time{sim.begin.Add(warmUp), sim.begin.Add(sc.Length)}
	switch {
	case sc.BurstLoad > 0:
		sim.measureWindow = [2]time.Time{sim.begin.Add(faultAt), sim.begin.Add(faultAt + 5*time.Second)}
	case sc.FloodLoad > 0 || sc.Name == "flood-off":
		sim.measureWindow[0] = sim.begin.Add(faultAt)
	}
}

// faultyTargets returns the targets that the fault affects.
func (sim *simulation) faultyTargets() []*target {
	if !sim.sc.WholeZone {
		return sim.targets[:sim.sc.Faulty]
	}
	return slices.DeleteFunc(slices.Clone(sim.targets), func(t *target) bool { return t.zone != 0 })
}

// injectFaults starts the fault of the scenario. The entry instances receive a
// target list without crashed targets after listDelay.
func (sim *simulation) injectFaults() {
	for _, t := range sim.faultyTargets() {
		if sim.sc.Fault == crashed {
			sim.crash(t)
			continue
		}
		t.mode = sim.sc.Fault
	}
	if sim.sc.Fault == crashed {
		sim.After(listDelay, func() {
			for _, e := range sim.entries {
				sim.sendTargetList(e)
			}
		})
	}
}

func (sim *simulation) repairTargets() {
	for _, t := range sim.faultyTargets() {
		t.mode = healthy
	}
}
