// Package slopes measures the memory, processor time, I/O and store calls of an
// entry process at several numbers of targets, sessions, queued tasks, tickets
// and peers. It fits a line to the measurements, whose slope is the cost per
// unit.
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

// Command is the slopes subcommand of marigold-bench.
type Command struct {
	Bin    string        `long:"bin" description:"Directory of the built programs; the one of this program by default"`
	Only   []string      `long:"only" value-name:"UNIT" description:"Measure only target, session, queued_task, ticket or peer; may be repeated"`
	Window time.Duration `long:"window" default:"6s" description:"How long each size is observed while idle"`
	Short  bool          `long:"short" description:"Measure two small sizes of each with a window of 0.5 s"`
}

// benchmark names a unit whose cost is measured, and the numbers of units to
// measure at.
type benchmark struct {
	unit       string
	sizes      []int
	shortSizes []int
	// measure starts a system, adds the given number of units and measures the
	// entry processes.
	measure func(context.Context, *environment, int) (Measurement, error)
}

var benchmarks = []benchmark{
	{"target", []int{100, 1000, 2000, 3400}, []int{10, 100}, measureTargets},
	{"session", []int{1000, 5000, 10_000, 20_000}, []int{10, 100}, measureSessions},
	// The queue holds 20,000 tasks, of which one team may use half.
	{"queued_task", []int{2000, 4000, 6000, 9000}, []int{100, 500}, measureQueuedTasks},
	{"ticket", []int{100, 250, 500, 1000}, []int{5, 20}, measureTickets},
	{"peer", []int{6, 24, 48, 96}, []int{2, 4}, measurePeers},
}

// environment holds the settings that all measurements share.
type environment struct {
	bin string
	// window is how long the idle processes are observed.
	window time.Duration
	// settle is the pause after a change of the system, before the next step.
	settle time.Duration
}

// Measurement is the resource usage of an entry process at one size. Memory and
// idle usage are averages over all entry processes of the run.
type Measurement struct {
	// Size is the number of units.
	Size int
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes float64
	// IdleCPU is the processor time in ms per second while idle.
	IdleCPU float64
	// IdleIO is the number of bytes read and written per second while idle.
	IdleIO float64
	// IdleStoreCalls is the number of calls to the store per second while idle.
	IdleStoreCalls float64
	// SetupCPU is the processor time in ms that the first entry process spent
	// while the units were added.
	SetupCPU float64
	// PropagationTime is the longest time in ms from the acceptance of a ticket
	// until all entry processes have it in force, or 0 if it was not measured.
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
	env := &environment{bin: bin, window: c.Window, settle: defaultSettle}
	if c.Short {
		env.window, env.settle = shortWindow, shortSettle
	}
	for _, b := range benchmarks {
		if len(c.Only) > 0 && !slices.Contains(c.Only, b.unit) {
			continue
		}
		sizes := b.sizes
		if c.Short {
			sizes = b.shortSizes
		}
		if err := b.run(ctx, env, sizes, os.Stdout); err != nil {
			return fmt.Errorf("%s: %w", b.unit, err)
		}
	}
	return nil
}

// run measures every size and prints the measurements and the slopes.
func (b benchmark) run(ctx context.Context, env *environment, sizes []int, w io.Writer) error {
	fmt.Fprintf(w, "%-12s %7s %12s %12s %14s %14s %14s %12s\n", "unit", "size", "resident_KB", "cpu_ms/s", "io_bytes/s", "store_calls/s", "setup_cpu_ms", "in_force_ms")
	var measurements []Measurement
	for _, n := range sizes {
		m, err := b.measure(ctx, env, n)
		if err != nil {
			return err
		}
		m.Size = n
		measurements = append(measurements, m)
		fmt.Fprintf(w, "%-12s %7d %12.0f %12.2f %14.0f %14.2f %14.0f %12.0f\n",
			b.unit, n, m.ResidentBytes/1024, m.IdleCPU, m.IdleIO, m.IdleStoreCalls, m.SetupCPU, m.PropagationTime)
	}
	printSlopes(w, b.unit, measurements)
	return nil
}

// printSlopes prints the increase of each measured quantity per unit.
func printSlopes(w io.Writer, unit string, measurements []Measurement) {
	for _, q := range []struct {
		name  string
		value func(Measurement) float64
	}{
		{"resident bytes", func(m Measurement) float64 { return m.ResidentBytes }},
		{"idle CPU, us/s", func(m Measurement) float64 { return 1000 * m.IdleCPU }},
		{"idle I/O, bytes/s", func(m Measurement) float64 { return m.IdleIO }},
		{"store calls/s per instance", func(m Measurement) float64 { return m.IdleStoreCalls }},
		{"setup CPU, us", func(m Measurement) float64 { return 1000 * m.SetupCPU }},
	} {
		var xs, ys []float64
		for _, m := range measurements {
			xs, ys = append(xs, float64(m.Size)), append(ys, q.value(m))
		}
		f := fitLine(xs, ys)
		fmt.Fprintf(w, "slope: %s per %s: %.4g (at size 0: %.4g, r2 %.3f)\n", q.name, unit, f.slope, f.intercept, f.r2)
	}
	fmt.Fprintln(w)
}
