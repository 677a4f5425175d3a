package integration

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a failure at any step of a job: ticket, instance list, session,
// submission, start, result and answer. It also guards against an answer after
// the deadline, and against different content under a used sequence number.
func TestJobRunsAndDeadlineHolds(t *testing.T) {
	c := newCluster(t)
	c.startTarget("t1", 4)
	c.acceptTicket()
	e := c.startEntry("e1")
	c.waitConverged(e)
	s := e.openSession()
	requireComplete(t, e.submit(s, 1, newJob(10, 20*time.Millisecond, 5*time.Second)), 10)
	began := time.Now()
	a := e.submit(s, 2, newJob(1, 10*time.Second, 300*time.Millisecond))
	// The target's report that the lease has expired and the deadline of the
	// job occur at the same time. Either may determine the answer.
	if took := time.Since(began); a.State != "failed" && a.State != "unknown" || took > time.Second {
		t.Errorf("job past its deadline after %v: %+v", took, a)
	}
	if a := e.submit(s, 1, newJob(9, 20*time.Millisecond, 5*time.Second)); a.Status != http.StatusConflict || len(a.Findings) == 0 {
		t.Errorf("different content under a used sequence number: %+v", a)
	}
}

// Guards against a wrong answer after a target was killed: a job that may have
// run must not run again, and its answer must not be "not_run".
func TestKilledTargetIsAnsweredUnknown(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 4)
	c.acceptTicket()
	e := c.startEntry("e1")
	c.waitConverged(e)
	s := e.openSession()
	answers := make(chan answer, 1)
	go func() { answers <- e.submit(s, 1, newJob(1, 5*time.Second, 10*time.Second)) }()
	eventually(t, 2*time.Second, "the task runs", func() bool { return len(startsAt(target)) == 1 })
	target.kill()
	if a := <-answers; a.State != "unknown" || a.Code != "ambiguous_attempt" || a.Starts < 1 {
		t.Errorf("answer after the target was killed: %+v", a)
	}
}
