package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// harness drives a Scheduler. The test provides the answers of the targets.
type harness struct {
	t       *testing.T
	s       *Scheduler
	now     time.Time
	actions []Action
	// keepCrashes leaves it to the test to record the crashes that are found.
	keepCrashes bool
}

const (
	testLease      = time.Second
	testClockDrift = 0.02
)

func newHarness(t *testing.T, targets ...Target) *harness {
	h := &harness{
		t: t, now: time.Unix(1000, 0),
		s: New(Config{Lease: testLease, MaxClockDrift: testClockDrift, RemoteRackFactor: 2}),
	}
	h.send(TargetsChanged{Targets: targets})
	for _, p := range take[Poll](h) {
		h.answerPoll(p.Target, PollReturned{})
	}
	return h
}

// testTarget returns a target with capacity for two tasks of testJob.
func testTarget(id string) Target {
	return Target{ID: id, Service: "s", Address: id + ":1", Incarnation: 1, CPU: 64_000, MemoryMB: 1000, Fence: 7}
}

func testJob(id string, tasks int) Job {
	return Job{
		ID: id, Queue: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond,
		Steps: []Step{{Count: tasks, CPU: 27_000, MemoryMB: 64, Estimate: 200 * time.Millisecond}},
	}
}

func (h *harness) send(ev Event) {
	found := h.s.Handle(h.now, ev)
	h.actions = append(h.actions, found...)
	for _, a := range found {
		if c, ok := a.(CrashFound); ok && !h.keepCrashes {
			h.send(CrashRecorded(c))
		}
	}
}

func (h *harness) submit(request RequestID, j Job) {
	j.Arrived = h.now
	if j.Deadline.IsZero() {
		j.Deadline = h.now.Add(1500 * time.Millisecond)
	}
	h.send(Submit{Request: request, Job: j})
}

func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.send(Tick{})
	}
}

// answerPoll answers the poll of a target that is in flight.
func (h *harness) answerPoll(target string, ev PollReturned) {
	ev.Target, ev.Answered, ev.ClockMS = target, true, h.now.UnixMilli()
	if ev.Incarnation == 0 {
		ev.Incarnation = 1
	}
	if ev.Sent.IsZero() {
		ev.Sent = h.now
	}
	h.now = h.now.Add(time.Millisecond)
	h.send(ev)
}

func (h *harness) answerStart(a Start, result StartResult) {
	h.now = h.now.Add(time.Millisecond)
	h.send(StartReturned{Run: a.Run, Target: a.Target, Result: result, ClockMS: h.now.UnixMilli()})
}

// take removes the actions of one type from the output and returns them.
func take[A Action](h *harness) []A {
	var found []A
	var rest []Action
	for _, a := range h.actions {
		if x, ok := a.(A); ok {
			found = append(found, x)
		} else {
			rest = append(rest, a)
		}
	}
	h.actions = rest
	return found
}

func one[A Action](h *harness) A {
	h.t.Helper()
	all := take[A](h)
	if len(all) != 1 {
		h.t.Fatalf("got %d actions of type %T, want 1: %+v", len(all), *new(A), all)
	}
	return all[0]
}

func none[A Action](h *harness) {
	h.t.Helper()
	if all := take[A](h); len(all) != 0 {
		h.t.Fatalf("got %+v, want none", all)
	}
}

// Guards against completions that are noticed seconds late: an idle target must be
// polled as soon as a run starts on it.
func TestStartOnIdleTargetPollsAtOnce(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	for i := range 2 {
		h.submit(RequestID(i+1), testJob(fmt.Sprint("j", i), 1))
		st := one[Start](h)
		h.answerStart(st, StartAccepted)
		p := one[Poll](h)
		if p.MaxWait != pollWait || p.LeaseMS == 0 {
			t.Fatalf("poll %d waits %v with a lease until %d ms", i, p.MaxWait, p.LeaseMS)
		}
		h.answerPoll("a", PollReturned{Completions: []Completion{{Number: int64(i + 1), Run: st.Run, Result: RunSucceeded}}})
		r := one[Reply](h)
		if _, ok := r.Outcome.(Completed); !ok {
			t.Fatalf("the outcome is %#v", r.Outcome)
		}
	}
}
