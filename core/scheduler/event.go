package scheduler

import "time"

// RequestID identifies a request that awaits a reply. It is unique within the
// instance, and replies carry it back.
type RequestID uint64

// TaskID identifies a task of a job.
type TaskID struct {
	Job string
	// Step is the index of the step, and Index that of the task in it.
	Step, Index int
}

// RunID identifies one start of a task. The attempts of a task are numbered in
// rising order from 1, and numbers may be skipped.
type RunID struct {
	Task    TaskID
	Attempt int
}

// Job is a validated submission.
type Job struct {
	ID string
	// Queue is the queue through which the job was submitted. Service selects
	// the targets that can run it.
	Queue    string
	Service  string
	Priority int
	// MaxAttempts is the number of failures of one task at which the job fails.
	MaxAttempts int
	// Stretch and Slack define the latency objective: the forecast of the
	// critical path, multiplied by Stretch, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Arrived is when the caller sent the job. Deadline is when the caller stops
	// waiting for the answer.
	Arrived, Deadline time.Time
	// MustStartNow refuses the job unless all of its tasks can start at once and
	// end in time, so that the sender can try another owner.
	MustStartNow bool
	// Sender is the instance that has sent the job to this one, or empty if a caller
	// has. SentAt is when it sent the job. It reports with Awaited events that it still
	// awaits the job.
	Sender string
	SentAt time.Time
	// TraceID is the job's trace id in hex digits, or empty. Start actions carry
	// it.
	TraceID string
	// Payload is passed to every task.
	Payload string
	Steps   []Step
}

// Step is a group of tasks with the same requirements.
type Step struct {
	Count        int
	CPU          int64 // in thousandths of a core
	MemoryMB     int64
	Accelerators int64
	// Estimate is the caller's estimate of a task's run time; 0 means none.
	Estimate time.Duration
	// After lists the indexes of earlier steps that must complete first.
	After []int
	// Label restricts the step to targets with this label, unless it is empty.
	Label string
	// Rack is the label of the rack that holds the step's data, or empty.
	Rack string
	// MaxPerTarget limits the step's concurrent tasks on one target; 0 means no
	// limit.
	MaxPerTarget int
}

// Target is a target that this instance owns.
type Target struct {
	ID      string
	Service string
	Address string
	Zone    string
	Labels  []string
	// Incarnation identifies one execution of the target's process, or is 0 if it is
	// unknown. A new value under the same ID means that the target has restarted
	// and that its earlier runs no longer exist.
	Incarnation  int64
	CPU          int64 // in thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Draining     bool
	// Releasing is set while the target is handed over to another instance. Only
	// tasks of jobs that have already started are placed on it.
	Releasing bool
	// Fence is the fencing token of this instance's ownership.
	Fence int64
}

// Event is an input of the Scheduler.
type Event interface{ event() }

// Submit requests the outcome of a job. If the job is already known, the
// request joins it.
type Submit struct {
	Request RequestID
	Job     Job
}

// Withdraw reports that a request is no longer awaited. A job without awaited
// requests is stopped.
type Withdraw struct{ Request RequestID }

// Cancel stops a job and answers its requests. If the job is submitted later, it is
// refused.
type Cancel struct{ Job string }

// Awaited reports the jobs that a sender still awaited at a time.
type Awaited struct {
	Sender string
	Jobs   []string
	At     time.Time
}

// Recall refuses a job of which no task can have run. It does nothing to other jobs.
type Recall struct{ Job string }

// TargetsChanged replaces the list of targets that this instance owns.
type TargetsChanged struct{ Targets []Target }

// ZonesEvacuated replaces the set of evacuated availability zones. No task of a new job
// starts on their targets, and no task of a job that has started later than
// Config.EvacuationStartTime.
type ZonesEvacuated struct{ Zones []string }

// TargetGone reports that the platform has removed a target from its list, after
// the target was silent or has left.
type TargetGone struct{ Target string }

// CrashRecorded reports that a crash which this instance has found is in the store.
type CrashRecorded struct{ Crash Crash }

// CrashReported reports a crash that another owner has found.
type CrashReported struct{ Crash Crash }

// StartReturned reports the result of a Start action.
type StartReturned struct {
	Run    RunID
	Target string
	Result StartResult
	// ClockMS is the target's clock when it replied, in milliseconds; 0 if
	// unknown.
	ClockMS int64
}

// StartResult is the result of a Start action.
type StartResult int

// The results of a start.
const (
	// StartAccepted means that the target runs the task.
	StartAccepted StartResult = iota
	// StartUnanswered means that no reply arrived: the target may have started
	// the run, or may still start it.
	StartUnanswered
	// StartNotSent means that no byte of the request was sent.
	StartNotSent
	// StartFenced means that another owner holds the target. Like all results
	// below, it means that the start had no effect.
	StartFenced
	// StartStaleAttempt means that the target has already received this attempt
	// of the task or a higher one.
	StartStaleAttempt
	// StartLeaseExpired means that the lease in the start has expired.
	StartLeaseExpired
	// StartNoCapacity means that the target has too little free capacity.
	StartNoCapacity
	// StartUnhealthy means that the target is unhealthy and refuses work.
	StartUnhealthy
	// StartInvalid means that the target rejects the request as malformed.
	StartInvalid
	// StartWrongTarget means that another target answers at the address.
	StartWrongTarget
)

// StopReturned reports the result of a Stop action.
type StopReturned struct {
	Run      RunID
	Target   string
	Answered bool
	Fenced   bool
}

// PollReturned reports the result of a Poll action.
type PollReturned struct {
	Target string
	// Sent is the time of the Poll action.
	Sent     time.Time
	Answered bool
	// ConnectionLost is set if the poll has no answer because its connection was
	// closed, reset or refused. The target may have restarted.
	ConnectionLost bool
	Fenced         bool
	// WrongTarget is set if another target answers at the address.
	WrongTarget bool
	Incarnation int64
	ClockMS     int64
	Running     []RunID
	Completions []Completion
}

// Completion is a completed run in the list of its target.
type Completion struct {
	// Number counts the completions of the target's incarnation from 1.
	Number int64
	Run    RunID
	Result RunResult
}

// RunResult is the way in which a run ended.
type RunResult int

// The results of a run. RunLeaseExpired means that the target ended the run
// because its lease was not renewed.
const (
	RunSucceeded RunResult = iota
	RunFailed
	RunStopped
	RunLeaseExpired
	RunOther
)

// ConnectionLost reports that the target at an address has closed or reset a
// connection. It may have restarted.
type ConnectionLost struct{ Address string }

// Drain stops new work: jobs without a start are refused, others complete.
type Drain struct{}

// Tick triggers the decisions that depend only on the time.
type Tick struct{}

func (Submit) event()         {}
func (Withdraw) event()       {}
func (Cancel) event()         {}
func (Awaited) event()        {}
func (Recall) event()         {}
func (TargetsChanged) event() {}
func (ZonesEvacuated) event() {}
func (TargetGone) event()     {}
func (CrashRecorded) event()  {}
func (CrashReported) event()  {}
func (StartReturned) event()  {}
func (StopReturned) event()   {}
func (PollReturned) event()   {}
func (ConnectionLost) event() {}
func (Drain) event()          {}
func (Tick) event()           {}
