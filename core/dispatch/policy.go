package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/placement"
)

// PolicyName selects the policy of a Dispatcher.
type PolicyName string

const (
	// PolicyLoad places tasks by the learned speed and the load of targets. It
	// divides slots fairly between teams, ejects failing targets, limits
	// retries by a budget and hedges slow attempts.
	PolicyLoad PolicyName = "load"
	// PolicyBaseline is a simple policy to compare PolicyLoad with. It sends
	// tasks at once, round-robin over the live targets, and retries without a
	// budget.
	PolicyBaseline PolicyName = "baseline"
)

// policy makes the decisions on which no guarantee depends: the order of the
// queue, the target of a start, admission, retry budgets, hedges and the health
// of targets. The Dispatcher itself ensures that a task is started only if the
// guarantees allow it.
//
// For a job, the Dispatcher calls admit and then enqueue for each task. For a
// task, it calls enqueue, then remove, or nextStart, recordStart and recordEnd.
// It calls enqueue again if the task was not run, or if mayRetry allows a retry.
type policy interface {
	// setDirectory puts a configuration in force. Attempts in flight remain
	// counted.
	setDirectory(now time.Time, dir *directory.Directory)
	// setInstanceList applies the instance list. An empty list is ignored.
	setInstanceList(now time.Time, ts []ListedTarget)
	// setEntryInstances sets the live entry instances of the availability zone.
	setEntryInstances(names []string)
	// admit returns the reason for which a job is refused, or an empty code.
	admit(now time.Time, j *activeJob) (answer.Code, string)
	// enqueue queues a task; isRetry is set if the task was attempted before.
	enqueue(now time.Time, task *taskState, isRetry bool)
	// remove removes a task from the queue, if it is queued. It is always
	// called for all tasks of a job.
	remove(task *taskState)
	// nextStart removes the next task that can start from the queue and returns
	// it with its target.
	nextStart(now time.Time) (choice, bool)
	// nextHedge returns a running repeatable task to start a second time.
	nextHedge(now time.Time) (choice, bool)
	// recordStart records the start of an attempt.
	recordStart(now time.Time, c choice)
	// recordEnd records the end of an attempt. counted is false if the job
	// already had its answer, so that the outcome is weak evidence of the health
	// of the target.
	recordEnd(now time.Time, j *activeJob, ev AttemptEnded, counted bool)
	// mayRetry reports whether a repeatable task that ran without success may
	// run again.
	mayRetry(now time.Time, task *taskState) bool
	// hasWorkFor returns the address of a target, and whether a queued task
	// could use a slot of it.
	hasWorkFor(name string) (string, bool)
	// speeds returns the learned run times.
	speeds() []placement.Speed
	// importSpeeds adds run times learned by another instance, where this
	// instance has learned none.
	importSpeeds(all []placement.Speed)
	// ejected returns the targets that receive only probes.
	ejected() []string
	// queuedTasks returns the number of queued tasks.
	queuedTasks() int
	// nextWake returns the time of the next decision of the policy, or the zero
	// time if none is due.
	nextWake(now time.Time) time.Time
}

// taskState is the scheduling state of one task of a job.
type taskState struct {
	job   *activeJob
	index int
	// queued is set while the task is in the queue.
	queued bool
	// tried holds the names of the targets on which the task failed.
	tried []string
	// inFlight holds the attempts in flight.
	inFlight []placedAttempt
	// usesRetryBudget is set if the next start consumes retry budget.
	usesRetryBudget bool
	// refusals counts consecutive attempts that did not run the task.
	refusals int
}

// placedAttempt is an attempt in flight and the decision to place it.
type placedAttempt struct {
	target    string
	startedAt time.Time
	request   placement.Request
	choice    choice
}

// choice is a task to start and the target on which to start it.
type choice struct {
	task            *taskState
	target, address string
	// expected is the forecast run time on the target.
	expected time.Duration
	// charged is the slot time that the queue has charged to the team.
	charged                  time.Duration
	probe, hedge, unreported bool
}

func newPolicy(cfg Config, rng *rand.Rand) policy {
	switch cfg.Policy {
	case PolicyLoad, "":
		return newLoadPolicy(cfg)
	case PolicyBaseline:
		return newBaselinePolicy(cfg, rng)
	}
	panic(fmt.Sprintf("dispatch: unknown policy %q", cfg.Policy))
}
