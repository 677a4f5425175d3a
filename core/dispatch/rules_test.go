package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

func (f *fixture) wantAnswer(what string, actions []Action, state string, code answer.Code) {
	f.t.Helper()
	replies := actionsOf[ReplyAnswer](actions)
	if len(replies) == 0 {
		f.t.Fatalf("%s: no answer in %+v", what, actions)
	}
	if got := answerKey(replies[0].Answer); got != (AnswerKey{state, code}) {
		f.t.Errorf("%s: answer is %+v, want %s %s", what, replies[0].Answer, state, code)
	}
}

func (f *fixture) wantRejected(what string, actions []Action, status int) {
	f.t.Helper()
	if r := onlyAction[ReplyRejected](f.t, actions); r.Status != status {
		f.t.Errorf("%s: status %d, want %d", what, r.Status, status)
	}
}

// Guards against a rejected or refused request that starts a task, and against a
// wrong HTTP status or reason code.
func TestRefusedSubmissions(t *testing.T) {
	f := newFixture(t, 1, 1)
	send := func(seq uint64, change func(*Submit)) []Action {
		ev := Submit{Request: f.nextRequest(), Job: JobID{f.session, seq}, Caller: "shop", Submission: Submission{
			Service: "check", Timeout: time.Second, Digest: 1, Tasks: make([]Task, 1)}}
		change(&ev)
		actions := f.handle(ev)
		if n := len(actionsOf[StartAttempt](actions)); n > 0 {
			t.Errorf("%d starts for %+v", n, ev)
		}
		return actions
	}
	f.submit(1, 1, false)
	f.wantAnswer("time limit passed before the submission was read", send(900, func(ev *Submit) {
		ev.Submission.Received = f.now.Add(-time.Second)
	}), "not_run", answer.CodeDeadline)
	f.wantRejected("other content", send(1, func(*Submit) {}), 409)
	f.wantRejected("number above the window", send(1026, func(*Submit) {}), 422)
	f.wantRejected("number 0", send(0, func(*Submit) {}), 422)
	f.wantRejected("acknowledgement above the window", send(2, func(s *Submit) { s.AcknowledgedBelow = 2000 }), 422)
	f.wantRejected("no tasks", send(2, func(s *Submit) { s.Submission.Tasks = nil }), 400)
	f.wantRejected("timeout too long", send(2, func(s *Submit) { s.Submission.Timeout = time.Hour }), 400)
	f.wantRejected("session of another caller", send(2, func(s *Submit) { s.Caller = "rival" }), 403)
	f.wantRejected("service of another caller", send(2, func(s *Submit) { s.Submission.Service = "other" }), 403)
	f.wantAnswer("too large", send(3, func(s *Submit) { s.Submission.MemoryMB = 1 << 20 }), "not_run", answer.CodeNeverFits)
	f.wantAnswer("repeated submission after a refusal", send(3, func(*Submit) {}), "not_run", answer.CodeNeverFits)
	f.wantAnswer("closed session", send(2, func(s *Submit) { s.Job.Session.Number = 99 }), "unknown", answer.CodeSessionUnknown)
	f.wantAnswer("session of another instance", send(2, func(s *Submit) { s.Job.Session.Incarnation = 99 }), "unknown", answer.CodeHomeReplaced)
	f.wantAnswer("cancelled before it arrives", f.handle(Cancel{Request: f.nextRequest(), Job: JobID{f.session, 4}, Caller: "shop"}), "not_run", answer.CodeCancelled)
	f.wantAnswer("submission after its cancellation", send(4, func(*Submit) {}), "not_run", answer.CodeCancelled)
}

// Guards against refused starts that are repeated without a limit or that use up
// the attempts of the task, and against the answer not_run after attempted starts.
func TestRefusedStarts(t *testing.T) {
	f := newFixture(t, 3, 1)
	refused := 0
	actions := f.handle(Submit{Request: f.nextRequest(), Job: JobID{f.session, 1}, Caller: "shop", Submission: Submission{
		Service: "check", Timeout: 10 * time.Minute, Digest: 1, Tasks: make([]Task, 1)}})
	for len(actionsOf[ReplyAnswer](actions)) == 0 {
		if starts := actionsOf[StartAttempt](actions); len(starts) > 0 {
			refused++
			actions = f.reportEnd(starts[0], Refused{Cause: NoFreeSlot})
			continue
		}
		f.now = f.d.NextWake()
		actions = f.handle(Tick{})
	}
	if refused != f.d.cfg.MaxRefusals {
		t.Errorf("%d refused starts, want %d", refused, f.d.cfg.MaxRefusals)
	}
	f.wantAnswer("refused too often", actions, "failed", answer.CodeAttemptsExhausted)
}

