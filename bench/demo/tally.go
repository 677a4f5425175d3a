package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"marigoldfront.dev/bench/fleet"
)

// tally compares what callers were told with what targets did.
type tally struct {
	rows map[string]*row
}

// row is the account of one caller.
type row struct {
	spec                              callerSpec
	jobs                              int
	complete, failed, notRun, unknown int
	// partial counts complete answers without every expected result, and other
	// answers with any.
	partial int
	// reported is the number of starts that the answers state.
	reported int
	// starts, startedJobs and twice are counted by the targets.
	starts, startedJobs, twice int
	// others holds the first answers that are not as planned.
	others []ctlAnswer
}

func newTally() *tally {
	t := &tally{rows: map[string]*row{}}
	for _, c := range callers {
		t.rows[c.name] = &row{spec: c}
	}
	return t
}

func (t *tally) add(c callerSpec, answers []ctlAnswer) {
	r := t.rows[c.name]
	for _, a := range answers {
		r.jobs++
		r.reported += a.Starts
		planned := "complete"
		switch i := a.Job - 1; {
		case i >= c.jobs+c.failing:
			planned = "not_run"
		case i >= c.jobs:
			planned = "failed"
		}
		if a.State != planned {
			r.others = append(r.others, a)
		}
		r.count(a)
	}
}

func (r *row) count(a ctlAnswer) {
	switch a.State {
	case "complete":
		r.complete++
		if !r.whole(a) {
			r.partial++
		}
		return
	case "failed":
		r.failed++
	case "not_run":
		r.notRun++
	case "unknown":
		r.unknown++
	}
	if len(a.Results) > 0 {
		r.partial++
	}
}

func (r *row) whole(a ctlAnswer) bool {
	if len(a.Results) != r.spec.tasks {
		return false
	}
	for i, b := range a.Results {
		if string(b) != r.spec.result(a.Job-1, i) {
			return false
		}
	}
	return true
}

// countStarts counts what the targets started. A start counts as twice if its
// attempt started before, or if any attempt of its task did and its job is
// not repeatable.
func (t *tally) countStarts(starts []fleet.TaskStart) {
	type task struct {
		job           string
		task, attempt int
	}
	seen := map[task]bool{}
	jobs := map[string]bool{}
	for _, s := range starts {
		r := t.rows[s.Caller]
		if r == nil {
			continue
		}
		key := task{s.Job, s.Task, s.Attempt}
		if !r.spec.repeatable {
			key.attempt = 0
		}
		r.starts++
		if seen[key] {
			r.twice++
		}
		if !jobs[s.Job] {
			r.startedJobs++
		}
		seen[key], jobs[s.Job] = true, true
	}
}

func (t *tally) print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "user\tcaller\trepeatable\tjobs\tcomplete\tfailed\tnot run\tunknown\tstarts at targets\tstarted twice")
	var s row
	for _, c := range callers {
		r := t.rows[c.name]
		fmt.Fprintf(tw, "%s\t%s\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.user, c.name, c.repeatable,
			r.jobs, r.complete, r.failed, r.notRun, r.unknown, r.starts, r.twice)
		s.jobs += r.jobs
		s.complete += r.complete
		s.failed += r.failed
		s.notRun += r.notRun
		s.unknown += r.unknown
		s.twice += r.twice
		s.partial += r.partial
	}
	tw.Flush()
	fmt.Fprintf(w, "demo: %d jobs, %d complete, %d failed, %d not run, %d unknown, %d started twice, %d partial\n",
		s.jobs, s.complete, s.failed, s.notRun, s.unknown, s.twice, s.partial)
}

// check returns an error unless every job has the planned answer and the
// targets started exactly the jobs whose answers say so.
func (t *tally) check() error {
	for _, c := range callers {
		r := t.rows[c.name]
		switch {
		case r.jobs != c.total()*len(zones):
			return fmt.Errorf("%s: %d jobs were answered, want %d", c.name, r.jobs, c.total()*len(zones))
		case r.twice+r.partial > 0:
			return fmt.Errorf("%s: %d started twice, %d partial", c.name, r.twice, r.partial)
		case len(r.others) > 0:
			a := r.others[0]
			return fmt.Errorf("%s: %d answers are not as planned, the first: job %d %s %s %s", c.name, len(r.others), a.Job, a.State, a.Code, a.Message)
		case r.startedJobs != r.complete+r.failed:
			return fmt.Errorf("%s: targets started %d jobs, but %d answers say so", c.name, r.startedJobs, r.complete+r.failed)
		case r.starts > r.reported || r.starts < r.complete*c.tasks:
			return fmt.Errorf("%s: targets made %d starts, answers report %d for %d complete jobs", c.name, r.starts, r.reported, r.complete)
		}
	}
	return nil
}
