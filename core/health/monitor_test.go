package health

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a target being ejected for one job's failures, and against a
// failing one that stays in service.
func TestEjectsAfterFailuresOfSeveralJobs(t *testing.T) {
	m := New(Config{})
	for range 5 {
		m.RecordFailure(start, "a", 1)
	}
	if m.Limit("a") != OneAtATime {
		t.Fatalf("limit %d after failures of one job", m.Limit("a"))
	}
	m.RecordFailure(start, "a", 2)
	if m.Limit("a") != Excluded {
		t.Fatalf("limit %d after failures of two jobs", m.Limit("a"))
	}
	m.RecordSuccess(start, start, "b", 3)
	m.RecordFailure(start, "b", 1)
	m.RecordFailure(start, "b", 2)
	m.RecordSuccess(start, start, "b", 3)
	m.RecordFailure(start, "b", 1)
	if m.Limit("b") != OneAtATime {
		t.Fatal("failures with a success in between ejected a target")
	}
}

// Guards against a bad job taking down one healthy target after the other.
func TestJobAtFault(t *testing.T) {
	m := New(Config{})
	for _, name := range []string{"a", "b", "c"} {
		m.RecordSuccess(start, start, name, 1)
	}
	if m.RecordFailure(start, "a", 66) {
		t.Fatal("one failure blamed on the job")
	}
	if !m.RecordFailure(start, "b", 66) || !m.RecordFailure(start, "c", 66) {
		t.Fatal("failures on targets that serve others well not blamed on the job")
	}
	if got := m.LiftExpiredLimits(start); len(got) != 1 || got[0] != "a" {
		t.Fatalf("relaxed %v, want the target whose failure was the job's own", got)
	}
	for _, name := range []string{"a", "b", "c"} {
		if m.Limit(name) != Unlimited {
			t.Fatalf("%s has limit %d because of a bad job", name, m.Limit(name))
		}
	}
}

// Guards against probes at full rate to a dead target, and against failures
// of older attempts being counted as failed probes.
func TestProbes(t *testing.T) {
	m := New(Config{})
	for job := range uint64(3) {
		m.RecordFailure(start, "a", job)
	}
	m.RecordFailure(start, "a", 9)
	now := start
	for _, want := range []int{1, 2, 4, 8, 16, 30, 30} {
		due := now.Add(time.Duration(want) * time.Second)
		if m.ProbeDue(due.Add(-time.Millisecond), "a", true) || !m.ProbeDue(due, "a", true) {
			t.Fatalf("probe not due after %d s", want)
		}
		if m.ProbeDue(due, "a", false) || !m.ProbeDue(due.Add(anyProbeAfter), "a", false) {
			t.Fatal("wrong time for a probe with a task that is not repeatable")
		}
		now = due
		m.StartProbe(now, "a")
		m.RecordFailure(now, "a", 10)
	}
	m.StartProbe(now, "a")
	m.RecordSuccess(now, now, "a", 11)
	if m.Limit("a") != Unlimited || len(m.Ejected()) != 0 {
		t.Fatal("target did not return after a successful probe")
	}
}

// Guards against a probe of every target at once when many have failed, and
// against the others staying out when the common fault is over.
func TestProbesOfManyTargets(t *testing.T) {
	m := New(Config{})
	for _, n := range []string{"a", "b", "c"} {
		for job := range uint64(3) {
			m.RecordFailure(start, n, job)
		}
	}
	now := start.Add(time.Second)
	m.StartProbe(now, "a")
	if m.ProbeDue(now, "b", true) {
		t.Fatal("two probes at once")
	}
	m.RecordFailure(now, "a", 7)
	now = now.Add(probePace)
	m.StartProbe(now, "b")
	m.RecordSuccess(now, now, "b", 8)
	for _, n := range []string{"a", "c"} {
		if !m.ProbeDue(now, n, true) {
			t.Fatalf("%s not due after b returned", n)
		}
	}
}

// Guards against a target that stays limited for good because nothing is sent
// to it that could succeed.
func TestRelax(t *testing.T) {
	m := New(Config{})
	m.RecordFailure(start, "a", 1)
	if got := m.LiftExpiredLimits(start.Add(suspectFor - 1)); len(got) != 0 || m.Limit("a") != OneAtATime {
		t.Fatal("limit ended early")
	}
	if got := m.LiftExpiredLimits(start.Add(suspectFor)); len(got) != 1 || m.Limit("a") != Unlimited {
		t.Fatal("limit did not end")
	}
	m.RecordFailure(start.Add(2*suspectFor), "a", 2)
	m.RecordFailure(start.Add(2*suspectFor), "a", 2)
	if m.Limit("a") != Excluded {
		t.Fatal("earlier failure was forgotten without a success")
	}
}

// Guards against the threshold being ignored, or in force when it is off.
func TestThreshold(t *testing.T) {
	for _, c := range []struct {
		threshold float64
		want      int
	}{{0, 10}, {0.55, 5}} {
		m := New(Config{EjectionThreshold: c.threshold})
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprint(i))
		}
		m.SetTargets(names, len(names))
		for _, n := range names {
			for job := range uint64(3) {
				m.RecordFailure(start, n, job)
			}
		}
		if got := len(m.Ejected()); got != c.want {
			t.Errorf("threshold %v: %d ejected, want %d", c.threshold, got, c.want)
		}
		for range strictFailures - ejectFailures {
			m.RecordFailure(start, names[9], 9)
		}
		if m.Limit(names[9]) != Excluded {
			t.Errorf("threshold %v: a target that fails everything stays", c.threshold)
		}
	}
}
