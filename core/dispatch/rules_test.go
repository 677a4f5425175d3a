package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

func (b *bench) wantAnswer(what string, actions []Action, state string, code answer.Code) {
	b.t.Helper()
	replies := all[ReplyAnswer](actions)
	if len(replies) == 0 {
		b.t.Fatalf("%s: no answer in %+v", what, actions)
	}
	if got := keyOf(replies[0].Answer); got != (AnswerKey{state, code}) {
		b.t.Errorf("%s: answer is %+v, want %s %s", what, replies[0].Answer, state, code)
	}
}

func (b *bench) wantRejected(what string, actions []Action, status int) {
	b.t.Helper()
	if r := one[ReplyRejected](b.t, actions); r.Status != status {
		b.t.Errorf("%s: status %d, want %d", what, r.Status, status)
	}
}

// Guards against a rejected or refused message that starts a task, and against
// another status or code than the design lists.
func TestRefusedSubmissions(t *testing.T) {
	b := newBench(t, 1, 1)
	send := func(seq uint64, change func(*Submit)) []Action {
		ev := Submit{Request: b.next(), Job: JobID{b.id, seq}, Caller: "shop", Submission: Submission{
			Service: "check", Timeout: time.Second, Digest: 1, Tasks: make([]Task, 1)}}
		change(&ev)
		actions := b.handle(ev)
		if n := len(all[StartAttempt](actions)); n > 0 {
			t.Errorf("%d starts for %+v", n, ev)
		}
		return actions
	}
	b.submit(1, 1, false)
	b.wantRejected("other content", send(1, func(*Submit) {}), 409)
	b.wantRejected("number above the window", send(1026, func(*Submit) {}), 422)
	b.wantRejected("number 0", send(0, func(*Submit) {}), 422)
	b.wantRejected("acknowledgement above the window", send(2, func(s *Submit) { s.AcknowledgedBelow = 2000 }), 422)
	b.wantRejected("no tasks", send(2, func(s *Submit) { s.Submission.Tasks = nil }), 400)
	b.wantRejected("timeout too long", send(2, func(s *Submit) { s.Submission.Timeout = time.Hour }), 400)
	b.wantRejected("foreign session", send(2, func(s *Submit) { s.Caller = "rival" }), 403)
	b.wantRejected("foreign service", send(2, func(s *Submit) { s.Submission.Service = "other" }), 403)
	b.wantAnswer("too large", send(3, func(s *Submit) { s.Submission.MemoryMB = 1 << 20 }), "not_run", answer.CodeNeverFits)
	b.wantAnswer("copy of a refused one", send(3, func(*Submit) {}), "not_run", answer.CodeNeverFits)
	b.wantAnswer("closed session", send(2, func(s *Submit) { s.Job.Session.Number = 99 }), "unknown", answer.CodeSessionUnknown)
	b.wantAnswer("other home", send(2, func(s *Submit) { s.Job.Session.Incarnation = 99 }), "unknown", answer.CodeHomeReplaced)
	b.wantAnswer("cancelled before it arrives", b.handle(Cancel{Request: b.next(), Job: JobID{b.id, 4}, Caller: "shop"}), "not_run", answer.CodeCancelled)
	b.wantAnswer("submission after its cancellation", send(4, func(*Submit) {}), "not_run", answer.CodeCancelled)
}

// Guards against refused starts that count as attempts, that never end, or
// that turn into not_run although starts were attempted.
func TestRefusedStarts(t *testing.T) {
	b := newBench(t, 3, 1)
	refused := 0
	actions := b.handle(Submit{Request: b.next(), Job: JobID{b.id, 1}, Caller: "shop", Submission: Submission{
		Service: "check", Timeout: 10 * time.Minute, Digest: 1, Tasks: make([]Task, 1)}})
	for len(all[ReplyAnswer](actions)) == 0 {
		if starts := all[StartAttempt](actions); len(starts) > 0 {
			refused++
			actions = b.end(starts[0], Refused{Cause: NoFreeSlot})
			continue
		}
		b.now = b.d.NextWake()
		actions = b.handle(Tick{})
	}
	if refused != b.d.cfg.MaxRefusals {
		t.Errorf("%d refused starts, want %d", refused, b.d.cfg.MaxRefusals)
	}
	b.wantAnswer("refused too often", actions, "failed", answer.CodeAttemptsExhausted)
}

