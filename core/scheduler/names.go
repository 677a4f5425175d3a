package scheduler

import "fmt"

var startResults = [...]string{
	StartAccepted: "accepted", StartUnanswered: "unanswered", StartNotSent: "not_sent", StartFenced: "fenced",
	StartOutdated: "outdated", StartLate: "late", StartNoRoom: "no_room", StartUnhealthy: "unhealthy",
	StartInvalid: "invalid", StartMoved: "moved",
}

// String returns the name of the result in logs.
func (r StartResult) String() string { return startResults[r] }

// String returns the run as job.step.index#number.
func (r RunID) String() string {
	return fmt.Sprintf("%s.%d.%d#%d", r.Task.Job, r.Task.Step, r.Task.Index, r.Number)
}
