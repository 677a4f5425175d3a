package dispatch

import (
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/finding"
)

// Action is an output of the Dispatcher, to be carried out by the parts with
// I/O.
type Action interface{ action() }

// StartAttempt sends one start to a target. The attempt is on record before
// the action is returned.
type StartAttempt struct {
	Attempt    AttemptID
	Target     string
	Address    string
	Caller     string
	Service    string
	Payload    []byte
	Repeatable bool
	// StartBy is the latest time to send, checked again by the sender.
	StartBy time.Time
	// LeaseUntil is the end of the target's lease on the task.
	LeaseUntil time.Time
	TraceID    string
}

// StopAttempt asks a target to stop a running task. The attempt's connection
// may be dropped afterwards.
type StopAttempt struct {
	Attempt AttemptID
	Target  string
	Address string
}

// ReplySession answers OpenSession.
type ReplySession struct {
	Request RequestID
	Session SessionID
}

// ReplyAnswer answers Submit, Collect and Cancel with a final answer.
type ReplyAnswer struct {
	Request RequestID
	Answer  answer.Answer
}

// ReplyRunning answers a Collect that does not wait.
type ReplyRunning struct {
	Request RequestID
}

// ReplyRejected says that the message was wrong and started nothing.
type ReplyRejected struct {
	Request RequestID
	// Status is the HTTP status: 400, 403, 409, 422, 429 or 503.
	Status   int
	Findings finding.List
}

// ReplyHandedOver says that the session is sealed and handed over, so that the
// request belongs to the successor.
type ReplyHandedOver struct {
	Request RequestID
}

// ReplyConfirmed answers Acknowledge, CloseSession, ImportSessions and
// ImportAnswers.
type ReplyConfirmed struct {
	Request RequestID
}

// HandOver carries the sealed sessions for the successor, in any number of
// actions. Each session is in exactly one of them.
type HandOver struct {
	Records []SessionRecord
}

// DeliverAnswers carries answers that became final after the hand-over.
type DeliverAnswers struct {
	Answers []FinalAnswer
}

// Drained says that no job is left; it is returned once.
type Drained struct{}

func (StartAttempt) action()    {}
func (StopAttempt) action()     {}
func (ReplySession) action()    {}
func (ReplyAnswer) action()     {}
func (ReplyRunning) action()    {}
func (ReplyRejected) action()   {}
func (ReplyHandedOver) action() {}
func (ReplyConfirmed) action()  {}
func (HandOver) action()        {}
func (DeliverAnswers) action()  {}
func (Drained) action()         {}
