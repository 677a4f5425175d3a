// Command marigold-policyrun runs the scenarios of package policyrun in
// simulated time and prints one table row for each run.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"marigoldfront.dev/bench/policyrun"
	"marigoldfront.dev/core/dispatch"
)

type options struct {
	Scenarios string   `long:"scenarios" description:"comma-separated parts of scenario names; all if empty"`
	Policies  string   `long:"policies" default:"load,baseline" description:"comma-separated policies"`
	Seeds     []uint64 `long:"seed" description:"seed of a run; may be repeated"`
	Threshold float64  `long:"threshold" default:"-1" description:"ejection threshold, 0 to 1; 0 turns it off, -1 stands for the default"`
	Borrow    int64    `long:"borrow-ms" description:"backlog in ms from which slots of others are used; 0 for the default"`
	Mean      bool     `long:"mean" description:"print the mean over the seeds only"`
	Parallel  int      `long:"parallel" default:"3" description:"runs at a time"`
}

// runSpec identifies one run: a scenario, a policy and a seed.
type runSpec struct {
	scenario policyrun.Scenario
	policy   dispatch.PolicyName
	seed     uint64
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3}
	}
	runs := selectRuns(o)
	fmt.Println(policyrun.TableHeader)
	rows := runAll(runs, o.Parallel)
	if o.Mean && len(o.Seeds) > 1 {
		rows = meanOverSeeds(rows, len(o.Seeds))
	}
	for _, row := range rows {
		fmt.Println(row)
	}
}

// meanOverSeeds replaces each group of n consecutive rows, which differ only in
// their seeds, by their mean.
func meanOverSeeds(rows []policyrun.Row, n int) []policyrun.Row {
	var meanRows []policyrun.Row
	for i := 0; i+n <= len(rows); i += n {
		meanRows = append(meanRows, policyrun.Mean(rows[i:i+n]))
	}
	return meanRows
}

// selectRuns returns the runs of the selected scenarios, ordered by scenario,
// policy and seed.
func selectRuns(o options) []runSpec {
	var runs []runSpec
	for _, sc := range policyrun.Scenarios() {
		if !selected(o.Scenarios, sc.Name) {
			continue
		}
		sc.EjectionThreshold = o.Threshold
		sc.MinBorrowBacklog = time.Duration(o.Borrow) * time.Millisecond
		for _, p := range strings.Split(o.Policies, ",") {
			for _, seed := range o.Seeds {
				runs = append(runs, runSpec{sc, dispatch.PolicyName(p), seed})
			}
		}
	}
	return runs
}

// selected reports whether the name contains one of the comma-separated parts of
// the list. An empty list selects every name.
func selected(list, name string) bool {
	if list == "" {
		return true
	}
	for _, part := range strings.Split(list, ",") {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// runAll executes the runs, at most parallel at a time, and returns their rows
// in the order of the runs.
func runAll(runs []runSpec, parallel int) []policyrun.Row {
	rows := make([]policyrun.Row, len(runs))
	semaphore := make(chan struct{}, max(1, parallel))
	var wg sync.WaitGroup
	for i, t := range runs {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			rows[i] = policyrun.Run(t.scenario, t.policy, t.seed)
			<-semaphore
		}()
	}
	wg.Wait()
	return rows
}
