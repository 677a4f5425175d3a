package dispatch

import (
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

// RequestID identifies a pending request within the instance. The reply to the
// request carries the same id.
type RequestID uint64

// SessionID identifies a session. It does not change when the session is handed
// over to another instance.
type SessionID struct {
	// Incarnation identifies the run of the instance that opened the session.
	Incarnation uint64
	Number      uint64
}

// JobID identifies a job by its session and its sequence number there.
type JobID struct {
	Session SessionID
	Seq     uint64
}

// AttemptID identifies one attempt to run a task.
type AttemptID struct {
	Job JobID
	// Task is the index of the task in the submission.
	Task int
	// Number is the number of the attempt among those of the task, from 1.
	Number int
}

// Submission is the validated description of a job, as its caller sent it.
type Submission struct {
	Service    string
	Repeatable bool
	// Received is when the submission arrived, or earlier. Timeout counts from it.
	// If it is zero, Timeout counts from when the Dispatcher handles the submission.
	Received     time.Time
	Timeout      time.Duration
	MemoryMB     int64
	Accelerators int64
	Tasks        []Task
	// Digest is a hash of the content. It reveals a submission with other
	// content under an id that is already used.
	Digest  uint64
	TraceID string
}

// Task is one task of a submission.
type Task struct {
	Payload []byte
	// Declared is the run time that the caller expects, or 0.
	Declared time.Duration
}

// Event is an input of the Dispatcher.
type Event interface{ event() }

// OpenSession requests a new session for an authenticated caller.
type OpenSession struct {
	Request RequestID
	Caller  string
}

// Submit submits a job and requests its answer. If the id is already used, the
// job is not run again and the request receives the answer to the first
// submission.
type Submit struct {
	Request           RequestID
	Job               JobID
	Caller            string
	Submission        Submission
	AcknowledgedBelow uint64
}

// Collect requests the answer to an earlier submission.
type Collect struct {
	Request RequestID
	Job     JobID
	Caller  string
	// Wait delays the reply until the answer is final.
	Wait bool
}

// Cancel ends a job that has no final answer yet.
type Cancel struct {
	Request RequestID
	Job     JobID
	Caller  string
}

// Acknowledge allows the session to delete all answers below a sequence number.
type Acknowledge struct {
	Request RequestID
	Session SessionID
	Caller  string
	Below   uint64
}

// CloseSession closes a session and cancels its jobs. Later requests for the
// session are answered Unknown.
type CloseSession struct {
	Request RequestID
	Session SessionID
	Caller  string
}

// CallerDisconnected reports that the reply to a request is no longer awaited.
// The job continues.
type CallerDisconnected struct {
	Request RequestID
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Target  string
	Outcome Outcome
	// Load is the load that the target reported with its reply.
	Load Load
}

// Load is the load that a target reported.
type Load struct {
	// Known is set if the target reported its load.
	Known   bool
	Running int
	Slots   int
}

// DirectoryChanged puts a configuration in force. An older configuration than
// the current one is ignored.
type DirectoryChanged struct {
	Directory *directory.Directory
}

// TargetsListed carries the targets on the instance list. A target that has
// never been on the list is used with its configured address.
type TargetsListed struct {
	Targets []ListedTarget
}

// ListedTarget is one target of the instance list.
type ListedTarget struct {
	Name    string
	Address string
	Leaving bool
}

// EntryInstancesChanged carries the names of the live entry instances in the
// availability zone, including this one.
type EntryInstancesChanged struct {
	Names []string
}

// Drain starts a graceful shutdown. It seals every session, so that no further
// submission is admitted. With a successor, the sessions are handed over.
type Drain struct {
	HasSuccessor bool
}

// ImportSessions adds the sealed sessions that a predecessor hands over.
type ImportSessions struct {
	Request RequestID
	Records []SessionRecord
}

// ImportAnswers adds answers that became final at a predecessor after the
// handover.
type ImportAnswers struct {
	Request RequestID
	Answers []FinalAnswer
}

// ImportSpeeds carries run times that another instance has learned. They are
// used only if this instance has learned none for the target and the service,
// and only for targets and services of the configuration in force.
type ImportSpeeds struct {
	Speeds []Speed
}

// Speed is the learned run time of a target for a service.
type Speed struct {
	Target  string
	Service string
	Mean    time.Duration
	// Samples is the number of run times that the mean is based on.
	Samples int
}

// StopNow answers all remaining jobs when the drain reaches its time limit. A
// job of which no start was attempted is answered NotRun. A job that is not
// repeatable and has an attempt without a known outcome is answered Unknown, and
// so is a job that runs at the predecessor. All other jobs are answered Failed.
type StopNow struct{}

// Tick triggers the decisions that are due at the time passed to Handle.
type Tick struct{}

// SessionRecord is a session in the form in which it is handed over.
type SessionRecord struct {
	Session  SessionID
	Caller   string
	LowWater uint64
	Jobs     []JobRecord
}

// JobRecord describes one used sequence number of a session.
type JobRecord struct {
	Seq    uint64
	Digest uint64
	// Answer is nil while the job still runs at the predecessor, and if the
	// answer is no longer stored.
	Answer  answer.Answer
	Running bool
}

// FinalAnswer is an answer that became final after the handover of its session.
type FinalAnswer struct {
	Job    JobID
	Answer answer.Answer
}

func (OpenSession) event()           {}
func (Submit) event()                {}
func (Collect) event()               {}
func (Cancel) event()                {}
func (Acknowledge) event()           {}
func (CloseSession) event()          {}
func (CallerDisconnected) event()    {}
func (AttemptEnded) event()          {}
func (DirectoryChanged) event()      {}
func (TargetsListed) event()         {}
func (EntryInstancesChanged) event() {}
func (Drain) event()                 {}
func (ImportSessions) event()        {}
func (ImportAnswers) event()         {}
func (ImportSpeeds) event()          {}
func (StopNow) event()               {}
func (Tick) event()                  {}
