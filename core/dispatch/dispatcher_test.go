package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testDirectory has the caller "shop" of the service "check" on n targets.
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

// bench is a Dispatcher with the test directory and one open session.
type bench struct {
	t   testing.TB
	d   *Dispatcher
	now time.Time
	id  SessionID
	req RequestID
}

func newBench(t testing.TB, targets, slots int) *bench {
	b := &bench{t: t, now: epoch}
	b.restart(DefaultConfig("e1", 7), testDirectory(targets, slots))
	return b
}

// restart replaces the Dispatcher by a new one with one open session.
func (b *bench) restart(cfg Config, dir *directory.Directory) {
	b.d = New(cfg, rand.New(rand.NewPCG(1, 2)))
	b.handle(DirectoryChanged{Directory: dir})
	b.id = one[ReplySession](b.t, b.handle(OpenSession{Request: b.next(), Caller: "shop"})).Session
}

func (b *bench) next() RequestID {
	b.req++
	return b.req
}

func (b *bench) handle(ev Event) []Action { return b.d.Handle(b.now, ev) }

func (b *bench) submit(seq uint64, tasks int, repeatable bool) []Action {
	return b.handle(Submit{Request: b.next(), Job: JobID{b.id, seq}, Caller: "shop", Submission: Submission{
		Service: "check", Repeatable: repeatable, Timeout: time.Second, Digest: 1 + seq, Tasks: make([]Task, tasks),
	}})
}

func (b *bench) end(s StartAttempt, o Outcome) []Action {
	return b.handle(AttemptEnded{Attempt: s.Attempt, Target: s.Target, Outcome: o})
}

func all[A Action](actions []Action) []A {
	var found []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// one returns the only action of a type.
func one[A Action](t testing.TB, actions []Action) A {
	t.Helper()
	found := all[A](actions)
	if len(found) != 1 {
		t.Fatalf("%d actions of type %T in %+v, want 1", len(found), *new(A), actions)
	}
	return found[0]
}

// Guards against a submission that loses a result or swaps the order of
// results, and against a copy that starts tasks again.
func TestSubmitComplete(t *testing.T) {
	b := newBench(t, 2, 2)
	starts := all[StartAttempt](b.submit(1, 2, false))
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	if again := b.submit(1, 2, false); len(again) != 0 {
		t.Fatalf("a copy of a running submission causes %+v", again)
	}
	b.end(starts[1], TaskSucceeded{Result: []byte("second")})
	replies := all[ReplyAnswer](b.end(starts[0], TaskSucceeded{Result: []byte("first")}))
	if len(replies) != 2 {
		t.Fatalf("%d replies, want 2", len(replies))
	}
	c, ok := replies[0].Answer.(answer.Complete)
	if !ok || string(c.Results[0]) != "first" || string(c.Results[1]) != "second" {
		t.Fatalf("answer is %+v", replies[0].Answer)
	}
	one[ReplyAnswer](t, b.submit(1, 2, false))
}
