package integration

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a break anywhere on the way of a job: ticket, instance list,
// session, submission, start, result and answer, and against a late answer.
func TestJobRunsAndDeadlineHolds(t *testing.T) {
	c := newCluster(t)
	c.target("t1", 4)
	c.ticket()
	e := c.entry("e1")
	c.converged(e)
	s := e.open()
	complete(t, e.submit(s, 1, job(10, 20*time.Millisecond, 5*time.Second)), 10)
	began := time.Now()
	a := e.submit(s, 2, job(1, 10*time.Second, 300*time.Millisecond))
	// The target's report that the lease has ended and the job's own deadline
	// come at the same time; either may be the reason.
	if took := time.Since(began); a.State != "failed" && a.State != "unknown" || took > time.Second {
		t.Errorf("job past its deadline after %v: %+v", took, a)
	}
	if a := e.submit(s, 1, job(9, 20*time.Millisecond, 5*time.Second)); a.Status != http.StatusConflict || len(a.Findings) == 0 {
		t.Errorf("other content under a used number: %+v", a)
	}
}

// Guards against a false answer after a target's death: a job that may have
// run once must not be run again or be called not run.
func TestKilledTargetIsAnsweredTruthfully(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 4)
	c.ticket()
	e := c.entry("e1")
	c.converged(e)
	s := e.open()
	answers := make(chan answer, 1)
	go func() { answers <- e.submit(s, 1, job(1, 5*time.Second, 10*time.Second)) }()
	eventually(t, 2*time.Second, "the task runs", func() bool { return len(startsOf(target)) == 1 })
	target.kill()
	if a := <-answers; a.State != "unknown" || a.Code != "ambiguous_attempt" || a.Starts < 1 {
		t.Errorf("answer after the target was killed: %+v", a)
	}
}
