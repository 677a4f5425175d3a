package dispatch

import (
	"time"

	"marigoldfront.dev/core/session"
)

// Config holds the identity of the instance and its bounds.
type Config struct {
	// Instance is the name of the entry instance.
	Instance string
	// Incarnation identifies this run of the process; it is never 0.
	Incarnation uint64
	// Region and AvailabilityZone are those of the instance; empty ones stand
	// for all.
	Region           string
	AvailabilityZone string

	// Policy selects how load and faults are handled.
	Policy PolicyName
	// EjectionThreshold is the share of ejected targets, 0 to 1, above which
	// further ones are ejected only on stronger evidence; 0 turns it off.
	EjectionThreshold float64
	// MinBorrowBacklog is the backlog from which slots are used that are assigned to
	// other instances. Less of it lowers slowdown and costs refused starts.
	MinBorrowBacklog time.Duration

	MaxSessions int
	// SessionIdleTimeout is the time without a request after which a session may be
	// evicted.
	SessionIdleTimeout time.Duration
	// AnswerLimits bounds the kept answers.
	AnswerLimits session.AnswerLimits

	// MaxQueuedTasks and MaxQueuedBytes bound the waiting tasks and their
	// payloads.
	MaxQueuedTasks int
	MaxQueuedBytes int

	MaxTasks   int
	MaxTimeout time.Duration
	// MaxStartDelay is the longest time between the decision to start a task
	// and its send.
	MaxStartDelay time.Duration
	// MaxRefusals bounds the attempts of a task that did not run.
	MaxRefusals int
	// LeaseGrace is the time after the end of a lease during which the report
	// of an attempt is still expected. Then its slot counts as free.
	LeaseGrace time.Duration
	// PredecessorTimeout is the longest time to wait for an answer of a predecessor.
	PredecessorTimeout time.Duration
}

// DefaultConfig returns the bounds of the design for an instance.
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
