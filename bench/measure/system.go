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
	region         = "gh-south"
	zone           = "accra"
	service        = "appraisal-desk"
	connections    = 64
	memoryMB       = 128 << 10
	targetsPerRack = 8
	ticketTimeout  = 10 * time.Second
	hedgePercent   = 2
)

// slotChoices holds the numbers of slots from which that of each target is
// drawn.
var slotChoices = []int{2, 4, 6}

var callers = []load.Caller{
	{Name: "quiet", Token: "measure-token-quiet", Service: service},
	{Name: "loud", Token: "measure-token-loud", Service: service},
}

// system holds the processes of one run.
type system struct {
	fleet   *fleet.Fleet
	targets []*fleet.Target
	entries []*fleet.Entry
	// killedTargetStarts are the starts of the target that was killed, read
	// before it was killed.
	killedTargetStarts []fleet.TaskStart
}

// drawTargets returns n targets. Their numbers of slots, and which target has
// which speed, are drawn from rng.
func drawTargets(rng *rand.Rand, n int, speedRatio float64) []fleet.TargetSpec {
	var specs []fleet.TargetSpec
	for i := range n {
		// The logarithms of the speeds are evenly spaced, so that the fastest
		// and the slowest target differ exactly by the factor speedRatio.
		position := 2*float64(i)/float64(max(1, n-1)) - 1
		specs = append(specs, fleet.TargetSpec{
			Name: fmt.Sprintf("worker-%02d", i), Region: region, AvailabilityZone: zone,
			Rack: fmt.Sprintf("rack-%d", i/targetsPerRack), Services: []string{service},
			Slots: slotChoices[rng.IntN(len(slotChoices))], Connections: connections,
			Speed: math.Pow(speedRatio, position/2), Seed: rng.Uint64(), MemoryMB: memoryMB,
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

// capacity returns the number of tasks of the mean run time that the slots can
// run per second.
func capacity(speeds []float64) float64 {
	total := 0.0
	for _, s := range speeds {
		total += s
	}
	return total / meanRunTime.Seconds()
}

// newSystem starts the targets and entry instances and configures them. The
// processes are stopped if any step fails.
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

// configure applies a ticket with the service, the callers and the targets, and
// waits until all entry instances have it in force.
func (s *system) configure(ctx context.Context) error {
	var cs []directory.Caller
	for _, c := range callers {
		cs = append(cs, directory.Caller{Name: c.Name, Team: "team-" + c.Name, Owner: "bench",
			TokenSHA256: fleet.TokenSHA256(c.Token), Services: []string{service}})
	}
	svc := directory.Service{Name: service, Owner: "bench", ExpectedMS: meanRunTime.Milliseconds(), HedgePercent: hedgePercent, MaxAttempts: 3}
	n, err := s.fleet.ApplyTicket(ctx, s.fleet.DirectoryState([]directory.Service{svc}, cs))
	if err != nil {
		return err
	}
	return s.fleet.AwaitTicket(n, ticketTimeout)
}

func (s *system) entryURLs() []string {
	var l []string
	for _, e := range s.entries {
		l = append(l, e.URL())
	}
	return l
}

// failTargets makes the first n targets fail every task immediately.
func (s *system) failTargets(n int) error {
	for _, t := range s.targets[:n] {
		if err := t.SetFailAll(true); err != nil {
			return err
		}
	}
	return nil
}

// killTarget saves the starts of the first target and kills the target.
func (s *system) killTarget() error {
	starts, err := s.targets[0].TaskStarts()
	if err != nil {
		return err
	}
	s.killedTargetStarts = starts
	s.targets[0].Kill()
	return nil
}

// markTargetLeaving marks the first target as leaving on the instance list.
func (s *system) markTargetLeaving() error { return s.fleet.MarkTargetLeaving(s.targets[0]) }

// storeOutage makes the store unavailable for the rest of the run.
func (s *system) storeOutage() error {
	outage := true
	return s.fleet.Platform.SetFaults(fleet.Faults{Outage: &outage})
}

// killEntry kills the first entry instance and removes it from the instance
// list.
func (s *system) killEntry() error {
	s.entries[0].Kill()
	return s.fleet.Platform.Remove(s.entries[0].EntrySpec.Name)
}
