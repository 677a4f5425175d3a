// Package job holds the record of one admitted submission: the attempts of
// each task, their known outcomes, and the answer that results. The record
// enforces the guarantees for job execution: it panics if its owner starts an
// attempt that would violate one of them.
package job

import (
	"fmt"

	"marigoldfront.dev/core/answer"
)

// Outcome is the result of an attempt from the point of view of the job.
type Outcome int

// The outcomes of an attempt. The zero value means that the attempt is in
// flight.
const (
	// Succeeded means that the task ran and returned a result.
	Succeeded Outcome = iota + 1
	// Failed means that the task ran and failed.
	Failed
	// NotStarted means that the task definitely did not run.
	NotStarted
	// Ambiguous means that the task may have run.
	Ambiguous
)

// ReportResult is the result of ReportOutcome.
type ReportResult int

// The results of a report. Only an Accepted report affects the answer of the
// job.
const (
	Accepted ReportResult = iota + 1
	// Duplicate means that the outcome of the attempt is already recorded.
	Duplicate
	// WrongTarget means that the report comes from a different target than the
	// one that the attempt was sent to.
	WrongTarget
	// UnknownAttempt means that no such attempt was made.
	UnknownAttempt
	// Late means that the job is already answered or the task already has its
	// result. The attempt is no longer in flight, and its outcome is ignored.
	Late
)

// Job is the record of one submission. It is not safe for concurrent use.
type Job struct {
	id              fmt.Stringer
	repeatable      bool
	answered        bool
	tasks           []task
	done            int
	starts          int
	inFlight        int
	ambiguous       int
	invariantChecks uint64
}

type task struct {
	attempts []attempt
	result   []byte
	done     bool
	inFlight int
	// attemptsUsed counts the ended attempts that ran or may have run.
	attemptsUsed int
	// notStarted counts the ended attempts that did not run.
	notStarted int
}

type attempt struct {
	target  string
	outcome Outcome
}

// New returns the record of a submission of n tasks. The id appears in panics.
func New(id fmt.Stringer, n int, repeatable bool) *Job {
	return &Job{id: id, repeatable: repeatable, tasks: make([]task, n)}
}

// StartAttempt records an attempt of task i and returns its number, counted
// from 1 for each task. It panics if the job is answered, if the task already
// has its result, or if the attempt could run a task that is not repeatable for
// a second time (guarantee P5).
func (j *Job) StartAttempt(i int, target string) int {
	t := &j.tasks[i]
	j.checkInvariant(!j.answered, i, "start of an attempt after the answer")
	j.checkInvariant(!t.done, i, "start of an attempt of a task that has its result")
	j.checkInvariant(j.repeatable || t.inFlight+t.attemptsUsed == 0, i, "second start of a task that is not repeatable")
	t.attempts = append(t.attempts, attempt{target: target})
	t.inFlight++
	j.inFlight++
	j.starts++
	return len(t.attempts)
}

// ReportOutcome records the outcome of an attempt as the target reported it.
// The result is kept only if the outcome is Succeeded and the report is
// Accepted.
func (j *Job) ReportOutcome(i, number int, target string, outcome Outcome, result []byte) ReportResult {
	a := j.attempt(i, number)
	switch {
	case a == nil:
		return UnknownAttempt
	case a.target != target:
		return WrongTarget
	case a.outcome != 0:
		return Duplicate
	}
	t := &j.tasks[i]
	a.outcome = outcome
	t.inFlight--
	j.inFlight--
	if j.answered || t.done {
		return Late
	}
	j.applyOutcome(t, outcome, result)
	return Accepted
}

func (j *Job) applyOutcome(t *task, outcome Outcome, result []byte) {
	switch outcome {
	case NotStarted:
		t.notStarted++
		return
	case Ambiguous:
		j.ambiguous++
	case Succeeded:
		t.done = true
		t.result = result
		j.done++
	case Failed:
	default:
		panic(fmt.Sprintf("job %s: unknown outcome %d", j.id, outcome))
	}
	t.attemptsUsed++
}

