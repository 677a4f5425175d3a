package placement

import (
	"testing"
	"time"

	"marigoldfront.dev/core/directory"
)

// tableWithRemoteTarget returns a table with two targets in the own availability
// zone and the target "far" in another one.
func tableWithRemoteTarget() *Table {
	tb := newTable(2)
	st := directory.State{Services: map[string]directory.Service{"s": {Name: "s", ExpectedMS: 100}}, Targets: map[string]directory.Target{}}
	for name, tg := range tb.targets {
		st.Targets[name] = tg.Target
	}
	remote := st.Targets["t000"]
	remote.Name, remote.AvailabilityZone = "far", "b"
	st.Targets["far"] = remote
	tb.SetDirectory(&directory.Directory{Number: 2, State: st})
	return tb
}

// Guards against a task that failed on the fastest target of the availability zone
// and then waits until its deadline for a slot on that target, which is never
// chosen again.
func TestRetryDoesNotWaitForTriedTarget(t *testing.T) {
	tb := tableWithRemoteTarget()
	for range 200 {
		tb.RecordRunTime("s", "t000", 0, 400*time.Millisecond)
		tb.RecordRunTime("s", "t001", 0, 100*time.Millisecond)
	}
	req := Request{Service: "s", Waiting: 1}
	now := start.Add(time.Second)
	if c, result := tb.Choose(now, req); result != Found || c.Target != "t001" {
		t.Fatalf("a new task: chose %+v with result %v, want t001", c, result)
	}
	req.Tried = []string{"t001"}
	if c, result := tb.Choose(now, req); result != Found || c.Target != "t000" {
		t.Errorf("after a failure on t001: chose %+v with result %v, want t000", c, result)
	}
}

// Guards against a retry that waits for a target that is never chosen.
// HasSuitableTarget must agree with Choose, also about a target in another
// availability zone and after all targets have been tried.
func TestHasSuitableTargetAgreesWithChoose(t *testing.T) {
	tb := tableWithRemoteTarget()
	tried := []string{"t000", "t001", "far"}
	for i := range len(tried) + 1 {
		r := Request{Service: "s", Waiting: 1, Tried: tried[:i]}
		c, result := tb.Choose(start.Add(time.Second), r)
		if suitable := tb.HasSuitableTarget(r); suitable != (result == Found) || suitable != (i < len(tried)) {
			t.Errorf("tried %v: suitable target %v, chose %+v with result %v", r.Tried, suitable, c, result)
		}
	}
}
