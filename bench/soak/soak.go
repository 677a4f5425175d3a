// Package soak runs the programs of the system under load and a seeded schedule
// of faults. It then compares the answers that the callers received with the
// task starts that the targets recorded.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/core/directory"
)

const (
	zones          = 3
	entriesPerZone = 2
	targetsPerZone = 3
	// recoveryTime is the wait after the last fault, in which the instances
	// reconnect to each other and fetch the newest ticket.
	recoveryTime = 6 * time.Second
	// ticketTimeout limits the time until every instance has applied a ticket.
	ticketTimeout = 6 * time.Second
	// setupTimeout limits the time until every instance has applied the first
	// ticket.
	setupTimeout = 15 * time.Second
)

// Config describes a soak run.
type Config struct {
	Duration time.Duration
	Seed     uint64
	// BinDir is the directory of the built programs.
	BinDir string
	// Out receives the progress, each fault of the schedule, and the summary.
	Out io.Writer
}

// Command is the soak subcommand.
type Command struct {
	Duration time.Duration `long:"duration" default:"2m" description:"time of load and failures"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load and of the failures"`
	BinDir   string        `long:"bin" description:"directory of the programs; default is that of this one"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	bin, err := fleet.BinDir(c.BinDir)
	if err != nil {
		return err
	}
	s, err := Run(Config{Duration: c.Duration, Seed: c.Seed, BinDir: bin, Out: os.Stdout})
	if err != nil {
		return err
	}
	if s.GuaranteeBroken() || s.StopViolations > 0 {
		return fmt.Errorf("the run with seed %d broke a guarantee", c.Seed)
	}
	return nil
}

// Run executes a soak run and prints its summary. It returns an error if the run
// fails, if a program exits unexpectedly, or if an instance does not apply the
// final ticket in time. Violations are reported in the summary only.
func Run(cfg Config) (Summary, error) {
	fmt.Fprintf(cfg.Out, "soak: seed %d, duration %v, %d entry instances, %d targets\n",
		cfg.Seed, cfg.Duration, zones*entriesPerZone, zones*targetsPerZone)
	c, err := newCluster(cfg.BinDir, zones, entriesPerZone, targetsPerZone, cfg.Seed)
	if err != nil {
		return Summary{}, err
	}
	defer c.close()
	if err := c.awaitTicket(setupTimeout); err != nil {
		return Summary{}, err
	}
	l := &load{cluster: c, api: newAPI(callerToken), stops: &plannedStops{}}
	runFaultsAndLoad(cfg, c, l)
	time.Sleep(recoveryTime)
	ticketErr := c.applyFinalTicket(cfg.Out)
	l.resolveUnanswered(cfg.Seed)
	starts, crashes := c.stopAll()
	s := verify(l.records, starts)
	planned := l.stops.report(&s, starts, c.instanceByIncarnation)
	for _, d := range s.Details {
		fmt.Fprintln(cfg.Out, "soak: "+d)
	}
	fmt.Fprintf(cfg.Out, "%s\nsoak: answers %v\n%v\n", planned, s.Answers, s)
	for _, crash := range crashes {
		err = errors.Join(err, errors.New(crash))
	}
	return s, errors.Join(err, ticketErr)
}

func runFaultsAndLoad(cfg Config, c *cluster, l *load) {
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Duration)
	defer cancel()
	var mu sync.Mutex
	injector := &faultInjector{cluster: c, stops: l.stops, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), startedAt: time.Now(), log: func(text string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(cfg.Out, text)
	}}
	var wg sync.WaitGroup
	wg.Go(func() { injector.run(ctx) })
	wg.Go(func() { l.run(ctx, cfg.Seed) })
	wg.Wait()
}

// applyFinalTicket adds a ticket after all faults are cleared. It returns an
// error if an instance has not applied the ticket within ticketTimeout.
func (c *cluster) applyFinalTicket(out io.Writer) error {
	if err := c.awaitTicket(time.Second); err != nil {
		return err
	}
	put := directory.State{Teams: map[string]directory.Team{teamName: {Name: teamName, Weight: 1000}}}
	if err := c.applyTicket(context.Background(), put); err != nil {
		return err
	}
	accepted := time.Now()
	err := c.awaitTicket(ticketTimeout)
	fmt.Fprintf(out, "soak: every instance had applied the last ticket after %v\n", time.Since(accepted).Round(time.Millisecond))
	return err
}

// awaitTicket waits until every instance has applied the newest ticket.
func (c *cluster) awaitTicket(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	newest, err := c.ticketLog().Head(ctx)
	if err != nil {
		return err
	}
	a := newAPI("")
	for _, e := range c.entries {
		var s struct {
			Ticket uint64 `json:"ticket"`
		}
		for {
			_, err := a.call(ctx, "GET", e.url()+"/v1/status", nil, &s)
			if err == nil && s.Ticket >= newest {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s has ticket %d after %v, the newest is %d (%w)", e.spec.Name, s.Ticket, limit, newest, err)
			}
			sleep(ctx, retryWait)
		}
	}
	return nil
}

// mustMarshal encodes v as JSON and panics on an error.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("soak: encode JSON: %v", err))
	}
	return b
}
