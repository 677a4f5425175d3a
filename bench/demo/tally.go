package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"marigoldfront.dev/bench/fleet"
)

// tally compares the answers that callers received with the starts that the
// targets report.
type tally struct {
	// rows holds the counts by caller name.
	rows map[string]*callerCounts
}

// callerCounts holds the counts of one caller's jobs.
type callerCounts struct {
	spec                              callerSpec
	jobs                              int
	complete, failed, notRun, unknown int
	// partial is the number of complete answers that lack an expected result,
	// plus the number of other answers that contain a result.
	partial int
	// reportedStarts is the number of starts according to the answers.
	reportedStarts int
	// starts, startedJobs and startedTwice are counted from the targets'
	// reports: all starts, jobs with at least one start, and repeated starts.
	starts, startedJobs, startedTwice int
	// unplanned holds the answers whose state differs from the planned one.
	unplanned []ctlAnswer
}

func newTally() *tally {
	t := &tally{rows: map[string]*callerCounts{}}
	for _, c := range callers {
		t.rows[c.name] = &callerCounts{spec: c}
	}
	return t
}

func (t *tally) addAnswers(c callerSpec, answers []ctlAnswer) {
	r := t.rows[c.name]
	for _, a := range answers {
		r.jobs++
		r.reportedStarts += a.Starts
		planned := "complete"
		switch i := a.Job - 1; {
		case i >= c.jobs+c.failingJobs:
			planned = "not_run"
		case i >= c.jobs:
			planned = "failed"
		}
		if a.State != planned {
			r.unplanned = append(r.unplanned, a)
		}
		r.countAnswer(a)
	}
}

func (r *callerCounts) countAnswer(a ctlAnswer) {
	switch a.State {
	case "complete":
		r.complete++
		if !r.hasAllResults(a) {
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

// hasAllResults reports whether the answer contains the expected result of
// every task.
func (r *callerCounts) hasAllResults(a ctlAnswer) bool {
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

// countStarts counts the starts that the targets report. A task of a repeatable
// job is started twice if the same attempt is started again. A task of any
// other job is started twice if any second start of the task occurs.
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
			r.startedTwice++
		}
		if !jobs[s.Job] {
			r.startedJobs++
		}
		seen[key], jobs[s.Job] = true, true
	}
}

// print writes a table with one line per caller, and the totals.
func (t *tally) print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "user\tcaller\trepeatable\tjobs\tcomplete\tfailed\tnot run\tunknown\tstarts at targets\tstarted twice")
	var total callerCounts
	for _, c := range callers {
		r := t.rows[c.name]
		fmt.Fprintf(tw, "%s\t%s\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.user, c.name, c.repeatable,
			r.jobs, r.complete, r.failed, r.notRun, r.unknown, r.starts, r.startedTwice)
		total.jobs += r.jobs
		total.complete += r.complete
		total.failed += r.failed
		total.notRun += r.notRun
		total.unknown += r.unknown
		total.startedTwice += r.startedTwice
		total.partial += r.partial
	}
	tw.Flush()
	fmt.Fprintf(w, "demo: %d jobs, %d complete, %d failed, %d not run, %d unknown, %d started twice, %d partial\n",
		total.jobs, total.complete, total.failed, total.notRun, total.unknown, total.startedTwice, total.partial)
}

// check returns an error unless every job has the planned answer, no start is
// repeated, no answer is partial, and the targets started exactly the jobs that
// were answered complete or failed.
func (t *tally) check() error {
	for _, c := range callers {
		r := t.rows[c.name]
		switch {
		case r.jobs != c.jobCount()*len(zones):
			return fmt.Errorf("%s: %d jobs were answered, want %d", c.name, r.jobs, c.jobCount()*len(zones))
		case r.startedTwice+r.partial > 0:
			return fmt.Errorf("%s: %d started twice, %d partial", c.name, r.startedTwice, r.partial)
		case len(r.unplanned) > 0:
			a := r.unplanned[0]
			return fmt.Errorf("%s: %d answers have an unexpected state, the first: job %d %s %s %s", c.name, len(r.unplanned), a.Job, a.State, a.Code, a.Message)
		case r.startedJobs != r.complete+r.failed:
			return fmt.Errorf("%s: targets started %d jobs, but %d answers are complete or failed", c.name, r.startedJobs, r.complete+r.failed)
		case r.starts > r.reportedStarts || r.starts < r.complete*c.tasks:
			return fmt.Errorf("%s: targets made %d starts, answers report %d for %d complete jobs", c.name, r.starts, r.reportedStarts, r.complete)
		}
	}
	return nil
}
