package scheduler

import "time"

// Action is an output of the Scheduler, to be carried out by the parts with
// I/O.
type Action interface{ action() }

// Start tells a target to start a run.
type Start struct {
	Run     RunID
	Target  string
	Address string
	Payload string
	TraceID string
	Fence   int64
	// LeaseMS is the end of the lease on the target's clock, in milliseconds.
	LeaseMS int64
}

// Stop tells a target to stop a run, or never to start it.
type Stop struct {
	Run     RunID
	Target  string
	Address string
	Fence   int64
}

// Poll asks a target for its runs and ends, acknowledges earlier ends, and
// extends the lease on all that runs there.
type Poll struct {
	Target  string
	Address string
	Fence   int64
	Sent    time.Time
	// AckThrough is the number of the last end that was taken note of.
	AckThrough int64
	// LeaseMS is the end of the lease on the target's clock, in milliseconds;
	// 0 extends nothing.
	LeaseMS int64
	// MaxWait is how long the target may wait for an end.
	MaxWait time.Duration
}

// Reply answers all requests that wait for a job.
type Reply struct {
	Requests []RequestID
	Job      string
	Outcome  Outcome
	Summary  Summary
}

// Summary tells what an answer rests on, for logs.
type Summary struct {
	Queue string
	// Forecast is that of the longest chain of work, and Objective the latency
	// objective that follows from it.
	Forecast, Objective time.Duration
	// Age is the time since the job arrived, Waited that until its first start,
	// or Age if there was none. Backlog is the forecast wait at its arrival.
	Age, Waited, Backlog time.Duration
	Tasks, Starts        int
	// Failed, Hung and Lost count runs that failed, were stopped because they
	// took too long, or ended without a known result. RefusedStarts counts starts
	// that a target refused.
	Failed, Hung, Lost, RefusedStarts int
	// Unfinished names some of the runs that had no end, with their targets.
	Unfinished []UnfinishedRun
}

// UnfinishedRun is a run without an end.
type UnfinishedRun struct {
	Run    RunID
	Target string
	Age    time.Duration
	// Forecast is the run's forecast time.
	Forecast time.Duration
}

// TargetLost says that another instance holds the target.
type TargetLost struct {
	Target  string
	Service string
	Zone    string
	Fence   int64
}

func (Start) action()      {}
func (Stop) action()       {}
func (Poll) action()       {}
func (Reply) action()      {}
func (TargetLost) action() {}

// Outcome is the answer to a job.
type Outcome interface{ outcome() }

// Completed says that all tasks have ended well.
type Completed struct{}

// Failed says that a task has failed as often as it may.
type Failed struct{ Reason string }

// Refused says that nothing of the job ran, and nothing will.
type Refused struct {
	Reason Reason
	// RetryAfter is when a new attempt is likely to be accepted.
	RetryAfter time.Duration
}

// Unknown says that tasks of the job may have run.
type Unknown struct{ Reason Reason }

func (Completed) outcome() {}
func (Failed) outcome()    {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}

// Reason says why a job has no result.
type Reason string

// The reasons.
const (
	ReasonOverloaded Reason = "overloaded"
	// ReasonBusy refuses a job that only another owner could start at once.
	ReasonBusy      Reason = "busy"
	ReasonDeadline  Reason = "deadline"
	ReasonNoTarget  Reason = "no_target"
	ReasonNeverFits Reason = "never_fits"
	ReasonCancelled Reason = "cancelled"
	ReasonDraining  Reason = "draining"
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonOwnerLost ends a job whose owner does not answer any more.
	ReasonOwnerLost Reason = "owner_lost"
)
