package dispatch

import (
	"time"

	"marigoldfront.dev/core/session"
)

// Config holds the identity of the instance, its policy and its limits.
type Config struct {
	// Instance is the name of the entry instance.
	Instance string
	// Incarnation identifies this run of the process. It must not be 0.
	Incarnation uint64
	// Region and AvailabilityZone are the location of the instance. An empty
	// value matches all regions or zones.
	Region           string
	AvailabilityZone string

	// Policy selects the placement and admission policy.
	Policy PolicyName
	// EjectionThreshold is the share of ejected targets, from 0 to 1, above
	// which further targets are ejected only on stronger evidence. 0 disables
	// the threshold.
	EjectionThreshold float64
	// MinBorrowBacklog is the backlog from which the instance also uses slots
	// that are assigned to other instances. A lower value reduces the slowdown
	// of jobs, but causes more refused starts.
	MinBorrowBacklog time.Duration

	MaxSessions int
	// SessionIdleTimeout is the time without a request after which a session
	// may be evicted.
	SessionIdleTimeout time.Duration
	// AnswerLimits bounds the stored answers.
	AnswerLimits session.AnswerLimits

	// MaxQueuedTasks bounds the queued tasks, MaxQueuedBytes the total size of
	// their payloads.
	MaxQueuedTasks int
	MaxQueuedBytes int

	// MaxTasks and MaxTimeout bound the tasks and the timeout of one submission.
	MaxTasks   int
	MaxTimeout time.Duration
	// MaxStartDelay is the longest time between the decision to start a task
	// and the sending of the start.
	MaxStartDelay time.Duration
	// MaxRefusals bounds, for each task, the attempts that did not run it.
	MaxRefusals int
	// LeaseGrace is the time after the end of a lease during which the report
	// of an attempt is still accepted. After that, its slot counts as free.
	LeaseGrace time.Duration
	// PredecessorTimeout is the longest time to wait for the answer to a job
	// that runs at a predecessor.
	PredecessorTimeout time.Duration
}

// DefaultConfig returns the default configuration of an instance.
func DefaultConfig(instance string, incarnation uint64) Config {
	return Config{
		Instance:         instance,
		Incarnation:      incarnation,
		Policy:           PolicyLoad,
		MinBorrowBacklog: 3 * time.Second,

		EjectionThreshold: 0.55,

		MaxSessions:        20_000,
		SessionIdleTimeout: time.Hour,
		AnswerLimits: session.AnswerLimits{
			Answers:    256,
			Bytes:      1 << 20,
			TotalBytes: 64 << 20,
			Age:        10 * time.Minute,
		},
		MaxQueuedTasks:     20_000,
		MaxQueuedBytes:     64 << 20,
		MaxTasks:           550,
		MaxTimeout:         10 * time.Minute,
		MaxStartDelay:      2 * time.Second,
		MaxRefusals:        16,
		LeaseGrace:         time.Second,
		PredecessorTimeout: 10 * time.Minute,
	}
}
