package dispatch

import "marigoldfront.dev/core/answer"

// AnswerKey is the state and the reason code of an answer, by which answers are
// counted. Complete answers have no code.
type AnswerKey struct {
	State string
	Code  answer.Code
}

// Stats holds counters of a Dispatcher since its creation. QueuedTasks,
// Sessions, ActiveJobs, KeptAnswers and KeptBytes are current values.
type Stats struct {
	Submissions uint64
	// RepeatedSubmissions counts the submissions that did not create a job,
	// because their id was already used or their session was handed over.
	RepeatedSubmissions uint64
	Rejected            uint64
	// HandedOverRequests counts the requests for sessions that have been handed
	// over.
	HandedOverRequests uint64

	Starts  uint64
	Retries uint64
	Hedges  uint64
	// RefusedStarts counts the starts that a target refused, UnsentStarts the
	// starts that were not sent.
	RefusedStarts uint64
	UnsentStarts  uint64
	// StopRequests counts the requests to targets to stop a running task.
	StopRequests uint64
	Cancels      uint64

	// LateReplies counts reports that came after the answer of their job,
	// DuplicateReplies those of attempts that had already ended,
	// WrongTargetReplies those from another target than the attempt was sent
	// to, and UnknownAttemptReplies those of attempts that this instance has
	// not made.
	LateReplies           uint64
	DuplicateReplies      uint64
	WrongTargetReplies    uint64
	UnknownAttemptReplies uint64
	// AbandonedAttempts counts the attempts without a report until LeaseGrace
	// after the end of their lease.
	AbandonedAttempts uint64

	Answers map[AnswerKey]uint64

	ImportedSessions uint64
	RefusedImports   uint64
	EvictedSessions  uint64

	// InvariantChecks counts the checks of invariants. The checks of a job are
	// added when the job has no attempt in flight any more.
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
	s.QueuedTasks = d.policy.queuedTasks()
	s.Sessions = len(d.sessions)
	s.ActiveJobs = len(d.jobs)
	s.KeptAnswers = d.answerCache.Len()
	s.KeptBytes = d.answerCache.Bytes()
	return s
}
