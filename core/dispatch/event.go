package dispatch

import (
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

// RequestID identifies a waiting caller request within the instance. The
// reply actions carry it back.
type RequestID uint64

// SessionID names a session for good: it stays the same over hand-overs.
type SessionID struct {
	// Incarnation is that of the instance that opened the session.
	Incarnation uint64
	Number      uint64
}

// JobID names a submission.
type JobID struct {
	Session SessionID
	Seq     uint64
}

// AttemptID names one attempt to start a task.
type AttemptID struct {
	Job JobID
	// Task is the index of the task in the submission.
	Task int
	// Number counts the attempts of the task from 1.
	Number int
}

// Submission is a validated job as its caller described it.
type Submission struct {
	Service      string
	Repeatable   bool
	Timeout      time.Duration
	MemoryMB     int64
	Accelerators int64
	Tasks        []Task
	// Digest is over the content, to recognise other content under a used id.
	Digest  uint64
	TraceID string
}

// Task is one task of a submission.
type Task struct {
	Payload []byte
	// Declared is the caller's guess of the run time; 0 means none.
	Declared time.Duration
}

// Event is an input of the Dispatcher.
type Event interface{ event() }

// OpenSession asks for a new session of an authenticated caller.
type OpenSession struct {
	Request RequestID
	Caller  string
}

// Submit asks for the answer to a submission, which it starts if the id has
// not been used.
type Submit struct {
	Request           RequestID
	Job               JobID
	Caller            string
	Submission        Submission
	AcknowledgedBelow uint64
}

// Collect asks for the answer of an earlier submission.
type Collect struct {
	Request RequestID
	Job     JobID
	Caller  string
	// Wait holds the request until the answer is final.
	Wait bool
}

// Cancel ends a job that has no final answer yet.
type Cancel struct {
	Request RequestID
	Job     JobID
	Caller  string
}

// Acknowledge lets the session forget all answers below a sequence number.
type Acknowledge struct {
	Request RequestID
	Session SessionID
	Caller  string
	Below   uint64
}

// CloseSession ends a session; its ids are answered Unknown from then on.
type CloseSession struct {
	Request RequestID
	Session SessionID
	Caller  string
}

// CallerDisconnected says that nobody waits for the request any more. The job goes on.
type CallerDisconnected struct {
	Request RequestID
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Target  string
	Outcome Outcome
	// Load is what the target said about itself, if it replied.
	Load Load
}

// Load is a target's own report.
type Load struct {
	Known   bool
	Running int
	Slots   int
}

// DirectoryChanged puts a newer configuration in force.
type DirectoryChanged struct {
	Directory *directory.Directory
}

// TargetsListed carries the instance list's view of the targets. A target
// that the list has never named is used with its configured address.
type TargetsListed struct {
	Targets []ListedTarget
}

// ListedTarget is one target of the instance list.
type ListedTarget struct {
	Name    string
	Address string
	Leaving bool
}

// EntryInstancesChanged carries the names of the live entry instances of the
// availability zone, this one included.
type EntryInstancesChanged struct {
	Names []string
}

// Drain starts the planned stop. Every session is sealed: it admits nothing
// more. With a successor the records are handed over.
type Drain struct {
	HasSuccessor bool
}

// ImportSessions takes over sealed sessions of a predecessor.
type ImportSessions struct {
	Request RequestID
	Records []SessionRecord
}

// ImportAnswers takes over answers that became final at a predecessor.
type ImportAnswers struct {
	Request RequestID
	Answers []FinalAnswer
}

// ImportSpeeds carries run times that another instance learned. They are used
// where this one has learned nothing itself, and only for targets and services
// of the configuration in force.
type ImportSpeeds struct {
	Speeds []Speed
}

// Speed is the learned run time of a target for a service.
type Speed struct {
	Target  string
	Service string
	Mean    time.Duration
	// Samples is the number of run times in the mean.
	Samples int
}

// StopNow ends the drain at its time limit: jobs without an attempted start
// are answered NotRun, all others by the rules of answers.
type StopNow struct{}

// Tick lets time-driven decisions be made; it carries no data.
type Tick struct{}

// SessionRecord is a session as it is handed over.
type SessionRecord struct {
	Session  SessionID
	Caller   string
	LowWater uint64
	Jobs     []JobRecord
}

// JobRecord is one used sequence number of a session.
type JobRecord struct {
	Seq    uint64
	Digest uint64
	// Answer is nil while the job runs at its old home, and for an answer
	// that is no longer kept.
	Answer  answer.Answer
	Running bool
}

// FinalAnswer is an answer that became final after its session was handed over.
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
