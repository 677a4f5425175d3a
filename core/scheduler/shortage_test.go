package scheduler

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// fillQueue fills the only target with jobs of the queue "bulk" and lets as many wait as
// can be in time.
func fillQueue(t *testing.T) *harness {
	h := newHarness(t, testTarget("a"))
	for i := range 6 {
		h.submit(RequestID(i+1), shortageJob(fmt.Sprintf("bulk%d", i), "bulk", 1, 200*time.Millisecond))
		h.now = h.now.Add(time.Microsecond)
	}
	if n := len(take[Reply](h)); n != 0 {
		t.Fatalf("%d jobs were answered although all can be in time", n)
	}
	return h
}

func shortageJob(id, queue string, priority int, estimate time.Duration) Job {
	j := testJob(id, 1)
	j.Queue, j.Priority, j.Slack = queue, priority, 300*time.Millisecond
	j.Steps[0].Estimate = estimate
	return j
}

// Guards against a queued job that keeps its place although one that costs callers more
// arrives, against a refusal that comes only when its caller stops waiting, and against
// one that does not name what was preferred.
func TestQueuedJobGivesWayAtOnce(t *testing.T) {
	h := fillQueue(t)
	h.submit(10, shortageJob("rare", "rare", 0, 20*time.Millisecond))
	r := one[Reply](h)
	if refused, ok := r.Outcome.(Refused); !ok || refused.Reason != ReasonOverloaded || r.Job[:4] != "bulk" {
		t.Fatalf("%+v; want a job of the queue bulk to be refused", r)
	}
	if m := r.Summary; m.Preferred != "rare" || m.PreferredQueue != "rare" || m.Starts != 0 || m.Cost <= 0 || m.Priority != 1 {
		t.Errorf("%+v; want the job rare to be named", m)
	}
	rooms := h.s.Stats().Rooms
	if len(rooms) != 2 || rooms[0].TurnsAway || !rooms[1].TurnsAway || rooms[0].ForecastWait > rooms[1].ForecastWait {
		t.Errorf("the report is %+v; want that jobs of priority 1 are turned away", rooms)
	}
	h.advance(2 * turnsAwayPeriod)
	if rooms := h.s.Stats().Rooms; rooms[1].TurnsAway {
		t.Errorf("the report is %+v after %v without a refusal", rooms, 2*turnsAwayPeriod)
	}
}

// Guards against callers that all come back at the same time after a shortage.
func TestRetryAfterIsSpread(t *testing.T) {
	h := fillQueue(t)
	times := map[time.Duration]bool{}
	for i := range 40 {
		h.submit(RequestID(100+i), shortageJob(fmt.Sprintf("more%d", i), "bulk", 1, 200*time.Millisecond))
		for _, r := range take[Reply](h) {
			after := r.Outcome.(Refused).RetryAfter
			if after < minRetryAfter || after > 2*maxRetryAfter {
				t.Errorf("retry after %v", after)
			}
			times[after.Round(100*time.Millisecond)] = true
		}
	}
	if len(times) < 8 {
		t.Errorf("the refused jobs come back at %d different times of 100 ms", len(times))
	}
}

