package placement

import (
	"testing"
	"time"

	"marigoldfront.dev/core/directory"
)

// withFarTarget returns a table of two targets of the own availability zone
// and one of another.
func withFarTarget() *Table {
	tb := newTable(2)
	st := directory.State{Services: map[string]directory.Service{"s": {Name: "s", ExpectedMS: 100}}, Targets: map[string]directory.Target{}}
	for name, n := range tb.targets {
		st.Targets[name] = n.Target
	}
	far := st.Targets["t000"]
	far.Name, far.AvailabilityZone = "far", "b"
	st.Targets["far"] = far
	tb.SetDirectory(&directory.Directory{Number: 2, State: st})
	return tb
}

// Guards against a task that failed on the fastest target of its availability
// zone and then waits for a slot there, which it never takes, until its
// deadline.
func TestTriedTaskDoesNotWaitForTheFastTarget(t *testing.T) {
	tb := withFarTarget()
	for range 200 {
		tb.Learn("s", "t000", 0, 400*time.Millisecond)
		tb.Learn("s", "t001", 0, 100*time.Millisecond)
	}
	need := Need{Service: "s", Ahead: 1}
	now := start.Add(time.Second)
	if c, verdict := tb.Choose(now, need); verdict != Found || c.Target != "t001" {
		t.Fatalf("a new task: chose %+v with verdict %v, want t001", c, verdict)
	}
	need.Tried = []string{"t001"}
	if c, verdict := tb.Choose(now, need); verdict != Found || c.Target != "t000" {
		t.Errorf("after a failure on t001: chose %+v with verdict %v, want t000", c, verdict)
	}
}

// Guards against a retry that waits for a target of another availability zone,
// to which no work overflows while the own zone has targets.
func TestUntriedCountsTheOwnZone(t *testing.T) {
	tb := withFarTarget()
	if !tb.Untried("s", []string{"t000"}) {
		t.Error("t001 is not found")
	}
	if tb.Untried("s", []string{"t000", "t001"}) {
		t.Error("the target of the other zone is counted")
	}
}
