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
		tb.RecordRunTime("s", "t000", 0, 400*time.Millisecond)
		tb.RecordRunTime("s", "t001", 0, 100*time.Millisecond)
	}
	need := Request{Service: "s", Waiting: 1}
	now := start.Add(time.Second)
	if c, verdict := tb.Choose(now, need); verdict != Found || c.Target != "t001" {
		t.Fatalf("a new task: chose %+v with verdict %v, want t001", c, verdict)
	}
	need.Tried = []string{"t001"}
	if c, verdict := tb.Choose(now, need); verdict != Found || c.Target != "t000" {
		t.Errorf("after a failure on t001: chose %+v with verdict %v, want t000", c, verdict)
	}
}

// Guards against a retry that waits for a target that is never chosen: what
// Suits counts is what Choose takes, also in another availability zone, and
// nothing is left once that one was tried too.
func TestSuitsAgreesWithChoose(t *testing.T) {
	tb := withFarTarget()
	tried := []string{"t000", "t001", "far"}
	for i := range len(tried) + 1 {
		n := Request{Service: "s", Waiting: 1, Tried: tried[:i]}
		c, verdict := tb.Choose(start.Add(time.Second), n)
		if suits := tb.HasSuitableTarget(n); suits != (verdict == Found) || suits != (i < len(tried)) {
			t.Errorf("tried %v: suits %v, chose %+v with verdict %v", n.Tried, suits, c, verdict)
		}
	}
}