// Guards against stop requests when no queued task needs the slot, and against a
// cancelled task that keeps its slot while other tasks are queued.
func TestStopOnlyIfWorkWaits(t *testing.T) {
	f := newFixture(t, 1, 1)
	started := onlyAction[StartAttempt](t, f.submit(1, 1, true))
	actions := f.handle(Cancel{Request: f.nextRequest(), Job: JobID{f.session, 1}, Caller: "shop"})
	if n := len(actionsOf[StopAttempt](actions)); n != 0 {
		t.Errorf("%d stops while nothing waits", n)
	}
	if stop := onlyAction[StopAttempt](t, f.submit(2, 1, true)); stop.Attempt != started.Attempt {
		t.Errorf("stop of %v, want %v", stop.Attempt, started.Attempt)
	}
	onlyAction[StartAttempt](t, f.reportEnd(started, Ambiguous{Message: "stopped"}))
	if n := f.d.Stats().ActiveJobs; n != 1 {
		t.Errorf("%d active jobs after the end of the stopped attempt, want 1", n)
	}
}

// Guards against a start on a target that reported that it is leaving, after one
// ticket removes the target from the configuration and the next one adds it again
// (P6).
func TestLeavingTargetStaysLeavingAfterTickets(t *testing.T) {
	for _, name := range []PolicyName{PolicyLoad, PolicyBaseline} {
		f := newFixture(t, 1, 1)
		cfg := DefaultConfig("e1", 7)
		cfg.Policy = name
		f.restart(cfg, testDirectory(1, 1))
		started := onlyAction[StartAttempt](t, f.submit(1, 1, true))
		f.handle(DirectoryChanged{Directory: testDirectory(0, 1)})
		actions := append(f.reportEnd(started, Refused{Cause: TargetLeaving}), f.handle(DirectoryChanged{Directory: testDirectory(1, 1)})...)
		f.now = f.now.Add(900 * time.Millisecond)
		if actions = append(actions, f.handle(Tick{})...); len(actionsOf[StartAttempt](actions)) > 0 {
			t.Errorf("policy %s: %+v", name, actions)
		}
	}
}

// Guards against the hedge of an attempt whose task has already succeeded by
// another attempt. Package job panics on such a start.
func TestNoHedgeOfFinishedTask(t *testing.T) {
	f := newFixture(t, 4, 1)
	dir := testDirectory(4, 1)
	dir.State.Services["check"] = directory.Service{Name: "check", MaxAttempts: 3, HedgePercent: 100}
	f.restart(DefaultConfig("e1", 7), dir)
	for range 100 {
		f.d.policy.(*loadPolicy).table.RecordRunTime("check", "taa", 0, 10*time.Millisecond)
	}
	starts := actionsOf[StartAttempt](f.submit(1, 2, true))
	f.d.actions = nil
	f.d.startAttempt(choice{task: &f.d.jobs[starts[0].Attempt.Job].tasks[starts[0].Attempt.Task], target: starts[1].Target, hedge: true})
	f.reportEnd(onlyAction[StartAttempt](t, f.d.actions), TaskSucceeded{})
	f.now = f.now.Add(900 * time.Millisecond)
	for _, s := range actionsOf[StartAttempt](f.handle(Tick{})) {
		if s.Attempt.Task == starts[0].Attempt.Task {
			t.Errorf("start of the finished task: %+v", s)
		}
	}
}

