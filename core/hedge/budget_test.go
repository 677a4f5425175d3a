package hedge

import (
	"testing"
	"time"
)

// Guards against more hedges than the configured percentage, and against a hedge
// of a task that must not run twice, has no attempts left or cannot meet its
// deadline.
func TestBudgetLimitsHedges(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := Task{Repeatable: true, InFlight: 1, MaxAttempts: 3, Deadline: now.Add(time.Minute)}
	b := New(2)
	hedged := 0
	for range 1000 {
		b.RecordStart()
		if b.Take(now, a, time.Second) {
			hedged++
		}
	}
	if hedged < 19 || hedged > 20 {
		t.Fatalf("%d hedges for 1000 starts at 2%%, want 19 or 20", hedged)
	}
	for range 1000 {
		b.RecordStart()
	}
	refused := []Task{a, a, a, a}
	refused[0].Repeatable = false
	refused[1].InFlight = 2
	refused[2].Finished = 2
	refused[3].Deadline = now
	for i, r := range refused {
		if b.Take(now, r, time.Second) {
			t.Errorf("task %d was hedged: %+v", i, r)
		}
	}
}
