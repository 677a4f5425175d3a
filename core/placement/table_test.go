package placement

import (
	"fmt"
	"testing"
	"time"

	"marigoldfront.dev/core/directory"
)

var start = time.Unix(1_700_000_000, 0)

func newTable(targets int) *Table {
	st := directory.State{
		Services: map[string]directory.Service{"s": {Name: "s", ExpectedMS: 100}},
		Targets:  map[string]directory.Target{},
	}
	for i := range targets {
		name := fmt.Sprintf("t%03d", i)
		st.Targets[name] = directory.Target{
			Name: name, Services: []string{"s"}, Region: "r", AvailabilityZone: "a",
			Address: "127.0.0.1:1", Slots: 8, Connections: 64, MemoryMB: 1000,
		}
	}
	t := New(Config{Instance: "e1", Region: "r", AvailabilityZone: "a"})
	t.SetDirectory(&directory.Directory{Number: 1, State: st})
	t.SetEntryInstances([]string{"e1", "e2"})
	return t
}

// Guards against a slot that two instances both assign to themselves, or that
// neither does.
func TestEachSlotIsAssignedOnce(t *testing.T) {
	one, two := newTable(5), newTable(5)
	two.cfg.Instance = "e2"
	two.assignSlots()
	if got := one.AssignedSlots() + two.AssignedSlots(); got != 40 {
		t.Fatalf("%d of 40 slots assigned", got)
	}
}

// Guards against new work on a target that is leaving or no longer listed, and
// against an empty instance list that removes all targets.
func TestLeavingExcluded(t *testing.T) {
	tb := newTable(3)
	req := Request{Service: "s", Waiting: 1}
	tb.SetInstanceList([]ListedTarget{{Name: "t000"}, {Name: "t001"}, {Name: "t002"}})
	tb.SetInstanceList([]ListedTarget{{Name: "t001", Leaving: true}, {Name: "t002"}})
	tb.SetInstanceList(nil)
	if c, result := tb.Choose(start, req); result != Found || c.Target != "t002" {
		t.Fatalf("chose %+v", c)
	}
	tb.MarkLeaving(start, "t002")
	tb.SetInstanceList([]ListedTarget{{Name: "t001", Leaving: true}, {Name: "t002"}})
	if c, result := tb.Choose(start.Add(time.Second), req); result == Found {
		t.Fatalf("chose %+v although the target reported that it is leaving", c)
	}
}

// Guards against sending a task to a slow target although it would complete earlier
// on a fast one, against never using a slow target, and against a second attempt
// on the same target.
func TestChoosesByExpectedCompletion(t *testing.T) {
	tb := newTable(2)
	for range 200 {
		tb.RecordRunTime("s", "t000", 0, 400*time.Millisecond)
		tb.RecordRunTime("s", "t001", 0, 100*time.Millisecond)
	}
	req := Request{Service: "s", Waiting: 1}
	for range 4 {
		c, result := tb.Choose(start, req)
		if result != Found || c.Target != "t001" {
			t.Fatalf("chose %+v", c)
		}
		tb.RecordStart(c.Target, req)
	}
	if c, result := tb.Choose(start, req); result == Found {
		t.Fatalf("chose %+v although the task completes earlier by waiting", c)
	}
	req.Waiting = 50
	if c, result := tb.Choose(start, req); result != Found || c.Target != "t000" {
		t.Fatalf("chose %+v with a long queue", c)
	}
	req.Tried = []string{"t000"}
	if c, result := tb.Choose(start, req); result == Found {
		t.Fatalf("chose %+v although the target was tried", c)
	}
}

// Guards against queueing a job until its deadline although no target is large
// enough for it.
func TestNeverFits(t *testing.T) {
	tb := newTable(2)
	if anyTarget, _ := tb.Fits("s", 1001, 0); anyTarget {
		t.Fatal("task larger than every target fits")
	}
	if anyTarget, servingTarget := tb.Fits("s", 1000, 0); !anyTarget || !servingTarget {
		t.Fatal("task as large as a target does not fit")
	}
}

// Guards against wrong forecasts if all declared times are wrong by the same
// factor.
func TestDeclaredTimesAreScaled(t *testing.T) {
	tb := newTable(1)
	for i := range 2000 {
		took := time.Duration(50+i%50) * time.Millisecond
		tb.RecordRunTime("s", "t000", took*10, took)
	}
	c, _ := tb.Choose(start, Request{Service: "s", Declared: time.Second, Waiting: 1})
	if got := c.Expected; got < 90*time.Millisecond || got > 110*time.Millisecond {
		t.Fatalf("forecast %v for a declared second, want about 100ms", got)
	}
}

func BenchmarkChoose200(b *testing.B) {
	tb := newTable(200)
	req := Request{Service: "s", Waiting: 1}
	now := start
	for b.Loop() {
		now = now.Add(50 * time.Microsecond)
		c, result := tb.Choose(now, req)
		if result == Found {
			tb.RecordStart(c.Target, req)
			tb.RecordEnd(c.Target, req)
			tb.RecordRunTime("s", c.Target, 0, 100*time.Millisecond)
			tb.RecordReport(now, c.Target, 3, 8)
		}
	}
}

// Guards against a task that waits until its deadline for an assigned slot that it
// cannot use, because it was tried on all those targets or is too large for them.
func TestUsesUnassignedSlots(t *testing.T) {
	tb := newTable(3)
	tb.targets["t002"].sameZone = false
	tb.targets["t002"].MemoryMB = 2000
	tb.assignSlots()
	for _, r := range []Request{
		{Service: "s", Waiting: 1, Tried: []string{"t000", "t001"}},
		{Service: "s", Waiting: 1, MemoryMB: 1500},
	} {
		if c, result := tb.Choose(start, r); result != Found || c.Target != "t002" {
			t.Errorf("request %+v: chose %+v with result %d", r, c, result)
		}
	}
}

// Guards against an instance that never starts a task because no slot is assigned
// to it.
func TestWithoutAssignedSlots(t *testing.T) {
	tb := newTable(1)
	tb.targets["t000"].Slots = 1
	for _, name := range []string{"e1", "e2"} {
		tb.cfg.Instance = name
		tb.assignSlots()
		if _, result := tb.Choose(start, Request{Service: "s", Waiting: 1}); result != Found {
			t.Errorf("%s starts no task, result %d", name, result)
		}
	}
}

// Guards against a task that waits until its deadline for a faster target that it
// must not use, or on which this instance has no attempt whose end would cause the
// task to be considered again.
func TestWaitsOnlyForBusyTargets(t *testing.T) {
	tb := newTable(2)
	for range 200 {
		tb.RecordRunTime("s", "t000", 0, 400*time.Millisecond)
		tb.RecordRunTime("s", "t001", 0, 100*time.Millisecond)
	}
	if c, result := tb.Choose(start, Request{Service: "s", Waiting: 1, Tried: []string{"t001"}}); result != Found || c.Target != "t000" {
		t.Fatalf("chose %+v with result %d, want t000", c, result)
	}
	tb.RecordReport(start, "t001", 8, 8)
	if c, result := tb.Choose(start, Request{Service: "s", Waiting: 1}); result != Found || c.Target != "t000" {
		t.Fatalf("chose %+v with result %d, want t000", c, result)
	}
}
