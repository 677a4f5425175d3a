package health

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against ejecting a target because of the failures of a single job, and
// against keeping a target in service that fails tasks of several jobs.
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
		t.Fatal("failures with a success in between ejected the target")
	}
}

// Guards against a faulty job that causes healthy targets to be ejected one
// after the other.
func TestFaultyJobDoesNotEjectTargets(t *testing.T) {
	m := New(Config{})
	for _, name := range []string{"a", "b", "c"} {
		m.RecordSuccess(start, start, name, 1)
	}
	if m.RecordFailure(start, "a", 66) {
		t.Fatal("a single failure was attributed to the job")
	}
	if !m.RecordFailure(start, "b", 66) || !m.RecordFailure(start, "c", 66) {
		t.Fatal("failures on targets that serve other jobs were not attributed to the job")
	}
	if got := m.LiftExpiredLimits(start); len(got) != 1 || got[0] != "a" {
		t.Fatalf("lifted the limits of %v, want the target whose failure was attributed to the job", got)
	}
	for _, name := range []string{"a", "b", "c"} {
		if m.Limit(name) != Unlimited {
			t.Fatalf("%s has limit %d because of a faulty job", name, m.Limit(name))
		}
	}
}

// Guards against frequent probes of a target that keeps failing, and against
// counting failures of attempts from before the ejection as failed probes.
func TestProbeIntervalGrows(t *testing.T) {
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
		if m.ProbeDue(due, "a", false) || !m.ProbeDue(due.Add(nonRepeatableProbeDelay), "a", false) {
			t.Fatal("probe with a non-repeatable task is due at the wrong time")
		}
		now = due
		m.StartProbe(now, "a")
		m.RecordFailure(now, "a", 10)
	}
	m.StartProbe(now, "a")
	m.RecordSuccess(now, now, "a", 11)
	if m.Limit("a") != Unlimited || len(m.Ejected()) != 0 {
		t.Fatal("target is still ejected after a successful probe")
	}
}

// Guards against probing all targets at once when many have failed, and against
// keeping the others ejected for long after one of them has recovered.
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
		t.Fatal("two targets are probed at once")
	}
	m.RecordFailure(now, "a", 7)
	now = now.Add(probeSpacing)
	m.StartProbe(now, "b")
	m.RecordSuccess(now, now, "b", 8)
	for _, n := range []string{"a", "c"} {
		if !m.ProbeDue(now, n, true) {
			t.Fatalf("probe of %s is not due after b recovered", n)
		}
	}
}

// Guards against a target that stays limited forever because no task is sent to
// it that could succeed.
func TestLimitExpires(t *testing.T) {
	m := New(Config{})
	m.RecordFailure(start, "a", 1)
	if got := m.LiftExpiredLimits(start.Add(suspectDuration - 1)); len(got) != 0 || m.Limit("a") != OneAtATime {
		t.Fatal("limit was lifted early")
	}
	if got := m.LiftExpiredLimits(start.Add(suspectDuration)); len(got) != 1 || m.Limit("a") != Unlimited {
		t.Fatal("limit was not lifted")
	}
	m.RecordFailure(start.Add(2*suspectDuration), "a", 2)
	m.RecordFailure(start.Add(2*suspectDuration), "a", 2)
	if m.Limit("a") != Excluded {
		t.Fatal("earlier failure was forgotten without a success")
	}
}

// Guards against an ejection threshold that is ignored, or applied although it
// is off.
func TestEjectionThreshold(t *testing.T) {
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
		for range strictEjectFailures - minEjectFailures {
			m.RecordFailure(start, names[9], 9)
		}
		if m.Limit(names[9]) != Excluded {
			t.Errorf("threshold %v: a target that fails everything is not ejected", c.threshold)
		}
	}
}
