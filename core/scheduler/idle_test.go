package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// idleTarget returns a target for the tests of idle CPU.
func idleTarget(id string, cpu int64) Target {
	t := testTarget(id)
	t.CPU = cpu
	return t
}

// idleJob returns a job with one task that needs the CPU.
func idleJob(id string, cpu int64) Job {
	j := testJob(id, 1)
	j.Steps[0].CPU = cpu
	j.Slack = time.Second
	return j
}

// Guards against free capacity that no metric explains, and against capacity that
// counts as idle while no job waits.
func TestIdleCPUIsCountedByReason(t *testing.T) {
	h := newHarness(t, idleTarget("a", 16_000), idleTarget("b", 24_000))
	for i, cpu := range []int64{9_000, 20_000} {
		h.submit(RequestID(i+1), idleJob(fmt.Sprint("running", i), cpu))
	}
	h.advance(300 * time.Millisecond)
	if got := h.s.Stats().IdleCPU; got != (IdleCPU{}) {
		t.Fatalf("%v core-milliseconds are idle while no job waits", got)
	}
	// Neither the 7 cores of a nor the 4 of b are enough.
	h.submit(3, idleJob("waiting", 9_000))
	h.advance(300 * time.Millisecond)
	got := h.s.Stats().IdleCPU
	if got[IdleFragment] < 2*11*100 || got[IdleFragment] > 3*11*100 {
		t.Errorf("%d core-milliseconds are idle as fragments, want 11 cores for 0.2 to 0.3 s", got[IdleFragment])
	}
	got[IdleFragment] = 0
	if got != (IdleCPU{}) {
		t.Errorf("%v core-milliseconds are idle for other reasons", got)
	}
	gone := idleTarget("b", 24_000)
	gone.Draining = true
	h.send(TargetsChanged{Targets: []Target{idleTarget("a", 16_000), gone}})
	h.advance(200 * time.Millisecond)
	if n := h.s.Stats().IdleCPU[IdleNotServing]; n < 4*100 {
		t.Errorf("%d core-milliseconds are idle on a draining target, want at least 400", n)
	}
}
