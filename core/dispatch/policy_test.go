package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/health"
)

// load returns the bench's policy.
func (b *bench) load() *loadPolicy { return b.d.policy.(*loadPolicy) }

// fail ends every start among the actions with a failure and returns the
// targets, until nothing is started any more.
func (b *bench) fail(actions []Action) []string {
	var targets []string
	for len(actions) > 0 {
		starts := all[StartAttempt](actions)
		actions = nil
		for _, s := range starts {
			targets = append(targets, s.Target)
			actions = append(actions, b.end(s, TaskFailed{Message: "no", RunTime: time.Millisecond})...)
		}
	}
	return targets
}

// Guards against a retry on the target that failed the task, and against more
// attempts than the service allows.
func TestRetriesGoElsewhere(t *testing.T) {
	b := newBench(t, 6, 2)
	targets := b.fail(b.submit(1, 1, true))
	if len(targets) != 3 {
		t.Fatalf("attempts on %v, want 3", targets)
	}
	slices.Sort(targets)
	if len(slices.Compact(targets)) != 3 {
		t.Fatalf("a target was tried twice: %v", targets)
	}
}

// Guards against a job staying in the queue, in the tables or in the retry
// list after its answer.
func TestNothingLeftOfAnsweredJobs(t *testing.T) {
	b := newBench(t, 2, 1)
	starts := all[StartAttempt](b.submit(1, 5, true))
	b.submit(2, 3, true)
	b.handle(Cancel{Request: b.next(), Job: JobID{b.id, 1}, Caller: "shop"})
	more := all[StartAttempt](b.end(starts[0], Ambiguous{}))
	b.end(starts[1], TaskSucceeded{})
	b.now = b.now.Add(5 * time.Second)
	b.handle(Tick{})
	for _, s := range more {
		b.end(s, TaskSucceeded{})
	}
	p := b.load()
	tasks, bytes := p.queue.Len()
	if tasks != 0 || bytes != 0 || len(p.jobs) != 0 || len(p.awaitingBudget) != 0 || p.depth() != 0 {
		t.Fatalf("left: %d tasks, %d bytes, %d jobs, %d awaitingBudget", tasks, bytes, len(p.jobs), len(p.awaitingBudget))
	}
}

// Guards against a target that fails everything fast taking all the work
// because it always has free slots.
func TestFailingTargetIsEjected(t *testing.T) {
	b := newBench(t, 4, 2)
	hits := 0
	for seq := range uint64(40) {
		pending := all[StartAttempt](b.submit(seq+1, 2, true))
		for len(pending) > 0 {
			s := pending[0]
			pending = pending[1:]
			var o Outcome = TaskSucceeded{RunTime: 50 * time.Millisecond}
			if s.Target == "taa" {
				hits++
				o = TaskFailed{RunTime: time.Millisecond}
			}
			pending = append(pending, all[StartAttempt](b.end(s, o))...)
		}
	}
	if hits < 3 || hits > 6 || b.load().health.Limit("taa") != health.Excluded {
		t.Fatalf("%d starts on the failing target", hits)
	}
	if got := b.d.Ejected(); len(got) != 1 || got[0] != "taa" {
		t.Fatalf("ejected targets %v, want taa", got)
	}
}

// Guards against a queue full of one team's tasks turning away the others, and
// against jobs that start although they cannot end in time.
func TestAdmission(t *testing.T) {
	b := newBench(t, 1, 1)
	for seq := range uint64(30) {
		b.submit(seq+1, 2, true)
	}
	s := b.d.Stats()
	if s.Answers[AnswerKey{"not_run", answer.CodeDeadline}] == 0 {
		t.Fatalf("60 tasks of 100 ms were queued for one slot within 1 s: %+v", s.Answers)
	}
}

// Guards against the dispatcher's cost per start growing beyond what 120,000
// starts a second over all instances allow.
func BenchmarkStart(b *testing.B) {
	w := newBench(b, 200, 8)
	rng := rand.New(rand.NewPCG(3, 4))
	var open []StartAttempt
	var seq, done, starts uint64
	for b.Loop() {
		starts++
		w.now = w.now.Add(100 * time.Microsecond)
		if len(open) < 1200 {
			seq++
			open = append(open, all[StartAttempt](w.handle(Submit{Request: w.next(), Job: JobID{w.id, seq}, Caller: "shop",
				AcknowledgedBelow: max(done, 200) - 199, Submission: Submission{
					Service: "check", Repeatable: true, Timeout: time.Minute, Digest: 1, Tasks: make([]Task, 50),
				}}))...)
			if seq > 400 {
				done = seq - 200
			}
		}
		i := rng.IntN(len(open))
		s := open[i]
		open[i] = open[len(open)-1]
		open = append(open[:len(open)-1], all[StartAttempt](w.handle(AttemptEnded{Attempt: s.Attempt, Target: s.Target,
			Outcome: TaskSucceeded{RunTime: 100 * time.Millisecond}, Load: Load{Known: true, Running: 4, Slots: 8}}))...)
	}
}
