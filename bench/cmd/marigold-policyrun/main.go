// Command marigold-policyrun runs the scenarios of package policyrun and
// prints their rows as a table.
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

type task struct {
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
	tasks := selectTasks(o)
	fmt.Println(policyrun.TableHeader)
	rows := runAll(tasks, o.Parallel)
	if o.Mean && len(o.Seeds) > 1 {
		rows = means(rows, len(o.Seeds))
	}
	for _, row := range rows {
		fmt.Println(row)
	}
}

// means replaces every n rows, which differ in their seeds, by their mean.
func means(rows []policyrun.Row, n int) []policyrun.Row {
	var out []policyrun.Row
	for i := 0; i+n <= len(rows); i += n {
		out = append(out, policyrun.Mean(rows[i:i+n]))
	}
	return out
}

func selectTasks(o options) []task {
	var tasks []task
	for _, sc := range policyrun.Scenarios() {
		if !selected(o.Scenarios, sc.Name) {
			continue
		}
		sc.EjectionThreshold = o.Threshold
		sc.MinBorrowBacklog = time.Duration(o.Borrow) * time.Millisecond
		for _, p := range strings.Split(o.Policies, ",") {
			for _, seed := range o.Seeds {
				tasks = append(tasks, task{sc, dispatch.PolicyName(p), seed})
			}
		}
	}
	return tasks
}

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

func runAll(tasks []task, parallel int) []policyrun.Row {
	rows := make([]policyrun.Row, len(tasks))
	limit := make(chan struct{}, max(1, parallel))
	var wg sync.WaitGroup
	for i, t := range tasks {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			rows[i] = policyrun.Run(t.scenario, t.policy, t.seed)
			<-limit
		}()
	}
	wg.Wait()
	return rows
}
