package dispatch

import "marigoldfront.dev/core/answer"

// AnswerKey groups answers by state and code. Complete answers have no code.
type AnswerKey struct {
	State string
	Code  answer.Code
}

// Stats counts what the Dispatcher did since it was built. QueuedTasks,
// Sessions, ActiveJobs, KeptAnswers and KeptBytes are current values.
type Stats struct {
	Submissions uint64
	// RepeatedSubmissions counts the later copies of a submission.
	RepeatedSubmissions uint64
	Rejected            uint64
	HandedOverRequests  uint64

	Starts  uint64
	Retries uint64
	Hedges  uint64
	// RefusedStarts counts the starts that a target refused, UnsentStarts
	// those that were never sent.
	RefusedStarts uint64
	UnsentStarts  uint64
	// StopRequests counts the requests to stop a running task.
	StopRequests uint64
	Cancels      uint64

	// LateReplies came after the answer of their job, DuplicateReplies for an
	// attempt that had ended, WrongTargetReplies from another target than the
	// attempt's, and UnknownAttemptReplies for an attempt that was never made here.
	LateReplies           uint64
	DuplicateReplies      uint64
	WrongTargetReplies    uint64
	UnknownAttemptReplies uint64
	// AbandonedAttempts counts the attempts whose lease ended without a report.
	AbandonedAttempts uint64

	Answers map[AnswerKey]uint64

	ImportedSessions uint64
	RefusedImports   uint64
	EvictedSessions  uint64

	// InvariantChecks counts the checked invariants. Those of a job are added once the
	// job has no attempt in flight any more.
	InvariantChecks uint64

	QueuedTasks int
	Sessions    int
	ActiveJobs  int
	KeptAnswers int
	KeptBytes   int
}

// Stats returns a copy of the counters.
func (d *Dispatcher) Stats() Stats {
	s := d.stats
	s.Answers = make(map[AnswerKey]uint64, len(d.stats.Answers))
	for k, n := range d.stats.Answers {
		s.Answers[k] = n
	}
	s.QueuedTasks = d.policy.depth()
	s.Sessions = len(d.sessions)
	s.ActiveJobs = len(d.jobs)
	s.KeptAnswers = d.keeper.Len()
	s.KeptBytes = d.keeper.Bytes()
	return s
}
