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

// systemSize is the number of processes and the duration of a run.
type systemSize struct {
	targets int
	entries int
	length  time.Duration
}

const (
	// answerTimeout is added to the length of a run to get the timeout of the
	// whole run. It is well above the longest timeout of a job.
	answerTimeout = 40 * time.Second
	// metricsDelay is the time until /metrics shows the latest counts.
	metricsDelay = 600 * time.Millisecond
)

var policies = []string{"default", "baseline"}

// compare runs a scenario with every policy at the same time, with the same jobs
// and targets, so that other load on the machine affects all policies equally.
func compare(ctx context.Context, bin string, sc scenario, seed uint64, sz systemSize) ([]Row, error) {
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

// runOnce starts a system, runs the scenario with one policy and seed, and stops
// the system.
func runOnce(ctx context.Context, bin string, sc scenario, policy string, seed uint64, sz systemSize) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, sz.length+answerTimeout)
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 1))
	specs := drawTargets(rng, sz.targets, sc.speedRatio)
	speeds := slotSpeeds(specs)
	jobs := sc.draw(rng, capacity(speeds), sz.length)
	s, err := newSystem(ctx, bin, policy, specs, sz.entries)
	if err != nil {
		return Row{}, err
	}
	defer s.fleet.Close()
	g, err := load.New(ctx, callers, s.entryURLs())
	if err != nil {
		return Row{}, err
	}
	before, err := s.sampleEntries()
	if err != nil {
		return Row{}, err
	}
	outcomes, err := s.runJobs(ctx, g, sc, jobs, sz.length)
	if err != nil {
		return Row{}, err
	}
	row := newRow(sc, policy, seed, outcomes, speeds)
	return row, s.recordCosts(ctx, &row, before, outcomes)
}

// runJobs submits the jobs and applies the fault of the scenario while they
// run. Without jobs it waits for the length of the run.
func (s *system) runJobs(ctx context.Context, g *load.Generator, sc scenario, jobs []load.Job, length time.Duration) ([]load.Outcome, error) {
	failed := make(chan error, 1)
	go func() {
		time.Sleep(faultDelay)
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

// sampleEntries samples each running entry instance. The result is keyed by the
// name of the instance.
func (s *system) sampleEntries() (map[string]procstat.Sample, error) {
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

// recordCosts adds messages, bytes and processor time to the row. It returns an
// error if an attempt was started more than once.
func (s *system) recordCosts(ctx context.Context, row *Row, before map[string]procstat.Sample, outcomes []load.Outcome) error {
	after, err := s.sampleEntries()
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
	starts = append(starts, s.killedTargetStarts...)
	row.addMessages(total, starts, outcomes)
	row.addUsage(before, after, len(starts))
	return checkDuplicateStarts(starts)
}

// checkDuplicateStarts returns an error if an attempt was started more than once.
func checkDuplicateStarts(starts []fleet.TaskStart) error {
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
