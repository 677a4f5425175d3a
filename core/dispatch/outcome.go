package dispatch

import "time"

// Outcome is how an attempt ended, as far as the sender can tell.
type Outcome interface{ outcome() }

// Done says that the task ran and returned a result.
type Done struct {
	Result []byte
	// Took is the time from the send to the reply.
	Took time.Duration
}

// TaskFailed says that the task ran and failed.
type TaskFailed struct {
	Message string
	Took    time.Duration
}

// RefusalCause says why a target did not run a task.
type RefusalCause int

// The causes of a target's refusal.
const (
	NoSlot RefusalCause = iota + 1
	Leaving
	LeaseLapsed
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
	// Late is set where the start was dropped because its time had passed.
	Late bool
}

// Lost says that the start was written, at least in part, and no whole reply
// came: the task may have run.
type Lost struct {
	Message string
}

func (Done) outcome()       {}
func (TaskFailed) outcome() {}
func (Refused) outcome()    {}
func (NotSent) outcome()    {}
func (Lost) outcome()       {}
