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
	// PolicyLoad places by learned speed and load, with fair sharing, health,
	// budgets and hedging.
	PolicyLoad PolicyName = "load"
	// PolicyBaseline is the plain policy that PolicyLoad is measured against:
	// round-robin over live targets, sent at once, with plain retries.
	PolicyBaseline PolicyName = "baseline"
)

// policy makes all choices that no guarantee depends on: the order of the
// queue, the target of a start, admission, retry budgets, hedges and health.
// The Dispatcher calls it in this order for a job: admit, then enqueue for
// each of its tasks; and for a task: enqueue, then remove or next, started,
// ended; enqueue again after mayRetry or a refusal. The Dispatcher decides
// itself whether a task may be started at all.
type policy interface {
	// configure puts a configuration in force. Running counts are kept.
	configure(now time.Time, dir *directory.Directory)
	// listTargets applies the instance list. An empty list changes nothing.
	listTargets(now time.Time, ts []ListedTarget)
	// listEntries applies the live entry instances of the availability zone.
	listEntries(names []string)
	// admit returns why a job is refused, or an empty code.
	admit(now time.Time, j *activeJob) (answer.Code, string)
	// enqueue adds a task that waits for a slot; again is set for tasks that
	// were attempted before.
	enqueue(now time.Time, w *pending, again bool)
	// remove drops a task from the queue, if it is there. It is called for all
	// tasks of a job at once.
	remove(w *pending)
	// next takes the next task that can start off the queue.
	next(now time.Time) (choice, bool)
	// hedge returns a running repeatable task to start a second time.
	hedge(now time.Time) (choice, bool)
	// started records a start.
	started(now time.Time, c choice)
	// ended records the end of an attempt; counted is unset where the job had
	// its answer, so that the end says little about the target.
	ended(now time.Time, j *activeJob, ev AttemptEnded, counted bool)
	// mayRetry says whether a repeatable task that ran without success may run
	// again.
	mayRetry(now time.Time, w *pending) bool
	// waitsFor says whether queued work could use a slot of the target, and the
	// target's address.
	waitsFor(name string) (string, bool)
	// speeds returns the learned run times; takeOver uses those of another
	// instance where this one has learned nothing.
	speeds() []placement.Speed
	takeOver(all []placement.Speed)
	// ejected returns the targets that get no work but probes.
	ejected() []string
	// depth is the number of queued tasks.
	depth() int
	// wake is the time at which the policy wants to decide again, or zero.
	wake(now time.Time) time.Time
}

// pending is one task of a job. It is in the queue while queued is set.
type pending struct {
	job    *activeJob
	task   int
	queued bool
	// tried names the targets on which the task failed.
	tried []string
	// open holds the attempts in flight, as the policy placed them.
	open []placed
	// spends is set where the next start takes from the retry budget.
	spends bool
	// refusals counts the starts in a row that did not run.
	refusals int
}

// placed is an attempt in flight.
type placed struct {
	target string
	at     time.Time
	need   placement.Request
	choice choice
}

// choice is a task to start and the target to start it on.
type choice struct {
	work            *pending
	target, address string
	expected        time.Duration
	// charged is the slot time that the queue charged to the team.
	charged                  time.Duration
	probe, hedge, unreported bool
}

func newPolicy(cfg Config, rng *rand.Rand) policy {
	switch cfg.Policy {
	case PolicyLoad, "":
		return newLoadPolicy(cfg)
	case PolicyBaseline:
		return newBaseline(cfg, rng)
	}
	panic(fmt.Sprintf("dispatch: unknown policy %q", cfg.Policy))
}
