// Package demo runs a small system end to end. It starts stand-ins for
// the platform and the targets, and six entry instances in three availability
// zones. It applies a configuration ticket and submits jobs of two users with
// marigoldctl. It then compares the answers with the starts that the targets
// report.
package demo

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldfront.dev/bench/fleet"
)

const (
	region            = "gh-south"
	entriesPerZone    = 2
	targetsPerZone    = 2
	targetSlots       = 4
	targetConnections = 64
	targetMemoryMB    = 128 << 10
	ticketTimeout     = "10s"
	// stopDelay is the time from the first submission until one entry instance
	// is stopped.
	stopDelay      = 700 * time.Millisecond
	targetsPerRack = 2
)

var zones = []string{"accra", "kumasi", "takoradi"}

// Command is the demo subcommand of marigold-bench.
type Command struct {
	Bin   string `long:"bin" description:"Directory of the built programs; the one of this program by default"`
	Hold  bool   `long:"hold" description:"Keep the processes after the run until interrupted, and print their addresses"`
	Trace bool   `long:"trace" description:"Let entry instances write their spans to NAME.trace beside their logs"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	bin, err := fleet.BinDir(c.Bin)
	if err != nil {
		return err
	}
	f, err := fleet.New(bin)
	if err != nil {
		return err
	}
	defer f.Close()
	return c.run(f, os.Stdout)
}

func (c *Command) run(f *fleet.Fleet, w io.Writer) error {
	if err := c.startFleet(f); err != nil {
		return err
	}
	fmt.Fprintf(w, "started: 1 platform stand-in, %d targets, %d entry instances in %d availability zones\n",
		len(f.Targets()), len(f.Entries()), len(zones))
	if err := applyTicket(f, w); err != nil {
		return err
	}
	t, err := submitAll(f, w)
	if err != nil {
		return err
	}
	starts, err := f.TaskStarts()
	if err != nil {
		return err
	}
	t.countStarts(starts)
	t.print(w)
	err = t.check()
	if c.Hold {
		waitForInterrupt(f, w)
	}
	return err
}

// startFleet starts the targets of every service and the entry instances in
// each availability zone, all in parallel.
func (c *Command) startFleet(f *fleet.Fleet) error {
	var g errgroup.Group
	for z, zone := range zones {
		for i := range targetsPerZone {
			for s, service := range services() {
				g.Go(func() error {
					_, err := f.StartTarget(fleet.TargetSpec{
						Name: fmt.Sprintf("%s-%s-%d", zone, service, i+1), Region: region, AvailabilityZone: zone,
						Rack:     fmt.Sprintf("%s-rack-%d", zone, i/targetsPerRack+1),
						Services: []string{service}, Slots: targetSlots, Connections: targetConnections,
						Speed: 1 + float64(i)/2, Seed: uint64(100*z + 10*s + i), MemoryMB: targetMemoryMB,
					})
					return err
				})
			}
		}
		for i := range entriesPerZone {
			g.Go(func() error {
				spec := fleet.EntrySpec{Name: fmt.Sprintf("%s-entry-%d", zone, i+1), Region: region, AvailabilityZone: zone}
				if c.Trace {
					spec.Trace = filepath.Join(f.Dir(), spec.Name+".trace")
				}
				_, err := f.StartEntry(spec)
				return err
			})
		}
	}
	return g.Wait()
}

// submitAll submits the jobs of every caller in every availability zone. It
// stops one entry instance gracefully while the jobs run.
func submitAll(f *fleet.Fleet, w io.Writer) (*tally, error) {
	t := newTally()
	var mu sync.Mutex
	var g errgroup.Group
	for n, c := range callers {
		for _, zone := range zones {
			g.Go(func() error {
				answers, err := submit(f, c, zone, n)
				if err != nil {
					return fmt.Errorf("%s in %s: %w", c.name, zone, err)
				}
				mu.Lock()
				defer mu.Unlock()
				t.addAnswers(c, answers)
				return nil
			})
		}
	}
	time.Sleep(stopDelay)
	stopped := sortedEntries(f)[0]
	begin := time.Now()
	if err := f.StopEntry(stopped); err != nil {
		return nil, err
	}
	fmt.Fprintf(w, "stopped: %s gracefully while jobs ran, within %v\n", stopped.EntrySpec.Name, time.Since(begin).Round(10*time.Millisecond))
	return t, g.Wait()
}
