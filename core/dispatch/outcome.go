package dispatch

import "time"

// Outcome is the result of an attempt, as observed by the sender.
type Outcome interface{ outcome() }

// TaskSucceeded reports that the task ran and returned a result.
type TaskSucceeded struct {
	Result []byte
	// RunTime is the time from the sending of the start to the reply.
	RunTime time.Duration
}

// TaskFailed reports that the task ran and failed.
type TaskFailed struct {
	Message string
	RunTime time.Duration
}

// RefusalCause is the reason for which a target did not run a task.
type RefusalCause int

// The causes of a refusal.
const (
	// NoFreeSlot means that all slots of the target are in use.
	NoFreeSlot RefusalCause = iota + 1
	// TargetLeaving means that the target is leaving and accepts no tasks.
	TargetLeaving
	// LeaseExpired means that the lease on the task had ended when the start
	// arrived.
	LeaseExpired
	// BadRequest means that the target rejected the start as invalid.
	BadRequest
)

// Refused reports that the target replied that it did not run the task.
type Refused struct {
	Cause RefusalCause
}

// NotSent reports that no byte of the start was written, so that the task
// cannot have run.
type NotSent struct {
	Message string
	// DeadlinePassed is set if the start was not sent because StartBy had
	// passed.
	DeadlinePassed bool
}

// Ambiguous reports that at least a part of the start was written, but no
// complete reply was received. The task may have run.
type Ambiguous struct {
	Message string
}

func (TaskSucceeded) outcome() {}
func (TaskFailed) outcome()    {}
func (Refused) outcome()       {}
func (NotSent) outcome()       {}
func (Ambiguous) outcome()     {}
