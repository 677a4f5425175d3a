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

// Guards against answers and sessions that are lost when one home after the
// other stops: a job that runs during the first stop, an answer that is kept
// over two, and new submissions to a session that moved twice.
func TestRollingStopKeepsSessionsAndAnswers(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 8)
	c.ticket()
	all := []*entry{c.entry("e1"), c.entry("e2"), c.entry("e3")}
	c.converged(all...)
	s := all[0].open()
	complete(t, all[0].submit(s, 1, job(2, time.Millisecond, 5*time.Second)), 2)
	last := all[2]
	waiting := make(chan answer, 1)
	go func() { waiting <- last.submit(s, 2, job(1, 2*time.Second, 10*time.Second)) }()
	eventually(t, 2*time.Second, "the long job runs", func() bool { return len(startsOf(target)) == 3 })
	for _, e := range all[:2] {
		c.list(e.name, instancelist.KindEntry, e.PeerListen, instancelist.StateLeaving)
		e.signal(syscall.SIGTERM)
		if code := e.exit(20 * time.Second); code != 0 {
			t.Errorf("%s ended with %d", e.name, code)
		}
	}
	complete(t, <-waiting, 1)
	for seq, n := range map[int]int{1: 2, 2: 1} {
		got := last.ask(http.MethodGet, fmt.Sprintf("/v1/sessions/%s/jobs/%d", s, seq), nil)
		complete(t, got, n)
	}
	complete(t, last.submit(s, 2, job(1, 2*time.Second, 10*time.Second)), 1)
	complete(t, last.submit(s, 3, job(1, time.Millisecond, 5*time.Second)), 1)
	if n := len(startsOf(target)); n != 4 {
		t.Errorf("%d starts, want 4", n)
	}
}

// Guards against a stop that cuts a request which another instance serves,
// because only the jobs of the stopping instance were waited for.
func TestStopWaitsForForwardedRequests(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 8)
	c.ticket()
	a, b := c.entry("e1"), c.entry("e2")
	c.converged(a, b)
	s := a.open()
	waiting := make(chan answer, 1)
	go func() { waiting <- b.submit(s, 1, job(1, 12*time.Second, 20*time.Second)) }()
	eventually(t, 2*time.Second, "the job runs", func() bool { return len(startsOf(target)) == 1 })
	b.signal(syscall.SIGTERM)
	if code := b.exit(25 * time.Second); code != 0 {
		t.Errorf("the stopped instance ended with %d", code)
	}
	complete(t, <-waiting, 1)
}

// Guards against two instances that stop at the same time and wait for each
// other until the drain limit.
func TestTwoStopsAtOnce(t *testing.T) {
	c := newCluster(t)
	c.target("t1", 8)
	c.ticket()
	all := []*entry{c.entry("e1"), c.entry("e2"), c.entry("e3")}
	c.converged(all...)
	sessions := []string{all[0].open(), all[1].open()}
	var wg sync.WaitGroup
	for _, e := range all[:2] {
		e.signal(syscall.SIGTERM)
	}
	for _, e := range all[:2] {
		wg.Go(func() {
			if code := e.exit(15 * time.Second); code != 0 {
				t.Errorf("%s ended with %d", e.name, code)
			}
		})
	}
	wg.Wait()
	for _, s := range sessions {
		complete(t, all[2].submit(s, 1, job(1, time.Millisecond, 5*time.Second)), 1)
	}
}

// Guards against a stop that ignores its limit or a second signal, and
// against false answers to the jobs that it ends.
func TestStopEndsEarly(t *testing.T) {
	t.Run("drain limit", func(t *testing.T) { stopEndsEarly(t, false) })
	t.Run("second signal", func(t *testing.T) { stopEndsEarly(t, true) })
}

func stopEndsEarly(t *testing.T, second bool) {
	c := newCluster(t)
	target := c.target("t1", 1)
	c.ticket()
	e := c.entry("e1", func(s *run.Settings) {
		if !second {
			s.DrainLimitS = 1
		}
	})
	c.converged(e)
	s := e.open()
	answers := make(chan answer, 2)
	go func() { answers <- e.submit(s, 1, job(1, 20*time.Second, 30*time.Second)) }()
	eventually(t, 2*time.Second, "the job runs", func() bool { return len(startsOf(target)) == 1 })
	go func() { answers <- e.submit(s, 2, job(1, 20*time.Second, 50*time.Second)) }()
	eventually(t, 2*time.Second, "the second job waits", func() bool { return e.status().Queue.Jobs == 2 })
	e.signal(syscall.SIGTERM)
	if second {
		time.Sleep(200 * time.Millisecond)
		e.signal(syscall.SIGTERM)
	}
	if code := e.exit(10 * time.Second); code != 1 {
		t.Errorf("early end: exit code %d, want 1", code)
	}
	for range 2 {
		got := <-answers
		if got.Code != "draining" || got.State != "unknown" && got.State != "not_run" || (got.State == "not_run") != (got.Starts == 0) {
			t.Errorf("answer of an ended stop: %+v", got)
		}
	}
}
