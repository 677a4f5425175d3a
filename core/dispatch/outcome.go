package dispatch

import "time"

// Outcome is how an attempt ended, as far as the sender can tell.
type Outcome interface{ outcome() }

// TaskSucceeded says that the task ran and returned a result.
type TaskSucceeded struct {
	Result []byte
	// RunTime is the time from the send to the reply.
	RunTime time.Duration
}

// TaskFailed says that the task ran and failed.
type TaskFailed struct {
	Message string
	RunTime time.Duration
}

// RefusalCause says why a target did not run a task.
type RefusalCause int

// The causes of a target's refusal.
const (
	NoFreeSlot RefusalCause = iota + 1
	TargetLeaving
	LeaseExpired
	BadRequest
)

// Refused says that the target replied that it did not run the task.
type Refused struct {
	Cause RefusalCause
}

// NotSent says that no byte of the start was written, so that the task
// cannot have run.
type NotSent struct {
	Message string
	// DeadlinePassed is set where the start was dropped because its time had passed.
	DeadlinePassed bool
}

// Ambiguous says that the start was written, at least in part, and no whole reply
// came: the task may have run.
type Ambiguous struct {
	Message string
}

func (TaskSucceeded) outcome() {}
func (TaskFailed) outcome()    {}
func (Refused) outcome()       {}
func (NotSent) outcome()       {}
func (Ambiguous) outcome()     {}
