package measure

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/bench/load"
	"marigoldfront.dev/core/directory"
)

const (
	region       = "gh-south"
	zone         = "accra"
	service      = "appraisal-desk"
	connections  = 64
	memoryMB     = 128 << 10
	perRack      = 8
	ticketLimit  = 10 * time.Second
	hedgePercent = 2
)

// Slots are drawn from these.
var slotChoices = []int{2, 4, 6}

var callers = []load.Caller{
	{Name: "quiet", Token: "measure-token-quiet", Service: service},
	{Name: "loud", Token: "measure-token-loud", Service: service},
}

// system is the fleet of one run.
type system struct {
	fleet   *fleet.Fleet
	targets []*fleet.Target
	entries []*fleet.Entry
	// lostStarts are the starts of a target that was killed.
	lostStarts []fleet.TaskStart
}

// drawTargets returns targets with slots and speeds drawn from rng.
func drawTargets(rng *rand.Rand, n int, spread float64) []fleet.TargetSpec {
	var specs []fleet.TargetSpec
	for i := range n {
		// Evenly spaced logarithms keep the spread at its stated value.
		position := 2*float64(i)/float64(max(1, n-1)) - 1
		specs = append(specs, fleet.TargetSpec{
			Name: fmt.Sprintf("worker-%02d", i), Region: region, AvailabilityZone: zone,
			Rack: fmt.Sprintf("rack-%d", i/perRack), Services: []string{service},
			Slots: slotChoices[rng.IntN(len(slotChoices))], Connections: connections,
			Speed: math.Pow(spread, position/2), Seed: rng.Uint64(), MemoryMB: memoryMB,
		})
	}
	rng.Shuffle(n, func(i, j int) { specs[i].Speed, specs[j].Speed = specs[j].Speed, specs[i].Speed })
	return specs
}

// slotSpeeds returns the speed of each slot.
func slotSpeeds(specs []fleet.TargetSpec) []float64 {
	var speeds []float64
	for _, t := range specs {
		for range t.Slots {
			speeds = append(speeds, t.Speed)
		}
	}
	return speeds
}

// capacity returns how many tasks of the mean run time the slots can run a
// second.
func capacity(speeds []float64) float64 {
	total := 0.0
	for _, s := range speeds {
		total += s
	}
	return total / meanRun.Seconds()
}

func newSystem(ctx context.Context, bin, policy string, specs []fleet.TargetSpec, entries int) (*system, error) {
	f, err := fleet.New(bin)
	if err != nil {
		return nil, err
	}
	s := &system{fleet: f, targets: make([]*fleet.Target, len(specs)), entries: make([]*fleet.Entry, entries)}
	var g errgroup.Group
	for i, spec := range specs {
		g.Go(func() (err error) {
			s.targets[i], err = f.StartTarget(spec)
			return err
		})
	}
	for i := range entries {
		g.Go(func() (err error) {
			s.entries[i], err = f.StartEntry(fleet.EntrySpec{Name: fmt.Sprintf("entry-%d", i), Region: region, AvailabilityZone: zone, Policy: policy, LogLevel: "warn"})
			return err
		})
	}
	err = g.Wait()
	if err == nil {
		err = s.configure(ctx)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return s, nil
}

func (s *system) configure(ctx context.Context) error {
	var cs []directory.Caller
	for _, c := range callers {
		cs = append(cs, directory.Caller{Name: c.Name, Team: "team-" + c.Name, Owner: "bench",
			TokenSHA256: fleet.TokenSHA256(c.Token), Services: []string{service}})
	}
	desk := directory.Service{Name: service, Owner: "bench", ExpectedMS: meanRun.Milliseconds(), HedgePercent: hedgePercent, MaxAttempts: 3}
	n, err := s.fleet.ApplyTicket(ctx, s.fleet.DirectoryState([]directory.Service{desk}, cs))
	if err != nil {
		return err
	}
	return s.fleet.AwaitTicket(n, ticketLimit)
}

func (s *system) bases() []string {
	var l []string
	for _, e := range s.entries {
		l = append(l, e.URL())
	}
	return l
}

// failTargets makes the first n targets fail every task at once.
func (s *system) failTargets(n int) error {
	for _, t := range s.targets[:n] {
		if err := t.SetFailAll(true); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) killTarget() error {
	starts, err := s.targets[0].TaskStarts()
	if err != nil {
		return err
	}
	s.lostStarts = starts
	s.targets[0].Kill()
	return nil
}

func (s *system) leaveTarget() error { return s.fleet.MarkTargetLeaving(s.targets[0]) }

func (s *system) storeOutage() error {
	outage := true
	return s.fleet.Platform.SetFaults(fleet.Faults{Outage: &outage})
}

func (s *system) killEntry() error {
	s.entries[0].Kill()
	return s.fleet.Platform.Remove(s.entries[0].EntrySpec.Name)
}
