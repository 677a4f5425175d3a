package scheduler

import "time"

// RequestID identifies a waiting request within the instance. The replies
// carry it back.
type RequestID uint64

// TaskID names a task of a job.
type TaskID struct {
	Job string
	// Step is the index of the step, and Index that of the task in it.
	Step, Index int
}

// RunID names one start of a task. Numbers of a task rise from 1.
type RunID struct {
	Task    TaskID
	Attempt int
}

// Job is a validated submission.
type Job struct {
	ID string
	// Queue and Service say where the job came in and which targets run it.
	Queue    string
	Service  string
	Priority int
	// MaxAttempts is how often a task may fail before the job fails.
	MaxAttempts int
	// Stretch and Slack give the latency objective: the longest chain of work
	// times Stretch, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Arrived is when the caller sent the job, and Deadline when it stops
	// waiting.
	Arrived, Deadline time.Time
	// MustStartNow refuses the job unless all of its tasks can start at once and end
	// in time, so that another owner can be asked.
	MustStartNow bool
	// TraceID is the job's trace in hex digits, or empty. The starts carry it.
	TraceID string
	// Payload is passed to every task.
	Payload string
	Steps   []Step
}

// Step is a group of equal tasks.
type Step struct {
	Count        int
	CPU          int64 // in thousandths of a core
	MemoryMB     int64
	Accelerators int64
	// Estimate is the caller's guess of a task's run time; 0 means none.
	Estimate time.Duration
	// After lists the earlier steps whose tasks must all be done first.
	After []int
	// Label must be among the target's labels, if it is set.
	Label string
	// Rack is where the data lies, if it is set.
	Rack string
	// MaxPerTarget bounds the step's tasks on one target; 0 means no bound.
	MaxPerTarget int
}

// Target is a target that this instance owns.
type Target struct {
	ID      string
	Service string
	Address string
	Zone    string
	Labels  []string
	// Incarnation is the start of the target's life. Another value under the same ID
	// means that everything it ran is gone.
	Incarnation  int64
	CPU          int64 // in thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Draining     bool
	// Releasing is set while the target is passed on to another instance: it
	// takes tasks only of jobs that have started.
	Releasing bool
	// Fence is the fencing token of this instance's ownership.
	Fence int64
}

// Event is an input of the Scheduler.
type Event interface{ event() }

// Submit asks for the answer to a job. A job that is already known is joined.
type Submit struct {
	Request RequestID
	Job     Job
}

// Withdraw says that nobody waits for the request any more. A job without
// waiting requests is stopped.
type Withdraw struct{ Request RequestID }

// Cancel ends a job.
type Cancel struct{ Job string }

// TargetsChanged carries all targets that this instance owns.
type TargetsChanged struct{ Targets []Target }

// StartReturned reports what became of a Start.
type StartReturned struct {
	Run    RunID
	Target string
	Result StartResult
	// ClockMS is the target's clock in its reply, in milliseconds; 0 if there
	// is none.
	ClockMS int64
}

// StartResult says what a start did.
type StartResult int

// The results of a start.
const (
	// StartAccepted: the target runs the task.
	StartAccepted StartResult = iota
	// StartUnanswered: the start may have been carried out, or may be later.
	StartUnanswered
	// StartNotSent: no byte of the start was written.
	StartNotSent
	// StartFenced: another owner holds the target; nothing was done.
	StartFenced
	// StartStaleAttempt: the run's number is too low there; nothing was done.
	StartStaleAttempt
	// StartLeaseExpired: the lease of the start has passed; nothing was done.
	StartLeaseExpired
	// StartNoCapacity: the target has no room; nothing was done.
	StartNoCapacity
	// StartUnhealthy: the target refuses work; nothing was done.
	StartUnhealthy
	// StartInvalid: the target does not understand the start; nothing was done.
	StartInvalid
	// StartWrongTarget: another target answers at the address; nothing was done.
	StartWrongTarget
)

// StopReturned reports whether a Stop was answered.
type StopReturned struct {
	Run      RunID
	Target   string
	Answered bool
	Fenced   bool
}

// PollReturned reports what a Look saw.
type PollReturned struct {
	Target string
	// Sent is the time of the Look action.
	Sent     time.Time
	Answered bool
	Fenced   bool
	// WrongTarget is set where another target answers at the address.
	WrongTarget bool
	Incarnation int64
	ClockMS     int64
	Running     []RunID
	Completions []Completion
}

// Completion is the end of a run, as its target lists it.
type Completion struct {
	// Number counts the ends of the target's life from 1.
	Number int64
	Run    RunID
	Result RunResult
}

// RunResult says how a run ended.
type RunResult int

// The kinds of ends.
const (
	RunSucceeded RunResult = iota
	RunFailed
	RunStopped
	RunLeaseExpired
	RunOther
)

// Drain stops new work: jobs without a start are refused, others end.
type Drain struct{}

// Tick lets time-driven decisions be made; it carries no data.
type Tick struct{}

func (Submit) event()         {}
func (Withdraw) event()       {}
func (Cancel) event()         {}
func (TargetsChanged) event() {}
func (StartReturned) event()  {}
func (StopReturned) event()   {}
func (PollReturned) event()   {}
func (Drain) event()          {}
func (Tick) event()           {}
