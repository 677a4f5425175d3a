package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/health"
)

// loadPolicy returns the policy of the Dispatcher.
func (f *fixture) loadPolicy() *loadPolicy { return f.d.policy.(*loadPolicy) }

// failAll ends all started attempts with a failure until no attempt is started any
// more, and returns their targets.
func (f *fixture) failAll(actions []Action) []string {
	var targets []string
	for len(actions) > 0 {
		starts := actionsOf[StartAttempt](actions)
		actions = nil
		for _, s := range starts {
			targets = append(targets, s.Target)
			actions = append(actions, f.reportEnd(s, TaskFailed{Message: "no", RunTime: time.Millisecond})...)
		}
	}
	return targets
}

// Guards against a retry on a target where the task has failed, and against more
// attempts than the service allows.
func TestRetryUsesOtherTarget(t *testing.T) {
	f := newFixture(t, 6, 2)
	targets := f.failAll(f.submit(1, 1, true))
	if len(targets) != 3 {
		t.Fatalf("attempts on %v, want 3", targets)
	}
	slices.Sort(targets)
	if len(slices.Compact(targets)) != 3 {
		t.Fatalf("a target was tried twice: %v", targets)
	}
}

// Guards against state of an answered job that stays in the queue, among the
// waiting jobs or among the retries that wait for budget.
func TestAnsweredJobsAreRemoved(t *testing.T) {
	f := newFixture(t, 2, 1)
	starts := actionsOf[StartAttempt](f.submit(1, 5, true))
	f.submit(2, 3, true)
	f.handle(Cancel{Request: f.nextRequest(), Job: JobID{f.session, 1}, Caller: "shop"})
	more := actionsOf[StartAttempt](f.reportEnd(starts[0], Ambiguous{}))
	f.reportEnd(starts[1], TaskSucceeded{})
	f.now = f.now.Add(5 * time.Second)
	f.handle(Tick{})
	for _, s := range more {
		f.reportEnd(s, TaskSucceeded{})
	}
	p := f.loadPolicy()
	tasks, bytes := p.queue.Len()
	if tasks != 0 || bytes != 0 || len(p.waitingJobs) != 0 || len(p.awaitingBudget) != 0 || p.queuedTasks() != 0 {
		t.Fatalf("left: %d tasks, %d bytes, %d jobs, %d retries that wait for budget", tasks, bytes, len(p.waitingJobs), len(p.awaitingBudget))
	}
}

// Guards against a target that fails all tasks quickly and receives most of the
// work, because its slots are always free.
func TestFailingTargetIsEjected(t *testing.T) {
	f := newFixture(t, 4, 2)
	starts := 0
	for seq := range uint64(40) {
		inFlight := actionsOf[StartAttempt](f.submit(seq+1, 2, true))
		for len(inFlight) > 0 {
			s := inFlight[0]
			inFlight = inFlight[1:]
			var o Outcome = TaskSucceeded{RunTime: 50 * time.Millisecond}
			if s.Target == "taa" {
				starts++
				o = TaskFailed{RunTime: time.Millisecond}
			}
			inFlight = append(inFlight, actionsOf[StartAttempt](f.reportEnd(s, o))...)
		}
	}
	if starts < 3 || starts > 6 || f.loadPolicy().health.Limit("taa") != health.Excluded {
		t.Fatalf("%d starts on the failing target", starts)
	}
	if got := f.d.Ejected(); len(got) != 1 || got[0] != "taa" {
		t.Fatalf("ejected targets %v, want taa", got)
	}
}

// Guards against the admission of jobs that cannot complete before their deadline.
func TestAdmission(t *testing.T) {
	f := newFixture(t, 1, 1)
	for seq := range uint64(30) {
		f.submit(seq+1, 2, true)
	}
	s := f.d.Stats()
	if s.Answers[AnswerKey{"not_run", answer.CodeDeadline}] == 0 {
		t.Fatalf("60 tasks of 100 ms were queued for one slot within 1 s: %+v", s.Answers)
	}
}

// BenchmarkStart measures the cost of one start. All instances together must
// sustain 120,000 starts per second.
func BenchmarkStart(b *testing.B) {
	f := newFixture(b, 200, 8)
	rng := rand.New(rand.NewPCG(3, 4))
	var inFlight []StartAttempt
	var seq, done, starts uint64
	for b.Loop() {
		starts++
		f.now = f.now.Add(100 * time.Microsecond)
		if len(inFlight) < 1200 {
			seq++
			inFlight = append(inFlight, actionsOf[StartAttempt](f.handle(Submit{Request: f.nextRequest(), Job: JobID{f.session, seq}, Caller: "shop",
				AcknowledgedBelow: max(done, 200) - 199, Submission: Submission{
					Service: "check", Repeatable: true, Timeout: time.Minute, Digest: 1, Tasks: make([]Task, 50),
				}}))...)
			if seq > 400 {
				done = seq - 200
			}
		}
		i := rng.IntN(len(inFlight))
		s := inFlight[i]
		inFlight[i] = inFlight[len(inFlight)-1]
		inFlight = append(inFlight[:len(inFlight)-1], actionsOf[StartAttempt](f.handle(AttemptEnded{Attempt: s.Attempt, Target: s.Target,
			Outcome: TaskSucceeded{RunTime: 100 * time.Millisecond}, Load: Load{Known: true, Running: 4, Slots: 8}}))...)
	}
}
