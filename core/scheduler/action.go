package scheduler

import "time"

// Action is an output of the Scheduler. Code with I/O carries it out.
type Action interface{ action() }

// Start requests a target to start a run.
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

// Stop requests a target to stop a run, or never to start it if the start has
// not arrived yet.
type Stop struct {
	Run     RunID
	Target  string
	Address string
	Fence   int64
}

// Poll requests a target's active and completed runs, acknowledges completions,
// and renews the lease on all runs of the target.
type Poll struct {
	Target  string
	Address string
	Fence   int64
	Sent    time.Time
	// AckThrough is the number of the last completion that the Scheduler has
	// processed. The target drops its completions up to this number.
	AckThrough int64
	// LeaseMS is the end of the lease on the target's clock, in milliseconds.
	// 0 does not renew the lease.
	LeaseMS int64
	// MaxWait is how long the target may wait for a completion before it replies.
	MaxWait time.Duration
}

// Reply answers all requests that await a job.
type Reply struct {
	Requests []RequestID
	Job      string
	Outcome  Outcome
	Summary  Summary
}

// Summary describes how a job went, for logs.
type Summary struct {
	Queue    string
	Priority int
	// Cost is what it costs callers if the job is not served, in seconds of the usual
	// demand of its queue, weighted by priority.
	Cost float64
	// Forecast is the forecast run time of the job's critical path. Objective
	// is the latency objective that is derived from it.
	Forecast, Objective time.Duration
	// Age is the time since the job arrived. Waited is the time until its first
	// start, or Age if there was none. Backlog is the wait that was forecast on
	// its arrival.
	Age, Waited, Backlog time.Duration
	Tasks, Starts        int
	// Failed, Hung and Lost count runs that failed, were stopped because they
	// took too long, or ended without a known result. RefusedStarts counts
	// starts that are known to have had no effect, for example because the
	// target refused them.
	Failed, Hung, Lost, RefusedStarts int
	// Crashes counts the targets that have crashed, or may have crashed, under tasks
	// of the job, also in earlier submissions.
	Crashes int
	// Unfinished lists some of the runs without a known end.
	Unfinished []UnfinishedRun
	// Preferred and PreferredQueue are a job for which this one was turned away, and
	// its queue, or empty.
	Preferred, PreferredQueue string
}

// UnfinishedRun describes a run without a known end.
type UnfinishedRun struct {
	Run    RunID
	Target string
	Age    time.Duration
	// Forecast is the run's forecast time.
	Forecast time.Duration
}

// TargetLost reports that another instance holds the target.
type TargetLost struct {
	Target  string
	Service string
	Zone    string
	Fence   int64
}

// CrashFound reports a crash, for other owners and for logs. A CrashRecorded event is
// expected once it is in the store.
type CrashFound struct{ Crash Crash }

// GivenUpRunOver reports that a run is over whose job had ended before.
type GivenUpRunOver struct {
	Run    RunID
	Target string
	// After is the time since the job has ended.
	After    time.Duration
	Evidence Evidence
	// Stops and Leases count the stops and the leases that were sent to the target in
	// this time.
	Stops, Leases int
}

// Evidence is how the end of a run became known.
type Evidence int

// The kinds of evidence of the end of a run.
const (
	// EvidenceListed means that the target has listed the run as completed.
	EvidenceListed Evidence = iota
	// EvidenceAbsent means that the target did not list the run after it had answered
	// its start or stop.
	EvidenceAbsent
	// EvidenceRefused means that the target has refused the start.
	EvidenceRefused
	// EvidenceLease means that the last lease that covers the run has ended.
	EvidenceLease
)

func (Start) action()          {}
func (Stop) action()           {}
func (Poll) action()           {}
func (Reply) action()          {}
func (TargetLost) action()     {}
func (CrashFound) action()     {}
func (GivenUpRunOver) action() {}

// Outcome is the result of a job: Completed, Failed, Refused or Unknown.
type Outcome interface{ outcome() }

// Completed means that all tasks have succeeded.
type Completed struct{}

// Failed means that a task has used all of its attempts.
type Failed struct{ Reason string }

// Refused means that no task of the job has run or will run.
type Refused struct {
	Reason Reason
	// RetryAfter is the time after which a new attempt is likely to be accepted.
	RetryAfter time.Duration
}

// Unknown means that tasks of the job may have run.
type Unknown struct{ Reason Reason }

func (Completed) outcome() {}
func (Failed) outcome()    {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}

// Reason is the cause of a Refused or Unknown outcome. Its text is sent to the
// job's sender.
type Reason string

// The reasons that the Scheduler gives.
const (
	ReasonOverloaded Reason = "overloaded"
	// ReasonBusy refuses a job with MustStartNow that cannot start at once. The
	// sender can try another owner.
	ReasonBusy      Reason = "busy"
	ReasonDeadline  Reason = "deadline"
	ReasonNoTarget  Reason = "no_target"
	ReasonNeverFits Reason = "never_fits"
	ReasonCancelled Reason = "cancelled"
	ReasonDraining  Reason = "draining"
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonOwnerLost ends a job whose owner no longer answers or was
	// suspended.
	ReasonOwnerLost Reason = "owner_lost"
	// ReasonTargetLost ends a job of which a run was lost with its target, and whose
	// task may be the cause.
	ReasonTargetLost Reason = "target_lost"
)