// attempt returns the record of an attempt, or nil if no such attempt was made.
func (j *Job) attempt(i, number int) *attempt {
	if i < 0 || i >= len(j.tasks) || number < 1 || number > len(j.tasks[i].attempts) {
		return nil
	}
	return &j.tasks[i].attempts[number-1]
}

// AbandonAttempt records the outcome Ambiguous for an attempt whose lease has
// expired without a report, so that it is no longer in flight. It reports
// whether the attempt was in flight.
func (j *Job) AbandonAttempt(i, number int) bool {
	a := j.attempt(i, number)
	if a == nil || a.outcome != 0 {
		return false
	}
	return j.ReportOutcome(i, number, a.target, Ambiguous, nil) != Duplicate
}

// Complete answers the job with the results of all tasks. It panics if a result
// is missing, because an answer is never partial (guarantee P2).
func (j *Job) Complete() answer.Complete {
	j.checkInvariant(!j.answered, -1, "second answer")
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		j.checkInvariant(t.done, i, "complete answer without the result of a task")
		results[i] = t.result
		t.result = nil
	}
	j.answered = true
	return answer.Complete{Results: results, Starts: j.starts}
}

// Fail answers the job without results. The record determines the kind of the
// answer: NotRun if no start was attempted (guarantee P4), Unknown if a task
// that is not repeatable may have run and its outcome is not known, and Failed
// otherwise.
func (j *Job) Fail(r answer.Reason) answer.Answer {
	j.checkInvariant(!j.answered, -1, "second answer")
	j.answered = true
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

// checkInvariant counts a check and panics if the invariant does not hold. task
// is the index of the task concerned, or -1 for the job as a whole.
func (j *Job) checkInvariant(ok bool, task int, msg string) {
	j.invariantChecks++
	if !ok {
		panic(fmt.Sprintf("job %s task %d: %s", j.id, task, msg))
	}
}

// TaskCount returns the number of tasks.
func (j *Job) TaskCount() int { return len(j.tasks) }

// Repeatable reports whether a task may run more than once.
func (j *Job) Repeatable() bool { return j.repeatable }

// Answered reports whether the job has its answer.
func (j *Job) Answered() bool { return j.answered }

// AllTasksDone reports whether every task has its result.
func (j *Job) AllTasksDone() bool { return j.done == len(j.tasks) }

// InFlight returns the number of attempts without a recorded outcome.
func (j *Job) InFlight() int { return j.inFlight }

// StartsAttempted returns the number of attempts of all tasks. It implements
// answer.StartCounter.
func (j *Job) StartsAttempted() int { return j.starts }

// InvariantChecks returns the number of invariants checked so far.
func (j *Job) InvariantChecks() uint64 { return j.invariantChecks }

// TaskDone reports whether task i has its result.
func (j *Job) TaskDone(i int) bool { return j.tasks[i].done }

// TaskInFlight returns the number of attempts of task i without a recorded
// outcome.
func (j *Job) TaskInFlight(i int) int { return j.tasks[i].inFlight }

// TaskAttemptsUsed returns the number of ended attempts of task i that ran or
// may have run. Attempts that did not start do not count.
func (j *Job) TaskAttemptsUsed(i int) int { return j.tasks[i].attemptsUsed }

// TaskNotStarted returns the number of ended attempts of task i that definitely
// did not run.
func (j *Job) TaskNotStarted(i int) int { return j.tasks[i].notStarted }

// ForEachTaskTarget calls f with the target of each attempt of task i until f
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
			if a.outcome == 0 {
				f(i, n+1, a.target)
			}
		}
	}
}

// IsInFlight reports whether an attempt is in flight.
func (j *Job) IsInFlight(i, number int) bool {
	a := j.attempt(i, number)
	return a != nil && a.outcome == 0
}
