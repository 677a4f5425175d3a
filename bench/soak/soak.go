// Package soak runs the programs of the system under a seeded schedule of
// failures, and compares what the callers were told with what the targets did.
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
	// healTime is given to the instances after the last failure, to find each
	// other and the newest ticket again.
	healTime = 6 * time.Second
	// ticketBound is the time within which a ticket is in force everywhere.
	ticketBound = 6 * time.Second
	// setupTime bounds the time until the first ticket is in force.
	setupTime = 15 * time.Second
)

// Config describes a run.
type Config struct {
	Duration time.Duration
	Seed     uint64
	// BinDir is the directory of the programs.
	BinDir string
	// Out takes the progress and the schedule as it is carried out.
	Out io.Writer
}

// Command is the subcommand soak.
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
		return errors.New("a guarantee was broken")
	}
	return nil
}

// Run carries out one run and prints its verdict. The error is that of a run
// that could not be carried out, or of a program that ended by itself.
func Run(cfg Config) (Summary, error) {
	fmt.Fprintf(cfg.Out, "soak: seed %d, duration %v, %d entry instances, %d targets\n",
		cfg.Seed, cfg.Duration, zones*entriesPerZone, zones*targetsPerZone)
	c, err := newCluster(cfg.BinDir, zones, entriesPerZone, targetsPerZone, cfg.Seed)
	if err != nil {
		return Summary{}, err
	}
	defer c.close()
	if err := c.awaitTicket(setupTime); err != nil {
		return Summary{}, err
	}
	l := &load{c: c, api: newAPI(callerToken), stops: &stops{}}
	disturbAndLoad(cfg, c, l)
	time.Sleep(healTime)
	ticketErr := c.finalTicket(cfg.Out)
	l.settle(cfg.Seed)
	starts, crashes := c.finish()
	s := verify(l.records, starts)
	planned := l.stops.report(&s, starts, c.homes)
	for _, d := range s.Details {
		fmt.Fprintln(cfg.Out, "soak: "+d)
	}
	fmt.Fprintf(cfg.Out, "%s\nsoak: answers %v\n%v\n", planned, s.Answers, s)
	for _, crash := range crashes {
		err = errors.Join(err, errors.New(crash))
	}
	return s, errors.Join(err, ticketErr)
}

func disturbAndLoad(cfg Config, c *cluster, l *load) {
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Duration)
	defer cancel()
	var mu sync.Mutex
	ch := &chaos{c: c, stops: l.stops, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), began: time.Now(), log: func(text string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(cfg.Out, text)
	}}
	var wg sync.WaitGroup
	wg.Go(func() { ch.run(ctx) })
	wg.Go(func() { l.run(ctx, cfg.Seed) })
	wg.Wait()
}

// finalTicket accepts a ticket once all failures are undone, and returns an
// error if it is not in force everywhere within the bound.
func (c *cluster) finalTicket(out io.Writer) error {
	if err := c.awaitTicket(time.Second); err != nil {
		return err
	}
	put := directory.State{Teams: map[string]directory.Team{teamName: {Name: teamName, Weight: 1000}}}
	if err := c.accept(context.Background(), put); err != nil {
		return err
	}
	accepted := time.Now()
	err := c.awaitTicket(ticketBound)
	fmt.Fprintf(out, "soak: the last ticket was in force everywhere after %v\n", time.Since(accepted).Round(time.Millisecond))
	return err
}

// awaitTicket waits until the newest ticket is in force at every instance.
func (c *cluster) awaitTicket(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	head, err := c.log().Head(ctx)
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
			if err == nil && s.Ticket >= head {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s has ticket %d after %v, the newest is %d (%w)", e.spec.Name, s.Ticket, limit, head, err)
			}
			sleep(ctx, retryWait)
		}
	}
	return nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("soak: plain fields not encoded: %v", err))
	}
	return b
}
