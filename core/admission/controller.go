// Package admission decides whether a job is taken into the queue.
package admission

import (
	"time"

	"marigoldfront.dev/core/answer"
)

// waitMargin scales the forecast wait, because jobs that arrive later and are
// due earlier go ahead. With 1 a flooding team wasted 0.25 messages per answer
// on jobs that missed their deadline, with 1.5 it wastes 0.06.
const waitMargin = 1.5

// Limits bound the queue.
type Limits struct {
	Tasks int
	Bytes int
}

// Request describes a job that asks to be admitted.
type Request struct {
	Tasks    int
	Bytes    int
	Deadline time.Time
	// LongestTask is the forecast run time of the longest task, Work the sum over
	// all tasks.
	LongestTask, Work time.Duration
	// FitsAnyTarget and FitsServingTarget say whether any target can run the job at all, and now.
	FitsAnyTarget, FitsServingTarget bool
}

// Load describes what is ahead of the job.
type Load struct {
	QueuedTasks, QueuedBytes int
	// TeamTasks and TeamWork are the team's own part of the queue.
	TeamTasks int
	TeamWork  time.Duration
	// QueuedWork is that of all teams.
	QueuedWork time.Duration
	// AssignedSlots is what the instance can count on, Share the team's part of them.
	AssignedSlots int
	TeamShare     float64
}

// Controller admits jobs within bounds and deadlines.
type Controller struct {
	limits Limits
}

// New returns a Gate with the bounds.
func New(l Limits) *Controller { return &Controller{limits: l} }

// Decide returns why a job is refused, or an empty code. Nothing of the job
// has run.
func (g *Controller) Decide(now time.Time, r Request, l Load) (answer.Code, string) {
	switch {
	case !r.FitsAnyTarget:
		return answer.CodeNeverFits, "no target of the service has the memory or accelerators for a task"
	case !r.FitsServingTarget:
		return answer.CodeNoTarget, "no target of the service that fits is in service"
	case l.QueuedTasks+r.Tasks > g.limits.Tasks || l.QueuedBytes+r.Bytes > g.limits.Bytes:
		return answer.CodeOverloaded, "the queue is full"
	case l.TeamTasks > 0 && l.TeamTasks+r.Tasks > g.limits.Tasks-l.QueuedTasks:
		// A team may fill at most as much as it leaves free, so that one that
		// floods cannot make the queue refuse the others.
		return answer.CodeOverloaded, "the team's part of the queue is full"
	case now.Add(g.forecast(r, l)).After(r.Deadline):
		return answer.CodeDeadline, "the job is not expected to end within its time limit"
	}
	return "", ""
}

// forecast returns the expected time of the job: the wait for the work ahead,
// by the team's share of slots or by the whole queue where that is shorter,
// and then the job's own run.
func (g *Controller) forecast(r Request, l Load) time.Duration {
	if l.AssignedSlots == 0 {
		return r.LongestTask
	}
	slots := float64(l.AssignedSlots)
	share := slots * max(l.TeamShare, 0.001)
	wait := min(float64(l.TeamWork)/share, float64(l.QueuedWork)/slots)
	run := max(float64(r.LongestTask), float64(r.Work)/slots)
	return time.Duration(wait*waitMargin + run)
}
