// Package admission decides whether a new job is accepted into the queue.
package admission

import (
	"time"

	"marigoldfront.dev/core/answer"
)

// waitMargin scales the forecast wait, because jobs that arrive later with an
// earlier deadline are started first. With a margin of 1, a team that flooded the
// queue wasted 0.25 messages per answer on jobs that missed their deadline. With
// 1.5, it wasted 0.06.
const waitMargin = 1.5

// Limits bounds the queue by its number of tasks and their payload bytes.
type Limits struct {
	Tasks int
	Bytes int
}

// Request describes a job to be admitted.
type Request struct {
	Tasks    int
	Bytes    int
	Deadline time.Time
	// LongestTask is the forecast run time of the longest task. Work is the sum
	// of the forecast run times of all tasks.
	LongestTask, Work time.Duration
	// FitsAnyTarget reports whether any configured target of the service is large
	// enough for the tasks, FitsServingTarget whether one that is not leaving is.
	FitsAnyTarget, FitsServingTarget bool
}

// Load describes the work that is already queued and the slots that serve it.
type Load struct {
	QueuedTasks, QueuedBytes int
	// TeamTasks and TeamWork are the queued tasks of the job's team and the sum of
	// their forecast run times.
	TeamTasks int
	TeamWork  time.Duration
	// QueuedWork is the sum of the forecast run times of the queued tasks of all
	// teams.
	QueuedWork time.Duration
	// AssignedSlots is the number of slots assigned to this instance, TeamShare
	// the fraction of them, 0 to 1, that the team can use.
	AssignedSlots int
	TeamShare     float64
}

// Controller rejects jobs that exceed the limits of the queue or that are
// expected to miss their deadline. It is immutable.
type Controller struct {
	limits Limits
}

// New returns a Controller that enforces the limits.
func New(l Limits) *Controller { return &Controller{limits: l} }

// Decide returns the code and the message with which a job is refused, or two
// empty strings if it is admitted. It must be called before any task of the job
// runs.
func (c *Controller) Decide(now time.Time, r Request, l Load) (answer.Code, string) {
	switch {
	case !r.FitsAnyTarget:
		return answer.CodeNeverFits, "no target of the service has the memory or accelerators for a task"
	case !r.FitsServingTarget:
		return answer.CodeNoTarget, "no target of the service that fits is in service"
	case l.QueuedTasks+r.Tasks > c.limits.Tasks || l.QueuedBytes+r.Bytes > c.limits.Bytes:
		return answer.CodeOverloaded, "the queue is full"
	case l.TeamTasks > 0 && l.TeamTasks+r.Tasks > c.limits.Tasks-l.QueuedTasks:
		// A team may occupy at most as much of the queue as remains free. A team
		// that floods the queue therefore cannot fill it for the others.
		return answer.CodeOverloaded, "the team's part of the queue is full"
	case now.Add(c.forecast(r, l)).After(r.Deadline):
		return answer.CodeDeadline, "the job is not expected to end within its time limit"
	}
	return "", ""
}

// forecast returns the expected time until the job ends: the wait for queued
// work plus the run time of the job. The wait is the team's queued work over its
// share of the slots, or all queued work over all slots if that is shorter.
func (c *Controller) forecast(r Request, l Load) time.Duration {
	if l.AssignedSlots == 0 {
		return r.LongestTask
	}
	slots := float64(l.AssignedSlots)
	share := slots * max(l.TeamShare, 0.001)
	wait := min(float64(l.TeamWork)/share, float64(l.QueuedWork)/slots)
	run := max(float64(r.LongestTask), float64(r.Work)/slots)
	return time.Duration(wait*waitMargin + run)
}
