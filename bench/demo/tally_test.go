package demo

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"marigoldfront.dev/bench/fleet"
)

// plannedTally returns a tally in which every job has its planned answer, and
// the starts that the targets report in that case.
func plannedTally() (*tally, []fleet.TaskStart) {
	t := newTally()
	var starts []fleet.TaskStart
	for _, c := range callers {
		for z := range zones {
			var answers []ctlAnswer
			for i := range c.jobCount() {
				a := ctlAnswer{Job: i + 1, State: "complete", Starts: c.tasks}
				job := fmt.Sprintf("%s-%d-%d", c.name, z, i)
				switch {
				case i >= c.jobs+c.failingJobs:
					a.State, a.Starts = "not_run", 0
				case i >= c.jobs:
					a.State = "failed"
				}
				for task := range a.Starts {
					starts = append(starts, fleet.TaskStart{Job: job, Task: task, Attempt: 1, Caller: c.name})
					if a.State == "complete" {
						a.Results = append(a.Results, []byte(c.result(i, task)))
					}
				}
				answers = append(answers, a)
			}
			t.addAnswers(c, answers)
		}
	}
	return t, starts
}

// Guards against a check that passes although a task was started twice, an
// answer was partial, or the starts at the targets do not match the answers.
func TestCheckDetectsFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		injectFault func(*tally, []fleet.TaskStart) []fleet.TaskStart
		want        string
	}{
		{"no fault", func(_ *tally, s []fleet.TaskStart) []fleet.TaskStart { return s }, ""},
		{"second start", func(_ *tally, s []fleet.TaskStart) []fleet.TaskStart { return append(s, s[0]) }, "started twice"},
		{"second attempt of a task that is not repeatable", func(_ *tally, s []fleet.TaskStart) []fleet.TaskStart {
			last := s[len(s)-1]
			last.Attempt = 2
			return append(s, last)
		}, "started twice"},
		{"job without a start", func(_ *tally, s []fleet.TaskStart) []fleet.TaskStart { return s[callers[0].tasks:] }, "targets started"},
		{"wrong result", func(tl *tally, s []fleet.TaskStart) []fleet.TaskStart {
			tl.addAnswers(callers[0], []ctlAnswer{{Job: 1, State: "complete"}})
			tl.rows[callers[0].name].jobs--
			return s
		}, "partial"},
	} {
		tl, starts := plannedTally()
		tl.countStarts(c.injectFault(tl, starts))
		tl.print(io.Discard)
		err := tl.check()
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}
