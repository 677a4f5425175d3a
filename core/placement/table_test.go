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

// Guards against two instances assigning a slot to both or to none of them.
func TestSharesAddUp(t *testing.T) {
	one, two := newTable(5), newTable(5)
	two.cfg.Instance = "e2"
	two.assign()
	if got := one.AssignedSlots() + two.AssignedSlots(); got != 40 {
		t.Fatalf("%d of 40 slots assigned", got)
	}
}

// Guards against new work on a target that leaves or vanished, and against an
// empty list that removes all targets.
func TestLeavingExcluded(t *testing.T) {
	tb := newTable(3)
	need := Request{Service: "s", Waiting: 1}
	tb.SetInstanceList([]ListedTarget{{Name: "t000"}, {Name: "t001"}, {Name: "t002"}})
	tb.SetInstanceList([]ListedTarget{{Name: "t001", Leaving: true}, {Name: "t002"}})
	tb.SetInstanceList(nil)
	if c, ok := tb.Choose(start, need); ok != Found || c.Target != "t002" {
		t.Fatalf("chose %+v", c)
	}
	tb.MarkLeaving(start, "t002")
	tb.SetInstanceList([]ListedTarget{{Name: "t001", Leaving: true}, {Name: "t002"}})
	if c, ok := tb.Choose(start.Add(time.Second), need); ok == Found {
		t.Fatalf("chose %+v although the target said that it leaves", c)
	}
}

// Guards against a slow target taking tasks that would complete earlier on a
// fast one, against one that is never used, and against a second attempt on
// the same target.
func TestChoosesByExpectedCompletion(t *testing.T) {
	tb := newTable(2)
	for range 200 {
		tb.RecordRunTime("s", "t000", 0, 400*time.Millisecond)
		tb.RecordRunTime("s", "t001", 0, 100*time.Millisecond)
	}
	need := Request{Service: "s", Waiting: 1}
	for range 4 {
		c, ok := tb.Choose(start, need)
		if ok != Found || c.Target != "t001" {
			t.Fatalf("chose %+v", c)
		}
		tb.RecordStart(c.Target, need)
	}
	if c, ok := tb.Choose(start, need); ok == Found {
		t.Fatalf("chose %+v where waiting pays", c)
	}
	need.Waiting = 50
	if c, ok := tb.Choose(start, need); ok != Found || c.Target != "t000" {
		t.Fatalf("chose %+v with a long queue", c)
	}
	need.Tried = []string{"t000"}
	if c, ok := tb.Choose(start, need); ok == Found {
		t.Fatalf("chose %+v although it was tried", c)
	}
}

// Guards against a job that no target can hold waiting until its deadline.
func TestNeverFits(t *testing.T) {
	tb := newTable(2)
	if ever, _ := tb.Fits("s", 1001, 0); ever {
		t.Fatal("task larger than every target fits")
	}
	if ever, now := tb.Fits("s", 1000, 0); !ever || !now {
		t.Fatal("task as large as a target does not fit")
	}
}

// Guards against declared times that are off by a factor deciding forecasts.
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
	need := Request{Service: "s", Waiting: 1}
	now := start
	for b.Loop() {
		now = now.Add(50 * time.Microsecond)
		c, ok := tb.Choose(now, need)
		if ok == Found {
			tb.RecordStart(c.Target, need)
			tb.RecordEnd(c.Target, need)
			tb.RecordRunTime("s", c.Target, 0, 100*time.Millisecond)
			tb.RecordReport(now, c.Target, 3, 8)
		}
	}
}

// Guards against a task that waits until its deadline for an assigned slot
// that it cannot use: tried on all such targets, or larger than them.
func TestElsewhere(t *testing.T) {
	tb := newTable(3)
	tb.targets["t002"].sameAZ = false
	tb.targets["t002"].MemoryMB = 2000
	tb.assign()
	for _, n := range []Request{
		{Service: "s", Waiting: 1, Tried: []string{"t000", "t001"}},
		{Service: "s", Waiting: 1, MemoryMB: 1500},
	} {
		if c, v := tb.Choose(start, n); v != Found || c.Target != "t002" {
			t.Errorf("need %+v: %+v, verdict %d", n, c, v)
		}
	}
}

// Guards against an instance without any assigned slot never starting a task.
func TestWithoutAssignedSlots(t *testing.T) {
	tb := newTable(1)
	tb.targets["t000"].Slots = 1
	for _, name := range []string{"e1", "e2"} {
		tb.cfg.Instance = name
		tb.assign()
		if _, v := tb.Choose(start, Request{Service: "s", Waiting: 1}); v != Found {
			t.Errorf("%s starts nothing, verdict %d", name, v)
		}
	}
}

// Guards against a task that waits until its deadline for a faster target that
// it must not use, or on which nothing runs whose end could wake it.
func TestWaitsOnlyForBusyTargets(t *testing.T) {
	tb := newTable(2)
	for range 200 {
		tb.RecordRunTime("s", "t000", 0, 400*time.Millisecond)
		tb.RecordRunTime("s", "t001", 0, 100*time.Millisecond)
	}
	if c, v := tb.Choose(start, Request{Service: "s", Waiting: 1, Tried: []string{"t001"}}); v != Found || c.Target != "t000" {
		t.Fatalf("%+v, verdict %d", c, v)
	}
	tb.RecordReport(start, "t001", 8, 8)
	if c, v := tb.Choose(start, Request{Service: "s", Waiting: 1}); v != Found || c.Target != "t000" {
		t.Fatalf("%+v, verdict %d", c, v)
	}
}