// Guards against a start for a session at the predecessor after the handover, and
// against a repeated transfer that restores a closed session (P1).
func TestHandOverToSuccessor(t *testing.T) {
	f := newFixture(t, 1, 1)
	started := onlyAction[StartAttempt](t, f.submit(1, 1, false))
	records := onlyAction[HandOver](t, f.handle(Drain{HasSuccessor: true})).Records
	onlyAction[ReplyHandedOver](t, f.submit(2, 1, false))
	f.wantRejected("new session", f.handle(OpenSession{Request: f.nextRequest(), Caller: "shop"}), 503)

	next := newFixture(t, 1, 1)
	next.d = New(DefaultConfig("e2", 8), rand.New(rand.NewPCG(1, 2)))
	next.session = f.session
	early := next.handle(ImportAnswers{Answers: []FinalAnswer{{Job: started.Attempt.Job, Answer: answer.Complete{}}}})
	next.wantRejected("answer before its session", early, 422)
	next.handle(DirectoryChanged{Directory: testDirectory(1, 1)})
	next.handle(ImportSessions{Records: records})
	if actions := next.submit(1, 1, false); len(actions) != 0 {
		t.Errorf("a repeated submission of a job that runs at the predecessor causes %+v", actions)
	}
	onlyAction[StartAttempt](t, next.submit(2, 1, false))

	actions := f.reportEnd(started, TaskSucceeded{})
	onlyAction[Drained](t, actions)
	delivered := ImportAnswers{Answers: onlyAction[DeliverAnswers](t, actions).Answers}
	next.wantAnswer("delivered", next.handle(delivered), "complete", "")

	next.handle(CloseSession{Request: next.nextRequest(), Session: f.session, Caller: "shop"})
	next.handle(ImportSessions{Records: records})
	next.wantAnswer("after a repeated transfer", next.submit(2, 1, false), "unknown", answer.CodeHomeReplaced)
	next.handle(Drain{})
	onlyAction[ReplyConfirmed](t, next.handle(ImportSessions{Records: records}))
	records[0].Session.Number++
	next.wantRejected("transfer to a draining instance", next.handle(ImportSessions{Records: records}), 503)
}

// Guards against the eviction of a session that is in use or has a running job,
// and against idle sessions that prevent new ones when the limit is reached.
func TestSessionEviction(t *testing.T) {
	f := newFixture(t, 1, 1)
	cfg := DefaultConfig("e1", 7)
	cfg.MaxSessions, cfg.SessionIdleTimeout = 1, 100*time.Millisecond
	f.restart(cfg, testDirectory(1, 1))
	open := func() []Action { return f.handle(OpenSession{Request: f.nextRequest(), Caller: "shop"}) }
	started := onlyAction[StartAttempt](t, f.submit(1, 1, false))
	f.now = f.now.Add(time.Second / 2)
	f.wantRejected("job is running", open(), 429)
	f.reportEnd(started, TaskSucceeded{})
	f.submit(1, 1, false)
	f.wantRejected("session is in use", open(), 429)
	f.now = f.now.Add(time.Second / 2)
	onlyAction[ReplySession](t, open())
	f.wantAnswer("evicted", f.submit(1, 1, false), "unknown", answer.CodeSessionUnknown)
}

// Guards against a job without an answer after the drain has reached its time
// limit, and against the answer not_run for a job whose task was attempted.
func TestStopNowAnswersAllJobs(t *testing.T) {
	f := newFixture(t, 1, 1)
	onlyAction[StartAttempt](t, f.submit(1, 1, false))
	f.submit(2, 1, false)
	f.handle(Drain{})
	f.wantAnswer("submission while draining", f.submit(3, 1, false), "not_run", answer.CodeDraining)
	actions := f.handle(StopNow{})
	onlyAction[Drained](t, actions)
	f.wantAnswer("attempted", actions, "unknown", answer.CodeDraining)
	f.wantAnswer("queued", actions[1:], "not_run", answer.CodeDraining)
}

// Guards against panics and repeated starts caused by session records of a peer
// that runs another version.
func FuzzImportSessions(f *testing.F) {
	f.Add(uint64(7), uint64(1), uint64(1), uint64(2), byte(1))
	f.Add(uint64(9), uint64(1)<<63, uint64(1)<<63, uint64(0), byte(3))
	f.Add(uint64(9), ^uint64(0), ^uint64(0), uint64(5), byte(2))
	f.Fuzz(func(t *testing.T, incarnation, low, first, second uint64, flags byte) {
		f := newFixture(t, 1, 1)
		id := SessionID{Incarnation: incarnation, Number: 5}
		jobs := []JobRecord{{Seq: first, Running: flags&1 != 0}, {Seq: second, Running: flags&2 != 0}}
		if flags&4 != 0 {
			jobs[1].Answer = answer.NotRun{}
		}
		ev := ImportSessions{Records: []SessionRecord{{Session: id, Caller: "shop", LowWater: low, Jobs: jobs}}}
		f.handle(ev)
		f.handle(ev)
		f.session = id
		for _, seq := range []uint64{first, second, low - 1} {
			if starts := actionsOf[StartAttempt](f.submit(seq, 1, false)); len(starts) > 0 {
				t.Fatalf("imported number %d starts again", seq)
			}
		}
		f.now = f.now.Add(time.Hour)
		f.handle(Tick{})
	})
}
