package integration

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"marigoldfront.dev/entry/run"
	"marigoldfront.dev/infra/instancelist"
)

// Guards against lost answers and sessions when two homes shut down one after
// the other: a job that runs during the first shutdown, an answer that must
// survive both, and new submissions to a session that was handed over twice.
func TestRollingStopKeepsSessionsAndAnswers(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 8)
	c.acceptTicket()
	all := []*entry{c.startEntry("e1"), c.startEntry("e2"), c.startEntry("e3")}
	c.waitConverged(all...)
	s := all[0].openSession()
	requireComplete(t, all[0].submit(s, 1, newJob(2, time.Millisecond, 5*time.Second)), 2)
	last := all[2]
	waiting := make(chan answer, 1)
	go func() { waiting <- last.submit(s, 2, newJob(1, 2*time.Second, 10*time.Second)) }()
	eventually(t, 2*time.Second, "the long job runs", func() bool { return len(startsAt(target)) == 3 })
	for _, e := range all[:2] {
		c.listInstance(e.name, instancelist.KindEntry, e.PeerListen, instancelist.StateLeaving)
		e.signal(syscall.SIGTERM)
		if code := e.waitExit(20 * time.Second); code != 0 {
			t.Errorf("%s exited with code %d", e.name, code)
		}
	}
	requireComplete(t, <-waiting, 1)
	for seq, n := range map[int]int{1: 2, 2: 1} {
		got := last.request(http.MethodGet, fmt.Sprintf("/v1/sessions/%s/jobs/%d", s, seq), nil)
		requireComplete(t, got, n)
	}
	requireComplete(t, last.submit(s, 2, newJob(1, 2*time.Second, 10*time.Second)), 1)
	requireComplete(t, last.submit(s, 3, newJob(1, time.Millisecond, 5*time.Second)), 1)
	if n := len(startsAt(target)); n != 4 {
		t.Errorf("%d starts, want 4", n)
	}
}

// Guards against a shutdown that closes the connection of a forwarded request,
// because the instance waits only for its own jobs.
func TestStopWaitsForForwardedRequests(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 8)
	c.acceptTicket()
	a, b := c.startEntry("e1"), c.startEntry("e2")
	c.waitConverged(a, b)
	s := a.openSession()
	waiting := make(chan answer, 1)
	go func() { waiting <- b.submit(s, 1, newJob(1, 12*time.Second, 20*time.Second)) }()
	eventually(t, 2*time.Second, "the job runs", func() bool { return len(startsAt(target)) == 1 })
	b.signal(syscall.SIGTERM)
	if code := b.waitExit(25 * time.Second); code != 0 {
		t.Errorf("the stopped instance exited with code %d", code)
	}
	requireComplete(t, <-waiting, 1)
}

// Guards against two instances that shut down at the same time and wait for
// each other until the drain limit.
func TestTwoStopsAtOnce(t *testing.T) {
	c := newCluster(t)
	c.startTarget("t1", 8)
	c.acceptTicket()
	all := []*entry{c.startEntry("e1"), c.startEntry("e2"), c.startEntry("e3")}
	c.waitConverged(all...)
	sessions := []string{all[0].openSession(), all[1].openSession()}
	var wg sync.WaitGroup
	for _, e := range all[:2] {
		e.signal(syscall.SIGTERM)
	}
	for _, e := range all[:2] {
		wg.Go(func() {
			if code := e.waitExit(15 * time.Second); code != 0 {
				t.Errorf("%s exited with code %d", e.name, code)
			}
		})
	}
	wg.Wait()
	for _, s := range sessions {
		requireComplete(t, all[2].submit(s, 1, newJob(1, time.Millisecond, 5*time.Second)), 1)
	}
}

// Guards against a shutdown that ignores the drain limit or a second signal,
// and against wrong answers to the jobs that it ends: "not_run" is correct only
// for jobs without a start.
func TestStopEndsEarly(t *testing.T) {
	t.Run("drain limit", func(t *testing.T) { testStopEndsEarly(t, false) })
	t.Run("second signal", func(t *testing.T) { testStopEndsEarly(t, true) })
}

func testStopEndsEarly(t *testing.T, secondSignal bool) {
	c := newCluster(t)
	target := c.startTarget("t1", 1)
	c.acceptTicket()
	e := c.startEntry("e1", func(s *run.Settings) {
		if !secondSignal {
			s.DrainLimitS = 1
		}
	})
	c.waitConverged(e)
	s := e.openSession()
	answers := make(chan answer, 2)
	go func() { answers <- e.submit(s, 1, newJob(1, 20*time.Second, 30*time.Second)) }()
	eventually(t, 2*time.Second, "the job runs", func() bool { return len(startsAt(target)) == 1 })
	go func() { answers <- e.submit(s, 2, newJob(1, 20*time.Second, 50*time.Second)) }()
	eventually(t, 2*time.Second, "the second job waits", func() bool { return e.status().Queue.Jobs == 2 })
	e.signal(syscall.SIGTERM)
	if secondSignal {
		time.Sleep(200 * time.Millisecond)
		e.signal(syscall.SIGTERM)
	}
	if code := e.waitExit(10 * time.Second); code != 1 {
		t.Errorf("exit code %d after an early end, want 1", code)
	}
	for range 2 {
		got := <-answers
		if got.Code != "draining" || got.State != "unknown" && got.State != "not_run" || (got.State == "not_run") != (got.Starts == 0) {
			t.Errorf("answer after an early end: %+v", got)
		}
	}
}
