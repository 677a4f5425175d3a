package dispatch

import (
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/finding"
)

// Action is an output of the Dispatcher. The caller of Handle carries it out.
type Action interface{ action() }

// StartAttempt sends one start to a target. The attempt is recorded before the
// action is returned.
type StartAttempt struct {
	Attempt    AttemptID
	Target     string
	Address    string
	Caller     string
	Service    string
	Payload    []byte
	Repeatable bool
	// StartBy is the latest time at which the start may be sent. The sender
	// checks it again before it sends.
	StartBy time.Time
	// LeaseUntil is the time at which the target's lease on the task ends.
	LeaseUntil time.Time
	TraceID    string
}

// StopAttempt requests that a target stop a running task. The connection of the
// attempt may be closed afterwards.
type StopAttempt struct {
	Attempt AttemptID
	Target  string
	Address string
}

// ReplySession replies to OpenSession with the new session.
type ReplySession struct {
	Request RequestID
	Session SessionID
}

// ReplyAnswer replies with a final answer to Submit, Collect and Cancel, and to
// any request for an unknown session.
type ReplyAnswer struct {
	Request RequestID
	Answer  answer.Answer
}

// ReplyRunning replies to a Collect without Wait that the job has no answer yet.
type ReplyRunning struct {
	Request RequestID
}

// ReplyRejected reports that the request is invalid or cannot be accepted now.
// No task is started for it.
type ReplyRejected struct {
	Request RequestID
	// Status is the HTTP status: 400, 403, 409, 422, 429 or 503.
	Status   int
	Findings finding.List
}

// ReplyHandedOver reports that the session has been handed over, so that the
// successor must handle the request.
type ReplyHandedOver struct {
	Request RequestID
}

// ReplyConfirmed reports that Acknowledge, CloseSession, ImportSessions or
// ImportAnswers has taken effect.
type ReplyConfirmed struct {
	Request RequestID
}

// HandOver carries sealed sessions to the successor. The sessions may be split
// over several actions, and each session is in exactly one of them.
type HandOver struct {
	Records []SessionRecord
}

// DeliverAnswers carries to the successor the answers that became final after
// the handover.
type DeliverAnswers struct {
	Answers []FinalAnswer
}

// Drained reports that the drain is complete: no job is left without an answer.
// It is returned once.
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
