package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// bench drives a Scheduler with targets that answer as the test says.
type bench struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
	out []Action
}

const testLease = time.Second

func newBench(t *testing.T, targets ...Target) *bench {
	b := &bench{
		t: t, now: time.Unix(1000, 0),
		s: New(Config{Lease: testLease, MaxClockDrift: 0.02, RemoteRackFactor: 2}),
	}
	b.send(TargetsChanged{Targets: targets})
	for _, l := range take[Poll](b) {
		b.look(l.Target, PollReturned{})
	}
	return b
}

// testTarget has room for two tasks of testJob.
func testTarget(id string) Target {
	return Target{ID: id, Service: "s", Address: id + ":1", Incarnation: 1, CPU: 64_000, MemoryMB: 1000, Fence: 7}
}

func testJob(id string, tasks int) Job {
	return Job{
		ID: id, Queue: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond,
		Steps: []Step{{Count: tasks, CPU: 27_000, MemoryMB: 64, Estimate: 200 * time.Millisecond}},
	}
}

func (b *bench) send(ev Event) { b.out = append(b.out, b.s.Handle(b.now, ev)...) }

func (b *bench) submit(request RequestID, j Job) {
	j.Arrived = b.now
	if j.Deadline.IsZero() {
		j.Deadline = b.now.Add(1500 * time.Millisecond)
	}
	b.send(Submit{Request: request, Job: j})
}

func (b *bench) wait(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		b.send(Tick{})
	}
}

// look answers the look that is on its way to the target.
func (b *bench) look(target string, ev PollReturned) {
	ev.Target, ev.Answered, ev.ClockMS = target, true, b.now.UnixMilli()
	if ev.Incarnation == 0 {
		ev.Incarnation = 1
	}
	if ev.Sent.IsZero() {
		ev.Sent = b.now
	}
	b.now = b.now.Add(time.Millisecond)
	b.send(ev)
}

func (b *bench) started(a Start, result StartResult) {
	b.now = b.now.Add(time.Millisecond)
	b.send(StartReturned{Run: a.Run, Target: a.Target, Result: result, ClockMS: b.now.UnixMilli()})
}

// take removes the actions of one type from the output and returns them.
func take[A Action](b *bench) []A {
	var found []A
	var rest []Action
	for _, a := range b.out {
		if x, ok := a.(A); ok {
			found = append(found, x)
		} else {
			rest = append(rest, a)
		}
	}
	b.out = rest
	return found
}

func one[A Action](b *bench) A {
	b.t.Helper()
	all := take[A](b)
	if len(all) != 1 {
		b.t.Fatalf("got %d actions of type %T, want 1: %+v", len(all), *new(A), all)
	}
	return all[0]
}

func none[A Action](b *bench) {
	b.t.Helper()
	if all := take[A](b); len(all) != 0 {
		b.t.Fatalf("got %+v, want none", all)
	}
}

// A target that was idle is looked at as soon as it runs something again.
// Otherwise its ends are noted seconds late.
func TestStartOnIdleTargetIsLookedAt(t *testing.T) {
	b := newBench(t, testTarget("a"))
	for i := range 2 {
		b.submit(RequestID(i+1), testJob(fmt.Sprint("j", i), 1))
		st := one[Start](b)
		b.started(st, StartAccepted)
		l := one[Poll](b)
		if l.MaxWait != lookWait || l.LeaseMS == 0 {
			t.Fatalf("look %d waits %v with the lease %d", i, l.MaxWait, l.LeaseMS)
		}
		b.look("a", PollReturned{Completions: []Completion{{Number: int64(i + 1), Run: st.Run, Result: RunSucceeded}}})
		r := one[Reply](b)
		if _, ok := r.Outcome.(Completed); !ok {
			t.Fatalf("the answer is %#v", r.Outcome)
		}
	}
}
