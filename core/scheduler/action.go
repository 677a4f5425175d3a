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

// Look asks a target for its runs and ends, acknowledges earlier ends, and
// extends the lease on all that runs there.
type Look struct {
	Target  string
	Address string
	Fence   int64
	Sent    time.Time
	// Seen is the number of the last end that was taken note of.
	Seen int64
	// LeaseMS is the end of the lease on the target's clock, in milliseconds;
	// 0 extends nothing.
	LeaseMS int64
	// Wait is how long the target may wait for an end.
	Wait time.Duration
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
	// took too long, or ended without a known result. Declined counts starts
	// that a target refused.
	Failed, Hung, Lost, Declined int
	// Open names some of the runs that had no end, with their targets.
	Open []OpenRun
}

// OpenRun is a run without an end.
type OpenRun struct {
	Run    RunID
	Target string
	Age    time.Duration
	// Forecast is the run's forecast time.
	Forecast time.Duration
}

// LostTarget says that another instance holds the target.
type LostTarget struct {
	Target  string
	Service string
	Zone    string
	Fence   int64
}

func (Start) action()      {}
func (Stop) action()       {}
func (Look) action()       {}
func (Reply) action()      {}
func (LostTarget) action() {}

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