// Guards against stop messages that free no slot for anyone, and against
// running work that keeps a slot from waiting work after its cancellation.
func TestStopOnlyWhereWorkWaits(t *testing.T) {
	b := newBench(t, 1, 1)
	started := one[StartAttempt](t, b.submit(1, 1, true))
	actions := b.handle(Cancel{Request: b.next(), Job: JobID{b.id, 1}, Caller: "shop"})
	if n := len(all[StopAttempt](actions)); n != 0 {
		t.Errorf("%d stops while nothing waits", n)
	}
	if stop := one[StopAttempt](t, b.submit(2, 1, true)); stop.Attempt != started.Attempt {
		t.Errorf("stop of %v, want %v", stop.Attempt, started.Attempt)
	}
	one[StartAttempt](t, b.end(started, Ambiguous{Message: "stopped"}))
	if n := b.d.Stats().ActiveJobs; n != 1 {
		t.Errorf("%d active jobs after the end of the stopped attempt, want 1", n)
	}
}

// Guards against new work for a target that signalled its leave, where a ticket
// takes it out of the configuration and the next one puts it back (P6).
func TestLeavingSurvivesTickets(t *testing.T) {
	for _, name := range []PolicyName{PolicyLoad, PolicyBaseline} {
		b := newBench(t, 1, 1)
		cfg := DefaultConfig("e1", 7)
		cfg.Policy = name
		b.restart(cfg, testDirectory(1, 1))
		started := one[StartAttempt](t, b.submit(1, 1, true))
		b.handle(DirectoryChanged{Directory: testDirectory(0, 1)})
		actions := append(b.end(started, Refused{Cause: TargetLeaving}), b.handle(DirectoryChanged{Directory: testDirectory(1, 1)})...)
		b.now = b.now.Add(900 * time.Millisecond)
		if actions = append(actions, b.handle(Tick{})...); len(all[StartAttempt](actions)) > 0 {
			t.Errorf("policy %s: %+v", name, actions)
		}
	}
}

// Guards against a hedge of a task that another attempt has finished while the
// first one is still in flight, which the record of the job answers by a panic.
func TestNoHedgeOfFinishedTask(t *testing.T) {
	b := newBench(t, 4, 1)
	dir := testDirectory(4, 1)
	dir.State.Services["check"] = directory.Service{Name: "check", MaxAttempts: 3, HedgePercent: 100}
	b.restart(DefaultConfig("e1", 7), dir)
	for range 100 {
		b.d.policy.(*loadPolicy).table.RecordRunTime("check", "taa", 0, 10*time.Millisecond)
	}
	starts := all[StartAttempt](b.submit(1, 2, true))
	b.d.out = nil
	b.d.start(choice{work: &b.d.jobs[starts[0].Attempt.Job].work[starts[0].Attempt.Task], target: starts[1].Target, hedge: true})
	b.end(one[StartAttempt](t, b.d.out), TaskSucceeded{})
	b.now = b.now.Add(900 * time.Millisecond)
	for _, s := range all[StartAttempt](b.handle(Tick{})) {
		if s.Attempt.Task == starts[0].Attempt.Task {
			t.Errorf("start of the finished task: %+v", s)
		}
	}
}

