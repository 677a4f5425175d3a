// Package policies implements the policies subcommand, which compares policies of
// the scheduler in simulated time, with the same jobs, targets and faults.
package policies

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"marigoldfront.dev/bench/poolrun"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 0.5 * vg.Centimeter
)

// Command is the policies subcommand.
type Command struct {
	Seeds     int    `long:"seeds" default:"5" description:"Seeds to run each policy with"`
	FirstSeed uint64 `long:"first-seed" default:"1" description:"First seed"`
	Parallel  int    `long:"parallel" default:"3" description:"Runs at a time"`
	OutputDir string `long:"out" description:"Directory for policies.csv and policies.png; none are written by default"`
	Args      struct {
		File string `positional-arg-name:"EXPERIMENT" description:"TOML file with load, targets, faults and policies"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It prints the mean results of each policy,
// with the change of the earned share against the first policy and its standard
// error, and writes a table and a chart if an output directory is set.
func (c *Command) Execute([]string) error {
	exp, found := poolrun.Load(c.Args.File)
	if err := found.Err(); err != nil {
		return err
	}
	rows := c.runAll(exp)
	fmt.Printf(rowFormat+"  change of worth\n", columns...)
	means := make([]poolrun.Result, len(exp.Policies))
	for i, p := range exp.Policies {
		runs := rows[i*c.Seeds : (i+1)*c.Seeds]
		means[i] = poolrun.Mean(p.Name, runs)
		change, stdErr := poolrun.EarnedChange(rows[:c.Seeds], runs)
		fmt.Printf(rowFormat+"  %+.4f +- %.4f\n", append(rowValues(means[i], "mean"), change, stdErr)...)
	}
	fmt.Printf("\n%-32s %-24s %6s %7s\n", "policy", "kind", "worth", "refused")
	for _, r := range means {
		for _, k := range r.Kinds {
			fmt.Printf("%-32s %-24s %6.3f %7.3f\n", r.Policy, k.Name, k.EarnedShare, k.Refused)
		}
	}
	if c.OutputDir == "" {
		return nil
	}
	if err := writeCSV(filepath.Join(c.OutputDir, "policies.csv"), rows); err != nil {
		return err
	}
	return drawChart(filepath.Join(c.OutputDir, "policies.png"), means)
}

// runAll runs every policy with every seed, at most c.Parallel runs at a time. It
// returns the results ordered by policy and then by seed.
func (c *Command) runAll(exp poolrun.Experiment) []poolrun.Result {
	rows := make([]poolrun.Result, len(exp.Policies)*c.Seeds)
	limit := make(chan struct{}, max(1, c.Parallel))
	var wg sync.WaitGroup
	for i := range rows {
		limit <- struct{}{}
		wg.Go(func() {
			rows[i] = poolrun.Run(exp, exp.Policies[i/c.Seeds], c.FirstSeed+uint64(i%c.Seeds))
			<-limit
		})
	}
	wg.Wait()
	return rows
}

const rowFormat = "%-32s %5s %6s %6s %7s %7s %7s %7s %6s %7s %6s %7s %7s %7s %7s %7s %7s %8s"

var columns = []any{
	"policy", "seed", "jobs", "worth", "windows", "kind", "largest", "in_time", "late", "refused", "failed", "unknown",
	"p50_ms", "p99_ms", "starts", "looks", "wakes", "wasted_s",
}

// rowValues returns the values of a row in the order of columns.
func rowValues(r poolrun.Result, seed string) []any {
	f := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	return []any{
		r.Policy, seed, strconv.Itoa(r.Jobs), f(r.EarnedShare, 3), f(r.WorstWindowsShare, 3), f(r.WorstKindShare, 3), f(r.LargestShare, 3), f(r.InTime, 3),
		f(r.Late, 3), f(r.Refused, 3), f(r.Failed, 3), f(r.Unknown, 3), f(r.P50, 0), f(r.P99, 0),
		strconv.Itoa(r.Starts), strconv.Itoa(r.Polls), strconv.Itoa(r.TimerWakes), f(r.WastedCoreSeconds, 0),
	}
}

// writeCSV writes the results as a CSV file with a header line.
func writeCSV(path string, rows []poolrun.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	write := func(values []any) {
		line := make([]string, len(values))
		for i, v := range values {
			line[i] = fmt.Sprint(v)
		}
		// Error returns the first error of the writer.
		_ = w.Write(line)
	}
	write(columns)
	for _, r := range rows {
		write(rowValues(r, strconv.FormatUint(r.Seed, 10)))
	}
	w.Flush()
	return w.Error()
}

// drawChart draws a bar chart with the earned share of each policy: overall, in the
// worst windows and for the worst kind of job.
func drawChart(path string, rows []poolrun.Result) error {
	p := plot.New()
	p.Title.Text = "Share of the worth that is earned, mean over seeds"
	p.Y.Min, p.Y.Max = 0, 1
	var names []string
	bars := make([]plotter.Values, 3)
	for _, r := range rows {
		names = append(names, r.Policy)
		for i, v := range []float64{r.EarnedShare, r.WorstWindowsShare, r.WorstKindShare} {
			bars[i] = append(bars[i], v)
		}
	}
	for i, label := range []string{"whole run", "worst windows", "worst kind"} {
		b, err := plotter.NewBarChart(bars[i], barWidth)
		if err != nil {
			return err
		}
		b.Color = plotutil.Color(i)
		b.Offset = vg.Length(i-1) * barWidth
		p.Add(b)
		p.Legend.Add(label, b)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}
