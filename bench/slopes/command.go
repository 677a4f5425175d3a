// Package slopes measures what an entry process costs per target, session,
// queued task, ticket and peer, at several sizes, and fits the slopes.
package slopes

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"marigoldfront.dev/bench/fleet"
)

const (
	defaultSettle = 2 * time.Second
	shortSettle   = 200 * time.Millisecond
	shortWindow   = 500 * time.Millisecond
)

// Command is the slopes subcommand.
type Command struct {
	Bin    string        `long:"bin" description:"Directory of the built programs; the one of this program by default"`
	Only   []string      `long:"only" value-name:"UNIT" description:"Measure only target, session, queued_task, ticket or peer; may be repeated"`
	Window time.Duration `long:"window" default:"6s" description:"How long each size is observed while idle"`
	Short  bool          `long:"short" description:"Measure two small sizes of each with a window of 0.5 s"`
}

// bench is one quantity with the sizes to measure it at.
type bench struct {
	unit  string
	sizes []int
	short []int
	// point sets up an entry process with n units and observes it.
	point func(context.Context, *run, int) (Measurement, error)
}

var benches = []bench{
	{"target", []int{100, 1000, 2000, 3400}, []int{10, 100}, targets},
	{"session", []int{1000, 5000, 10_000, 20_000}, []int{10, 100}, sessions},
	// One team may use half of the queue of 20,000 tasks.
	{"queued_task", []int{2000, 4000, 6000, 9000}, []int{100, 500}, queuedTasks},
	{"ticket", []int{100, 250, 500, 1000}, []int{5, 20}, tickets},
	{"peer", []int{6, 24, 48, 96}, []int{2, 4}, peers},
}

// run holds what all points share.
type run struct {
	bin    string
	window time.Duration
	// settle is the pause after a change before the next step.
	settle time.Duration
}

// Measurement is what one entry process used at one size.
type Measurement struct {
	Size int
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes float64
	// IdleCPU is the processor time in ms per second while idle.
	IdleCPU float64
	// IdleIO is the number of bytes read and written per second while idle.
	IdleIO float64
	// IdleStoreCalls is the number of calls per second while idle.
	IdleStoreCalls float64
	// SetupCPU is the processor time in ms that bringing the units in took.
	SetupCPU float64
	// PropagationTime is the longest time in ms from the acceptance of a ticket until
	// all entry processes have it in force; 0 where it was not measured.
	PropagationTime float64
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	bin, err := fleet.BinDir(c.Bin)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	r := &run{bin: bin, window: c.Window, settle: defaultSettle}
	if c.Short {
		r.window, r.settle = shortWindow, shortSettle
	}
	for _, b := range benches {
		if len(c.Only) > 0 && !slices.Contains(c.Only, b.unit) {
			continue
		}
		sizes := b.sizes
		if c.Short {
			sizes = b.short
		}
		if err := b.run(ctx, r, sizes, os.Stdout); err != nil {
			return fmt.Errorf("%s: %w", b.unit, err)
		}
	}
	return nil
}

func (b bench) run(ctx context.Context, r *run, sizes []int, w io.Writer) error {
	fmt.Fprintf(w, "%-12s %7s %12s %12s %14s %14s %14s %12s\n", "unit", "size", "resident_KB", "cpu_ms/s", "io_bytes/s", "store_calls/s", "setup_cpu_ms", "in_force_ms")
	var points []Measurement
	for _, n := range sizes {
		p, err := b.point(ctx, r, n)
		if err != nil {
			return err
		}
		p.Size = n
		points = append(points, p)
		fmt.Fprintf(w, "%-12s %7d %12.0f %12.2f %14.0f %14.2f %14.0f %12.0f\n",
			b.unit, n, p.ResidentBytes/1024, p.IdleCPU, p.IdleIO, p.IdleStoreCalls, p.SetupCPU, p.PropagationTime)
	}
	printSlopes(w, b.unit, points)
	return nil
}

// printSlopes prints the increase per unit of each quantity.
func printSlopes(w io.Writer, unit string, points []Measurement) {
	for _, q := range []struct {
		name string
		of   func(Measurement) float64
	}{
		{"resident bytes", func(p Measurement) float64 { return p.ResidentBytes }},
		{"idle CPU, us/s", func(p Measurement) float64 { return 1000 * p.IdleCPU }},
		{"idle I/O, bytes/s", func(p Measurement) float64 { return p.IdleIO }},
		{"store calls/s per instance", func(p Measurement) float64 { return p.IdleStoreCalls }},
		{"setup CPU, us", func(p Measurement) float64 { return 1000 * p.SetupCPU }},
	} {
		var xs, ys []float64
		for _, p := range points {
			xs, ys = append(xs, float64(p.Size)), append(ys, q.of(p))
		}
		f := fit(xs, ys)
		fmt.Fprintf(w, "slope: %s per %s: %.4g (at size 0: %.4g, r2 %.3f)\n", q.name, unit, f.slope, f.intercept, f.r2)
	}
	fmt.Fprintln(w)
}
