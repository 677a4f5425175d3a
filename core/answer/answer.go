// Package answer defines the four possible answers to a submitted job and the
// reason codes that they carry.
package answer

import "fmt"

// Code is the machine-readable reason of an answer. Clients compare it.
type Code string

// The reason codes of answers.
const (
	CodeDeadline          Code = "deadline"
	CodeOverloaded        Code = "overloaded"
	CodeNoTarget          Code = "no_target"
	CodeNeverFits         Code = "never_fits"
	CodeCancelled         Code = "cancelled"
	CodeTaskFailed        Code = "task_failed"
	CodeAttemptsExhausted Code = "attempts_exhausted"
	CodeAmbiguousAttempt  Code = "ambiguous_attempt"
	CodeHomeUnreachable   Code = "home_unreachable"
	CodeHomeReplaced      Code = "home_replaced"
	CodeSessionUnknown    Code = "session_unknown"
	CodeAlreadyUsed       Code = "already_used"
	CodeDraining          Code = "draining"
	CodeNoConfiguration   Code = "no_configuration"
)

// Reason explains why an answer is not Complete.
type Reason struct {
	Code    Code
	Message string
}

// Answer is one of Complete, Failed, NotRun and Unknown.
type Answer interface {
	sealed()
}

// Complete carries the results of all tasks, in the order in which they were
// submitted.
type Complete struct {
	Results [][]byte
	// Starts is the number of task starts attempted for the job.
	Starts int
}

// Failed reports that the job was started and definitely did not succeed. It
// carries no results, because an answer is never partial.
type Failed struct {
	Reason Reason
	Starts int
}

// NotRun reports that no start was attempted for any task of the job. Use
// NewNotRun to construct it, which checks this condition.
type NotRun struct {
	Reason Reason
}

// Unknown reports that some or all tasks of the job may have run.
type Unknown struct {
	Reason Reason
	Starts int
}

func (Complete) sealed() {}
func (Failed) sealed()   {}
func (NotRun) sealed()   {}
func (Unknown) sealed()  {}

// StartCounter reports how many starts were attempted for a job.
type StartCounter interface {
	StartsAttempted() int
}

// NewNotRun returns the NotRun answer of a job. It panics if a start was
// attempted, because the answer would be wrong.
func NewNotRun(job StartCounter, r Reason) NotRun {
	if n := job.StartsAttempted(); n != 0 {
		panic(fmt.Sprintf("answer: not_run for a job with %d attempted starts", n))
	}
	return NotRun{Reason: r}
}
