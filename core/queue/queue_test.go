package queue

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func job(key uint64, team string, at time.Duration, expected time.Duration, n int) Job {
	j := Job{Key: key, Team: team, Service: "s", Arrived: start.Add(at), Expected: expected}
	j.Deadline = j.Arrived.Add(time.Minute)
	for i := range n {
		j.Tasks = append(j.Tasks, Task{Index: i, Bytes: 10, Expected: expected})
	}
	return j
}

func take(t *testing.T, q *Queue) uint64 {
	t.Helper()
	h, ok := q.Peek(nil)
	if !ok {
		t.Fatal("no task can be taken")
	}
	q.Take(h.Job, false)
	return h.Job
}

// Guards against a team that gets more slot time than its weight allows because it
// has many or long tasks.
func TestSharesSlotTimeByWeight(t *testing.T) {
	q := New(Limits{Tasks: 10000, Bytes: 1 << 20})
	q.SetTeam("heavy", 3, 0)
	q.Add(job(1, "heavy", 0, 200*time.Millisecond, 2000))
	q.Add(job(2, "light", 0, 100*time.Millisecond, 2000))
	used := map[uint64]int{}
	for range 1000 {
		used[take(t, q)]++
	}
	// With weights 3:1 and tasks of lengths 2:1, the tasks started are 3:2.
	if used[1] < 595 || used[1] > 605 {
		t.Fatalf("heavy team started %d of 1000, want about 600", used[1])
	}
}

// Guards against charging forecast instead of measured run times. A team with
// wrong declared times would then get too many or too few slots.
func TestChargesMeasuredTime(t *testing.T) {
	q := New(Limits{Tasks: 10000, Bytes: 1 << 20})
	q.Add(job(1, "a", 0, 100*time.Millisecond, 2000))
	q.Add(job(2, "b", 0, 100*time.Millisecond, 2000))
	used := map[uint64]int{}
	for range 1000 {
		k := take(t, q)
		used[k]++
		if k == 1 {
			q.RecordEnd("a", 100*time.Millisecond, time.Second)
		} else {
			q.RecordEnd("b", 100*time.Millisecond, 100*time.Millisecond)
		}
	}
	if used[1] > 100 {
		t.Fatalf("team whose tasks run ten times longer started %d of 1000", used[1])
	}
}

// Guards against small new jobs that starve a large one, and against a started
// job that waits behind new ones.
func TestLargeJobIsNotStarved(t *testing.T) {
	q := New(Limits{Tasks: 10000, Bytes: 1 << 20})
	q.Add(job(1, "a", 0, time.Second, 3))
	for i := range 100 {
		q.Add(job(uint64(2+i), "a", time.Duration(i)*100*time.Millisecond, 50*time.Millisecond, 1))
	}
	for i := range 101 {
		if take(t, q) == 1 {
			if i > 25 {
				t.Fatalf("large job started after %d small ones", i)
			}
			for range 2 {
				if take(t, q) != 1 {
					t.Fatal("a new job was started before a started one")
				}
			}
			return
		}
	}
}

// Guards against wrong task and byte counts after jobs are dropped or parked, or
// tasks are requeued.
func TestDropParkRequeue(t *testing.T) {
	q := New(Limits{Tasks: 10, Bytes: 100})
	a, b := job(1, "a", 0, time.Second, 6), job(2, "b", 0, time.Second, 4)
	if !q.Add(a) || !q.Add(b) || q.Add(job(3, "a", 0, time.Second, 1)) {
		t.Fatal("the limits are not enforced")
	}
	q.Park(1)
	if take(t, q) != 2 {
		t.Fatal("a parked job was not skipped")
	}
	q.Requeue(b, Task{Index: 9, Bytes: 10, Expected: time.Second})
	if got := q.Drop(2); len(got) != 4 || got[0].Index != 9 {
		t.Fatalf("dropped %v", got)
	}
	q.UnparkAll()
	if n := len(q.Drop(1)); n != 6 {
		t.Fatalf("dropped %d tasks, want 6", n)
	}
	if n, bytes := q.Len(); n != 0 || bytes != 0 || q.Work() != 0 || len(q.active) != 0 {
		t.Fatalf("%d tasks, %d bytes left", n, bytes)
	}
}

// Guards against a team that exceeds its limit of running tasks, and against such
// a limit that blocks other teams.
func TestTeamLimit(t *testing.T) {
	q := New(Limits{Tasks: 100, Bytes: 10000})
	q.SetTeam("a", 1, 2)
	q.Add(job(1, "a", 0, time.Second, 5))
	take(t, q)
	take(t, q)
	if _, ok := q.Peek(nil); ok {
		t.Fatal("the team exceeds its limit")
	}
	q.Add(job(2, "b", 0, time.Second, 1))
	if take(t, q) != 2 {
		t.Fatal("another team is blocked")
	}
	q.RecordEnd("a", time.Second, time.Second)
	if take(t, q) != 1 {
		t.Fatal("a team below its limit is blocked")
	}
}
