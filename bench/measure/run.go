package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/bench/load"
	"marigoldfront.dev/bench/procstat"
	"marigoldfront.dev/bench/scrape"
)

// size is the size of a run.
type size struct {
	targets int
	entries int
	length  time.Duration
}

const (
	// runLimit ends a run whose jobs are not answered, well after the longest
	// timeout.
	runLimit = 40 * time.Second
	// metricsDelay is the time after which counters have reached /metrics.
	metricsDelay = 600 * time.Millisecond
)

var policies = []string{"default", "baseline"}

// compare runs a scenario with every policy side by side, with the same jobs
// and targets, so that the machine's noise hits all of them.
func compare(ctx context.Context, bin string, sc scenario, seed uint64, sz size) ([]Row, error) {
	rows := make([]Row, len(policies))
	var g errgroup.Group
	for i, policy := range policies {
		g.Go(func() (err error) {
			rows[i], err = runOnce(ctx, bin, sc, policy, seed, sz)
			if err != nil {
				err = fmt.Errorf("%s, policy %s, seed %d: %w", sc.name, policy, seed, err)
			}
			return err
		})
	}
	return rows, g.Wait()
}

func runOnce(ctx context.Context, bin string, sc scenario, policy string, seed uint64, sz size) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, sz.length+runLimit)
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 1))
	specs := drawTargets(rng, sz.targets, sc.spread)
	speeds := slotSpeeds(specs)
	jobs := sc.draw(rng, capacity(speeds), sz.length)
	s, err := newSystem(ctx, bin, policy, specs, sz.entries)
	if err != nil {
		return Row{}, err
	}
	defer s.fleet.Close()
	g, err := load.New(ctx, callers, s.bases())
	if err != nil {
		return Row{}, err
	}
	before, err := s.usage()
	if err != nil {
		return Row{}, err
	}
	outcomes, err := s.execute(ctx, g, sc, jobs, sz.length)
	if err != nil {
		return Row{}, err
	}
	row := newRow(sc, policy, seed, outcomes, speeds)
	return row, s.account(ctx, &row, before, outcomes)
}

// execute submits the jobs and applies the fault meanwhile.
func (s *system) execute(ctx context.Context, g *load.Generator, sc scenario, jobs []load.Job, length time.Duration) ([]load.Outcome, error) {
	failed := make(chan error, 1)
	go func() {
		time.Sleep(faultAt)
		if sc.fault == nil {
			failed <- nil
			return
		}
		failed <- sc.fault(s)
	}()
	if len(jobs) == 0 {
		time.Sleep(length)
	}
	outcomes := g.Run(ctx, jobs)
	return outcomes, <-failed
}

// usage samples each entry instance that runs.
func (s *system) usage() (map[string]procstat.Sample, error) {
	m := map[string]procstat.Sample{}
	for _, e := range s.entries {
		if e.Exited() {
			continue
		}
		u, err := e.Sample()
		if err != nil {
			return nil, err
		}
		m[e.EntrySpec.Name] = u
	}
	return m, nil
}

// account adds messages, bytes and processor time to the row.
func (s *system) account(ctx context.Context, row *Row, before map[string]procstat.Sample, outcomes []load.Outcome) error {
	after, err := s.usage()
	if err != nil {
		return err
	}
	time.Sleep(metricsDelay)
	total := scrape.Values{}
	for _, e := range s.entries {
		if e.Exited() {
			continue
		}
		v, err := scrape.Fetch(ctx, e.URL())
		if err != nil {
			return err
		}
		total.Add(v)
	}
	starts, err := s.fleet.TaskStarts()
	if err != nil {
		return err
	}
	starts = append(starts, s.lostStarts...)
	row.countMessages(total, starts, outcomes)
	row.countUsage(before, after, len(starts))
	return twice(starts)
}

// twice returns an error if an attempt was started more than once.
func twice(starts []fleet.TaskStart) error {
	seen := map[fleet.TaskStart]bool{}
	for _, s := range starts {
		s.TimeUnixMS, s.Target = 0, ""
		if seen[s] {
			return fmt.Errorf("job %s, task %d, attempt %d was started twice", s.Job, s.Task, s.Attempt)
		}
		seen[s] = true
	}
	return nil
}
