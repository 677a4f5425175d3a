package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testDirectory returns a configuration with the caller "shop", which may use the
// service "check", and n targets that serve it.
func testDirectory(n, slots int) *directory.Directory {
	s := directory.State{
		Teams:    map[string]directory.Team{"team": {Name: "team", Weight: 1}},
		Services: map[string]directory.Service{"check": {Name: "check", ExpectedMS: 100, MaxAttempts: 3}},
		Callers:  map[string]directory.Caller{"shop": {Name: "shop", Team: "team", Services: []string{"check"}}},
		Targets:  map[string]directory.Target{},
	}
	for i := range n {
		name := "t" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		s.Targets[name] = directory.Target{Name: name, Services: []string{"check"}, Address: "127.0.0.1:1", Slots: slots, Connections: 64, MemoryMB: 1024}
	}
	return &directory.Directory{Number: 1, State: s}
}

// fixture is a Dispatcher with a test directory and one open session.
type fixture struct {
	t           testing.TB
	d           *Dispatcher
	now         time.Time
	session     SessionID
	lastRequest RequestID
}

func newFixture(t testing.TB, targets, slots int) *fixture {
	f := &fixture{t: t, now: epoch}
	f.restart(DefaultConfig("e1", 7), testDirectory(targets, slots))
	return f
}

// restart replaces the Dispatcher by a new one with one open session.
func (f *fixture) restart(cfg Config, dir *directory.Directory) {
	f.d = New(cfg, rand.New(rand.NewPCG(1, 2)))
	f.handle(DirectoryChanged{Directory: dir})
	f.session = onlyAction[ReplySession](f.t, f.handle(OpenSession{Request: f.nextRequest(), Caller: "shop"})).Session
}

func (f *fixture) nextRequest() RequestID {
	f.lastRequest++
	return f.lastRequest
}

func (f *fixture) handle(ev Event) []Action { return f.d.Handle(f.now, ev) }

func (f *fixture) submit(seq uint64, tasks int, repeatable bool) []Action {
	return f.handle(Submit{Request: f.nextRequest(), Job: JobID{f.session, seq}, Caller: "shop", Submission: Submission{
		Service: "check", Repeatable: repeatable, Timeout: time.Second, Digest: 1 + seq, Tasks: make([]Task, tasks),
	}})
}

func (f *fixture) reportEnd(s StartAttempt, o Outcome) []Action {
	return f.handle(AttemptEnded{Attempt: s.Attempt, Target: s.Target, Outcome: o})
}

// actionsOf returns the actions of type A.
func actionsOf[A Action](actions []Action) []A {
	var found []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// onlyAction returns the action of type A and fails the test if there is not
// exactly one.
func onlyAction[A Action](t testing.TB, actions []Action) A {
	t.Helper()
	found := actionsOf[A](actions)
	if len(found) != 1 {
		t.Fatalf("%d actions of type %T in %+v, want 1", len(found), *new(A), actions)
	}
	return found[0]
}

// Guards against an answer with a missing result or with results in the wrong
// order, and against a repeated submission that starts its tasks again.
func TestSubmitComplete(t *testing.T) {
	f := newFixture(t, 2, 2)
	starts := actionsOf[StartAttempt](f.submit(1, 2, false))
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	if again := f.submit(1, 2, false); len(again) != 0 {
		t.Fatalf("a repeated submission of a running job causes %+v", again)
	}
	f.reportEnd(starts[1], TaskSucceeded{Result: []byte("second")})
	replies := actionsOf[ReplyAnswer](f.reportEnd(starts[0], TaskSucceeded{Result: []byte("first")}))
	if len(replies) != 2 {
		t.Fatalf("%d replies, want 2", len(replies))
	}
	c, ok := replies[0].Answer.(answer.Complete)
	if !ok || string(c.Results[0]) != "first" || string(c.Results[1]) != "second" {
		t.Fatalf("answer is %+v", replies[0].Answer)
	}
	onlyAction[ReplyAnswer](t, f.submit(1, 2, false))
}
