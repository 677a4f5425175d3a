package scheduler

import "fmt"

var startResults = [...]string{
	StartAccepted: "accepted", StartUnanswered: "unanswered", StartNotSent: "not_sent", StartFenced: "fenced",
	StartStaleAttempt: "outdated", StartLeaseExpired: "late", StartNoCapacity: "no_room", StartUnhealthy: "unhealthy",
	StartInvalid: "invalid", StartWrongTarget: "moved",
}

// String returns the name of the result in logs.
func (r StartResult) String() string { return startResults[r] }

var crashStates = [...]string{CrashSilent: "silent", CrashSuspected: "suspected", CrashUnresolved: "unresolved", CrashPossible: "possible", CrashConfirmed: "confirmed", CrashRefuted: "refuted"}

var evidences = [...]string{EvidenceListed: "listed", EvidenceAbsent: "absent", EvidenceRefused: "refused", EvidenceLease: "lease"}

// String returns the name of the evidence in logs and metrics.
func (e Evidence) String() string { return evidences[e] }

// String returns the name of the state in logs.
func (c CrashState) String() string { return crashStates[c] }

// String returns the task as job.step.index.
func (t TaskID) String() string { return fmt.Sprintf("%s.%d.%d", t.Job, t.Step, t.Index) }

// String returns the run as job.step.index#attempt.
func (r RunID) String() string {
	return fmt.Sprintf("%s#%d", r.Task, r.Attempt)
}

// String returns the state of the answer.
func (Completed) String() string { return "completed" }

// String returns the state of the answer.
func (Failed) String() string { return "failed" }

// String returns the state and reason of the answer.
func (r Refused) String() string { return "refused (" + string(r.Reason) + ")" }

// String returns the state and reason of the answer.
func (u Unknown) String() string { return "unknown (" + string(u.Reason) + ")" }

// String returns the run, its target, its age and its forecast run time.
func (r UnfinishedRun) String() string {
	return fmt.Sprintf("%s on %s for %v of %v", r.Run, r.Target, r.Age, r.Forecast)
}
