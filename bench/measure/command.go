// Package measure compares the policies of the dispatcher on real processes,
// under load and under faults. It measures the response time relative to the
// ideal, wasted messages, and processor time.
package measure

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"marigoldfront.dev/bench/fleet"
)

const (
	defaultTargets = 12
	defaultEntries = 3
	defaultLength  = 4 * time.Second
	shortTargets   = 4
	shortEntries   = 2
	shortLength    = 1500 * time.Millisecond
)

// Command is the measure subcommand of marigold-bench.
type Command struct {
	Bin       string   `long:"bin" description:"Directory of the built programs; the one of this program by default"`
	Seeds     int      `long:"seeds" default:"3" description:"Seeds to run each scenario with"`
	FirstSeed uint64   `long:"first-seed" default:"1" description:"First seed"`
	Scenario  []string `long:"scenario" description:"Run only scenarios whose name contains this; may be repeated"`
	Short     bool     `long:"short" description:"Run each scenario for 1.5 s on a small system with one seed"`
	Out       string   `long:"out" description:"Directory for measure.csv and measure.png; the one of the programs by default"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	bin, err := fleet.BinDir(c.Bin)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	rows, err := c.run(ctx, bin)
	if err != nil {
		return err
	}
	return c.report(bin, rows)
}

// run runs each selected scenario with every seed and policy, and prints the
// rows as they are measured.
func (c *Command) run(ctx context.Context, bin string) ([]Row, error) {
	sz := systemSize{targets: defaultTargets, entries: defaultEntries, length: defaultLength}
	seeds := c.Seeds
	if c.Short {
		sz, seeds = systemSize{targets: shortTargets, entries: shortEntries, length: shortLength}, 1
	}
	var rows []Row
	printHeader(os.Stdout)
	for _, sc := range scenarios {
		if !c.selected(sc) {
			continue
		}
		for i := range seeds {
			pair, err := compare(ctx, bin, sc, c.FirstSeed+uint64(i), sz)
			if err != nil {
				return nil, err
			}
			for _, r := range pair {
				r.print(os.Stdout)
			}
			rows = append(rows, pair...)
		}
	}
	return rows, nil
}

func (c *Command) selected(sc scenario) bool {
	return len(c.Scenario) == 0 || slices.ContainsFunc(c.Scenario, func(s string) bool { return strings.Contains(sc.name, s) })
}

// report prints the summary and writes measure.csv and measure.png.
func (c *Command) report(bin string, rows []Row) error {
	printSummary(os.Stdout, rows)
	out := c.Out
	if out == "" {
		out = bin
	}
	if err := writeCSV(filepath.Join(out, "measure.csv"), rows); err != nil {
		return err
	}
	if err := plotSlowdown(filepath.Join(out, "measure.png"), rows); err != nil {
		return err
	}
	fmt.Printf("written: measure.csv and measure.png in %s\n", out)
	return nil
}
