// Package job holds the record of one admitted submission: the attempts of
// each task, what is known of their ends, and the answer that follows. The
// record decides whether an attempt may be made at all and panics where its
// owner tries one that the guarantees forbid.
package job

import (
	"fmt"

	"marigoldfront.dev/core/answer"
)

// Outcome is how an attempt ended, as far as the job is concerned.
type Outcome int

// The ends of an attempt.
const (
	// Succeeded says that the task ran and returned a result.
	Succeeded Outcome = iota + 1
	// Failed says that the task ran and failed.
	Failed
	// NotStarted says that the task certainly did not run.
	NotStarted
	// Ambiguous says that the task may have run.
	Ambiguous
)

// ReportResult says what a report of an attempt's end is worth.
type ReportResult int

// The verdicts on a report. Only an Accepted one changes the job.
const (
	Accepted ReportResult = iota + 1
	// Duplicate says that the end of the attempt is already on record.
	Duplicate
	// WrongTarget says that the report comes from another target than the one
	// that the attempt was sent to.
	WrongTarget
	// UnknownAttempt says that no such attempt was ever made.
	UnknownAttempt
	// Late says that the job has its answer. The attempt is no longer in
	// flight.
	Late
)

// Job is the record of one submission. Its owner serialises all calls.
type Job struct {
	id         fmt.Stringer
	repeatable bool
	final      bool
	tasks      []task
	done       int
	starts     int
	inFlight   int
	ambiguous  int
	checks     uint64
}

type task struct {
	attempts []attempt
	result   []byte
	done     bool
	inFlight int
	// consumed counts the attempts that ran or may have run.
	consumed int
	refused  int
}

type attempt struct {
	target string
	end    Outcome
}

// New returns the record of a submission of n tasks. The id appears in panics.
func New(id fmt.Stringer, n int, repeatable bool) *Job {
	return &Job{id: id, repeatable: repeatable, tasks: make([]task, n)}
}

// StartAttempt records an attempt and returns its number, counted from 1 for each
// task. It panics where the attempt could run a task that is not repeatable
// for a second time (P5), or could run a task of an answered job.
func (j *Job) StartAttempt(i int, target string) int {
	t := &j.tasks[i]
	j.check(!j.final, i, "start after the answer")
	j.check(!t.done, i, "start of a finished task")
	j.check(j.repeatable || t.inFlight+t.consumed == 0, i, "second start of a task that is not repeatable")
	t.attempts = append(t.attempts, attempt{target: target})
	t.inFlight++
	j.inFlight++
	j.starts++
	return len(t.attempts)
}

// ReportOutcome records the end of an attempt as its target told it. The result is
// kept only for an accepted Succeeded.
func (j *Job) ReportOutcome(i, number int, target string, end Outcome, result []byte) ReportResult {
	a := j.attempt(i, number)
	switch {
	case a == nil:
		return UnknownAttempt
	case a.target != target:
		return WrongTarget
	case a.end != 0:
		return Duplicate
	}
	t := &j.tasks[i]
	a.end = end
	t.inFlight--
	j.inFlight--
	if j.final || t.done {
		return Late
	}
	j.record(t, end, result)
	return Accepted
}

func (j *Job) record(t *task, end Outcome, result []byte) {
	switch end {
	case NotStarted:
		t.refused++
		return
	case Ambiguous:
		j.ambiguous++
	case Succeeded:
		t.done = true
		t.result = result
		j.done++
	case Failed:
	default:
		panic(fmt.Sprintf("job %s: unknown end %d", j.id, end))
	}
	t.consumed++
}

// attempt returns nil where the attempt was never made.
func (j *Job) attempt(i, number int) *attempt {
	if i < 0 || i >= len(j.tasks) || number < 1 || number > len(j.tasks[i].attempts) {
		return nil
	}
	return &j.tasks[i].attempts[number-1]
}

// AbandonAttempt ends an attempt whose lease has passed without a report, so that it
// is no longer in flight. It reports whether the attempt was.
func (j *Job) AbandonAttempt(i, number int) bool {
	a := j.attempt(i, number)
	if a == nil || a.end != 0 {
		return false
	}
	return j.ReportOutcome(i, number, a.target, Ambiguous, nil) != Duplicate
}

// Complete closes the job with the results of all tasks. It panics where one
// is missing, because an answer is never partial (P2).
func (j *Job) Complete() answer.Complete {
	j.check(!j.final, -1, "second answer")
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		j.check(t.done, i, "complete answer without a result")
		results[i] = t.result
		t.result = nil
	}
	j.final = true
	return answer.Complete{Results: results, Starts: j.starts}
}

// Fail closes the job without results. The state of the answer follows from
// the record: NotRun without any attempted start (P4), Unknown where a task
// that is not repeatable may have run without a known end, Failed otherwise.
func (j *Job) Fail(r answer.Reason) answer.Answer {
	j.check(!j.final, -1, "second answer")
	j.final = true
	for i := range j.tasks {
		j.tasks[i].result = nil
	}
	switch {
	case j.starts == 0:
		return answer.NewNotRun(j, r)
	case !j.repeatable && j.inFlight+j.ambiguous > 0:
		return answer.Unknown{Reason: r, Starts: j.starts}
	default:
		return answer.Failed{Reason: r, Starts: j.starts}
	}
}

// check counts a checked invariant and panics where it does not hold.
func (j *Job) check(ok bool, task int, msg string) {
	j.checks++
	if !ok {
		panic(fmt.Sprintf("job %s task %d: %s", j.id, task, msg))
	}
}

// TaskCount is the number of tasks.
func (j *Job) TaskCount() int { return len(j.tasks) }

// Repeatable says whether a task may run more than once.
func (j *Job) Repeatable() bool { return j.repeatable }

// Answered says whether the job has its answer.
func (j *Job) Answered() bool { return j.final }

// AllTasksDone says whether every task is done.
func (j *Job) AllTasksDone() bool { return j.done == len(j.tasks) }

// InFlight is the number of attempts without a known end.
func (j *Job) InFlight() int { return j.inFlight }

// StartsAttempted implements answer.StartCounter.
func (j *Job) StartsAttempted() int { return j.starts }

// InvariantChecks is the number of invariants checked so far.
func (j *Job) InvariantChecks() uint64 { return j.checks }

// TaskDone says whether the task has its result.
func (j *Job) TaskDone(i int) bool { return j.tasks[i].done }

// TaskInFlight is the number of attempts of the task without a known end.
func (j *Job) TaskInFlight(i int) int { return j.tasks[i].inFlight }

// TaskAttemptsUsed is the number of ended attempts of the task that ran or may
// have run; refused ones do not count.
func (j *Job) TaskAttemptsUsed(i int) int { return j.tasks[i].consumed }

// TaskNotStarted is the number of attempts that certainly did not run.
func (j *Job) TaskNotStarted(i int) int { return j.tasks[i].refused }

// ForEachTaskTarget calls f with the target of each attempt of the task until f
// returns false.
func (j *Job) ForEachTaskTarget(i int, f func(target string) bool) {
	for _, a := range j.tasks[i].attempts {
		if !f(a.target) {
			return
		}
	}
}

// ForEachInFlight calls f for each attempt that is in flight, in the order of
// the tasks.
func (j *Job) ForEachInFlight(f func(task, number int, target string)) {
	for i := range j.tasks {
		for n, a := range j.tasks[i].attempts {
			if a.end == 0 {
				f(i, n+1, a.target)
			}
		}
	}
}

// IsInFlight says whether an attempt is in flight.
func (j *Job) IsInFlight(i, number int) bool {
	a := j.attempt(i, number)
	return a != nil && a.end == 0
}