// Guards against a sealed session that runs anything at its old home, and
// against a repeated transfer that brings a closed session back (P1).
func TestHandOver(t *testing.T) {
	b := newBench(t, 1, 1)
	started := one[StartAttempt](t, b.submit(1, 1, false))
	records := one[HandOver](t, b.handle(Drain{HasSuccessor: true})).Records
	one[ReplyHandedOver](t, b.submit(2, 1, false))
	b.wantRejected("new session", b.handle(OpenSession{Request: b.next(), Caller: "shop"}), 503)

	next := newBench(t, 1, 1)
	next.d = New(DefaultConfig("e2", 8), rand.New(rand.NewPCG(1, 2)))
	next.id = b.id
	early := next.handle(ImportAnswers{Answers: []FinalAnswer{{Job: started.Attempt.Job, Answer: answer.Complete{}}}})
	next.wantRejected("answer before its session", early, 422)
	next.handle(DirectoryChanged{Directory: testDirectory(1, 1)})
	next.handle(ImportSessions{Records: records})
	if actions := next.submit(1, 1, false); len(actions) != 0 {
		t.Errorf("copy of a job that runs at the old home causes %+v", actions)
	}
	one[StartAttempt](t, next.submit(2, 1, false))

	actions := b.end(started, TaskSucceeded{})
	one[Drained](t, actions)
	delivered := ImportAnswers{Answers: one[DeliverAnswers](t, actions).Answers}
	next.wantAnswer("delivered", next.handle(delivered), "complete", "")

	next.handle(CloseSession{Request: next.next(), Session: b.id, Caller: "shop"})
	next.handle(ImportSessions{Records: records})
	next.wantAnswer("after a repeated transfer", next.submit(2, 1, false), "unknown", answer.CodeHomeReplaced)
	next.handle(Drain{})
	one[ReplyConfirmed](t, next.handle(ImportSessions{Records: records}))
	records[0].Session.Number++
	next.wantRejected("transfer to a draining instance", next.handle(ImportSessions{Records: records}), 503)
}

// Guards against the eviction of a session that is in use or has a running job,
// and against a table that stays full of idle sessions.
func TestEviction(t *testing.T) {
	b := newBench(t, 1, 1)
	cfg := DefaultConfig("e1", 7)
	cfg.MaxSessions, cfg.SessionIdleTimeout = 1, 100*time.Millisecond
	b.restart(cfg, testDirectory(1, 1))
	open := func() []Action { return b.handle(OpenSession{Request: b.next(), Caller: "shop"}) }
	started := one[StartAttempt](t, b.submit(1, 1, false))
	b.now = b.now.Add(time.Second / 2)
	b.wantRejected("job is running", open(), 429)
	b.end(started, TaskSucceeded{})
	b.submit(1, 1, false)
	b.wantRejected("session is in use", open(), 429)
	b.now = b.now.Add(time.Second / 2)
	one[ReplySession](t, open())
	b.wantAnswer("evicted", b.submit(1, 1, false), "unknown", answer.CodeSessionUnknown)
}

// Guards against a stop at the drain limit that leaves a job without an answer
// or calls a job not run whose task was attempted.
func TestStopNow(t *testing.T) {
	b := newBench(t, 1, 1)
	one[StartAttempt](t, b.submit(1, 1, false))
	b.submit(2, 1, false)
	b.handle(Drain{})
	b.wantAnswer("submission while draining", b.submit(3, 1, false), "not_run", answer.CodeDraining)
	actions := b.handle(StopNow{})
	one[Drained](t, actions)
	b.wantAnswer("attempted", actions, "unknown", answer.CodeDraining)
	b.wantAnswer("queued", actions[1:], "not_run", answer.CodeDraining)
}

// Guards against panics and starts on records from a peer of another version.
func FuzzImportSessions(f *testing.F) {
	f.Add(uint64(7), uint64(1), uint64(1), uint64(2), byte(1))
	f.Add(uint64(9), uint64(1)<<63, uint64(1)<<63, uint64(0), byte(3))
	f.Add(uint64(9), ^uint64(0), ^uint64(0), uint64(5), byte(2))
	f.Fuzz(func(t *testing.T, incarnation, low, first, second uint64, flags byte) {
		b := newBench(t, 1, 1)
		id := SessionID{Incarnation: incarnation, Number: 5}
		jobs := []JobRecord{{Seq: first, Running: flags&1 != 0}, {Seq: second, Running: flags&2 != 0}}
		if flags&4 != 0 {
			jobs[1].Answer = answer.NotRun{}
		}
		ev := ImportSessions{Records: []SessionRecord{{Session: id, Caller: "shop", LowWater: low, Jobs: jobs}}}
		b.handle(ev)
		b.handle(ev)
		b.id = id
		for _, seq := range []uint64{first, second, low - 1} {
			if starts := all[StartAttempt](b.submit(seq, 1, false)); len(starts) > 0 {
				t.Fatalf("imported number %d starts again", seq)
			}
		}
		b.now = b.now.Add(time.Hour)
		b.handle(Tick{})
	})
}