// Guards against a refusal while room is free: a job for which nothing else waits starts
// at once, also when its objective is missed already.
func TestLateJobUsesFreeRoom(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	j := shortageJob("late", "bulk", 1, 200*time.Millisecond)
	j.Arrived, j.Deadline = h.now.Add(-700*time.Millisecond), h.now.Add(time.Second)
	h.send(Submit{Request: 1, Job: j})
	if n := len(take[Start](h)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// Guards against the refusal of a job in an idle system because its body took long to
// arrive: its caller waits for seconds, and it needs milliseconds.
func TestOverdueJobUsesIdleRoom(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	j := shortageJob("overdue", "bulk", 1, 50*time.Millisecond)
	j.Arrived, j.Deadline = h.now.Add(-7*time.Second), h.now.Add(13*time.Second)
	h.send(Submit{Request: 1, Job: j})
	if n := len(take[Start](h)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// Guards against an overdue job that takes room from jobs that are in time, or waits for
// room, and against a refusal that tells its caller a wrong reason.
func TestOverdueJobTakesOnlyIdleRoom(t *testing.T) {
	for _, mustStartNow := range []bool{false, true} {
		h := fillQueue(t)
		j := shortageJob("overdue", "bulk", 0, 50*time.Millisecond)
		j.Arrived, j.Deadline, j.MustStartNow = h.now.Add(-7*time.Second), h.now.Add(13*time.Second), mustStartNow
		h.send(Submit{Request: 10, Job: j})
		r := one[Reply](h)
		if refused, ok := r.Outcome.(Refused); !ok || refused.Reason != ReasonOverloaded || r.Job != "overdue" {
			t.Errorf("%+v; want the overdue job to be refused for want of room", r)
		}
	}
}

// Guards against an overdue job that is accepted although its caller leaves before it ends.
func TestOverdueJobEndsBeforeItsDeadline(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	j := shortageJob("overdue", "bulk", 1, 200*time.Millisecond)
	j.Arrived, j.Deadline = h.now.Add(-7*time.Second), h.now.Add(150*time.Millisecond)
	h.send(Submit{Request: 1, Job: j})
	if refused, ok := one[Reply](h).Outcome.(Refused); !ok || refused.Reason != ReasonDeadline {
		t.Errorf("%+v, want a refusal for the deadline", refused)
	}
}

// Guards against refusing all queued jobs when one request to the only target is not
// answered, and against keeping them when the target stays unreachable.
func TestLostAnswerRefusesNoQueuedJob(t *testing.T) {
	h := fillQueue(t)
	h.advance(recentContact)
	h.s.targets["a"].recordNoAnswer(h.now)
	h.advance(10 * time.Millisecond)
	if replies := take[Reply](h); len(replies) != 0 {
		t.Errorf("%d queued jobs were refused after one lost answer", len(replies))
	}
	if room := h.s.room("s"); room.Cores == 0 || len(room.Releases) == 0 {
		t.Errorf("the room is %+v after one lost answer", room)
	}
	h.s.targets["a"].unansweredSince = h.now.Add(-2 * unansweredRoomTime)
	if room := h.s.room("s"); room.Cores != 0 {
		t.Errorf("an unreachable target counts as %.0f cores after %v", room.Cores, 2*unansweredRoomTime)
	}
}

// Guards against decisions that depend on the order of a map.
func TestEqualEventsGiveEqualRoom(t *testing.T) {
	type values struct {
		room  any
		rooms []PriorityRoom
	}
	var first values
	for run := range 100 {
		h := newHarness(t, testTarget("a"), testTarget("b"), testTarget("c"))
		for i := range 12 {
			j := shortageJob(fmt.Sprintf("job%d", i), fmt.Sprintf("queue%d", i), i%3, time.Duration(100+17*i)*time.Millisecond)
			h.submit(RequestID(i+1), j)
			h.now = h.now.Add(3 * time.Millisecond)
		}
		got := values{h.s.room("s"), h.s.Stats().Rooms}
		if run == 0 {
			first = got
		}
		if !reflect.DeepEqual(got, first) {
			t.Fatalf("run %d gave %+v, the first %+v", run, got, first)
		}
	}
}

// Guards against a shortage of one service that keeps jobs of another service from being
// offered to this instance, and that lets refused jobs of the other wait for longer.
func TestShortageOfOneServiceLeavesTheOthers(t *testing.T) {
	other := testTarget("b")
	other.Service = "other"
	h := newHarness(t, testTarget("a"), other)
	submit := func(id RequestID, service, queue string) {
		j := shortageJob(fmt.Sprintf("job%d", id), queue, 1, 200*time.Millisecond)
		j.Service = service
		h.submit(id, j)
		h.now = h.now.Add(time.Microsecond)
	}
	submit(1, "other", "small")
	for i := range 12 {
		submit(RequestID(10+i), "s", "bulk")
	}
	h.advance(50 * time.Millisecond)
	if len(take[Reply](h)) == 0 {
		t.Fatal("no job was refused")
	}
	if rooms := h.s.Stats().Rooms; len(rooms) != 1 || rooms[0].TurnsAway || rooms[0].ForecastWait != 0 {
		t.Errorf("the report is %+v while a service with jobs of the priority has room", rooms)
	}
	for _, j := range []struct {
		service, queue string
		want           bool
	}{{"s", "bulk", true}, {"other", "small", false}} {
		after := h.s.retryAfter(&job{Job: Job{ID: "x", Service: j.service, Queue: j.queue, Priority: 1}})
		if waits := after > minRetryAfter; waits != j.want {
			t.Errorf("a job of service %q is to come back after %v, the shortest time is %v", j.service, after, minRetryAfter)
		}
	}
}

// Guards against an average of the unusable room that depends on how often decisions are
// made, that stays after nothing waits, and that counts room which the waiting jobs do
// not ask for.
func TestUnusableRoomIsAveragedOverTime(t *testing.T) {
	share := func(interval time.Duration) float64 {
		h := fillQueue(t)
		for end := h.now.Add(50 * time.Millisecond); h.now.Before(end); {
			h.now = h.now.Add(interval)
			h.s.now = h.now
			h.s.room("s")
		}
		return 1 - h.s.room("s").Cores/64
	}
	often, rarely := share(time.Millisecond), share(10*time.Millisecond)
	if often <= 0 || often/rarely > 1.3 || rarely/often > 1.3 {
		t.Errorf("the unusable share is %.3f with decisions each 1 ms, %.3f with each 10 ms", often, rarely)
	}

	h := fillQueue(t)
	for range 50 {
		h.s.now = h.s.now.Add(planInterval)
		h.s.room("s")
	}
	before := 1 - h.s.room("s").Cores/64
	h.s.now = h.s.now.Add(time.Minute)
	if after := 1 - h.s.room("s").Cores/64; after > before/5 {
		t.Errorf("the unusable share is %.3f after a minute without a decision, %.3f before", after, before)
	}
}

// Guards against room that is held to be unusable because the waiting jobs ask for
// labels, racks or accelerators.
func TestRestrictedJobsDoNotShowUnusableRoom(t *testing.T) {
	for name, restrict := range map[string]func(*Step){
		"label":       func(st *Step) { st.Label = "fast" },
		"rack":        func(st *Step) { st.Rack = "r1" },
		"accelerator": func(st *Step) { st.Accelerators = 1 },
	} {
		special := testTarget("a")
		special.Labels, special.Accelerators = []string{"fast"}, 1
		h := newHarness(t, special, testTarget("b"))
		for i := range 8 {
			j := shortageJob(fmt.Sprintf("job%d", i), "bulk", 1, 200*time.Millisecond)
			restrict(&j.Steps[0])
			h.submit(RequestID(i+1), j)
			h.now = h.now.Add(planInterval)
		}
		if len(h.s.queue) == 0 {
			t.Fatalf("%s: no job waits", name)
		}
		if room := h.s.room("s"); room.Cores != 128 {
			t.Errorf("%s: %.1f of 128 cores count as usable", name, room.Cores)
		}
	}
}
