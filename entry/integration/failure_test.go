package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"marigoldfront.dev/infra/instancelist"
)

// Guards against a job that runs twice because copies of its submission arrive
// at two entry instances, at the same time or after the answer.
func TestDuplicateSubmissionsStartOnce(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 8)
	c.acceptTicket()
	a, b := c.startEntry("e1"), c.startEntry("e2")
	c.waitConverged(a, b)
	s := a.openSession()
	const jobs = 20
	var wg sync.WaitGroup
	for seq := 1; seq <= jobs; seq++ {
		for _, e := range []*entry{a, b, a, b} {
			wg.Go(func() {
				if got := e.submit(s, seq, newJob(2, 20*time.Millisecond, 10*time.Second)); got.State != "complete" {
					t.Errorf("job %d at %s: %+v", seq, e.name, got)
				}
			})
		}
	}
	wg.Wait()
	for _, e := range []*entry{a, b} {
		requireComplete(t, e.submit(s, jobs, newJob(2, 20*time.Millisecond, 10*time.Second)), 2)
	}
	if n := len(startsAt(target)); n != 2*jobs {
		t.Errorf("%d starts for %d tasks", n, 2*jobs)
	}
}

// Guards against a wrong answer after the home of a session was killed. Only
// "unknown" is correct, because an earlier copy of the job may have run.
func TestKilledHomeIsAnsweredUnknown(t *testing.T) {
	c := newCluster(t)
	c.startTarget("t1", 8)
	c.acceptTicket()
	a, b := c.startEntry("e1"), c.startEntry("e2")
	c.waitConverged(a, b)
	s := a.openSession()
	forwarded := make(chan answer, 1)
	go func() { forwarded <- b.submit(s, 1, newJob(1, 5*time.Second, 10*time.Second)) }()
	eventually(t, 2*time.Second, "the job runs at its home", func() bool { return a.status().Queue.Running == 1 })
	a.kill()
	for i, got := range []answer{<-forwarded, b.submit(s, 2, newJob(1, time.Millisecond, time.Second))} {
		if got.State != "unknown" || got.Code != "home_unreachable" {
			t.Errorf("answer %d without the home: %+v", i, got)
		}
	}
	requireComplete(t, b.submit(b.openSession(), 1, newJob(1, time.Millisecond, time.Second)), 1)
}

// Guards against a graceful shutdown that closes a connection with a request in
// flight, loses an answer or starts a task twice, while callers keep submitting
// to the sessions of the draining home. Callers change the instance when the
// health check fails, as a load balancer does.
func TestGracefulStopUnderLoad(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 16)
	c.acceptTicket()
	a, b := c.startEntry("e1"), c.startEntry("e2")
	c.waitConverged(a, b)
	var leaving atomic.Bool
	var wg sync.WaitGroup
	var sent atomic.Int64
	end := make(chan struct{})
	for worker := range 8 {
		s := a.openSession()
		wg.Go(func() {
			for seq := 1; ; seq++ {
				select {
				case <-end:
					return
				default:
				}
				e := a
				if leaving.Load() || worker%2 == 1 {
					e = b
				}
				sent.Add(1)
				if got := e.submit(s, seq, newJob(1, 30*time.Millisecond, 10*time.Second)); got.State != "complete" {
					t.Errorf("session %d, job %d at %s: %+v", worker, seq, e.name, got)
				}
				if e == a && !a.healthy() {
					leaving.Store(true)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	a.signal(syscall.SIGTERM)
	if code := a.waitExit(20 * time.Second); code != 0 {
		t.Errorf("the stopped instance exited with code %d", code)
	}
	time.Sleep(500 * time.Millisecond)
	close(end)
	wg.Wait()
	if n := len(startsAt(target)); int64(n) != sent.Load() {
		t.Errorf("%d starts for %d tasks", n, sent.Load())
	}
}

// Guards against starts that a paused home sends after it resumes, although the
// time limit of their job has passed.
func TestPausedHomeStartsNothingStale(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 1)
	c.acceptTicket()
	e := c.startEntry("e1")
	c.waitConverged(e)
	s := e.openSession()
	const timeout = time.Second
	var wg sync.WaitGroup
	submitted := time.Now()
	for seq := 1; seq <= 8; seq++ {
		wg.Go(func() {
			got := e.submit(s, seq, newJob(1, 400*time.Millisecond, timeout))
			if got.State == "complete" && time.Since(submitted) > 3*time.Second {
				t.Errorf("job %d is complete after its time limit: %+v", seq, got)
			}
		})
	}
	eventually(t, timeout, "a task runs", func() bool { return len(startsAt(target)) >= 1 })
	e.signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	e.signal(syscall.SIGCONT)
	wg.Wait()
	for _, st := range startsAt(target) {
		if late := time.UnixMilli(st.TimeUnixMS).Sub(submitted); late > timeout+100*time.Millisecond {
			t.Errorf("job %s was started %v after its submission", jobSeq(st), late)
		}
	}
}

// Guards against starts of jobs that arrived while their home was paused, although
// their time limit has passed when it reads them.
func TestJobSentToPausedHomeIsNotStarted(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 8)
	c.acceptTicket()
	e := c.startEntry("e1")
	c.waitConverged(e)
	s := e.openSession()
	const timeout, jobs = time.Second, 8
	requireComplete(t, e.submit(s, 1, newJob(1, time.Millisecond, timeout)), 1)
	e.signal(syscall.SIGSTOP)
	var wg sync.WaitGroup
	for seq := 2; seq < 2+jobs; seq++ {
		wg.Go(func() {
			if got := e.submit(s, seq, newJob(1, time.Millisecond, timeout)); got.State != "not_run" {
				t.Errorf("job %d was sent 3 s before it was read: %+v, want not_run", seq, got)
			}
		})
	}
	time.Sleep(3 * time.Second)
	e.signal(syscall.SIGCONT)
	wg.Wait()
	if n := len(startsAt(target)); n > 1 {
		t.Errorf("%d jobs were started after their time limit", n-1)
	}
	// Jobs that arrive later are not affected.
	time.Sleep(200 * time.Millisecond)
	requireComplete(t, e.submit(s, 2+jobs, newJob(1, time.Millisecond, timeout)), 1)
}

// Guards against an instance that cannot serve requests because the store is
// unreachable when it starts, although a peer has the configuration.
func TestConfigurationFromPeer(t *testing.T) {
	c := newCluster(t)
	c.startTarget("t1", 8)
	c.acceptTicket()
	a := c.startEntry("e1")
	c.waitConverged(a)
	c.callPlatform(http.MethodPost, "/v1/faults", map[string]bool{"outage": true})
	b := c.startEntry("e2")
	eventually(t, propagationLimit, "the new instance is healthy", b.healthy)
	requireComplete(t, b.submit(b.openSession(), 1, newJob(2, time.Millisecond, 5*time.Second)), 2)
}

// Guards against starts on a target later than 3 s after the instance list
// reports it as leaving (guarantee P6), and against jobs that fail because one
// target leaves.
func TestLeavingTargetGetsNoStarts(t *testing.T) {
	c := newCluster(t)
	stays, leaves := c.startTarget("t1", 4), c.startTarget("t2", 4)
	c.acceptTicket()
	e := c.startEntry("e1")
	c.waitConverged(e)
	s := e.openSession()
	c.listInstance("t2", instancelist.KindTarget, leaves.address(), instancelist.StateLeaving)
	deadline := time.Now().Add(3 * time.Second)
	for seq := 1; time.Now().Before(deadline.Add(time.Second)); seq++ {
		requireComplete(t, e.submit(s, seq, newJob(8, 10*time.Millisecond, 5*time.Second)), 8)
	}
	for _, st := range startsAt(leaves) {
		if at := time.UnixMilli(st.TimeUnixMS); at.After(deadline) {
			t.Errorf("job %s was started %v after the deadline", jobSeq(st), at.Sub(deadline))
		}
	}
	if len(startsAt(stays)) == 0 {
		t.Error("the other target got no start")
	}
}

// Guards against a ticket that reaches some instances late (guarantee P8). The
// test kills one instance after another, which may be the one that watches the
// store, so that the others depend on their peers and on polling.
func TestTicketIsInForceWithinBound(t *testing.T) {
	c := newCluster(t)
	c.startTarget("t1", 4)
	c.acceptTicket()
	var all []*entry
	for i := range 4 {
		all = append(all, c.startEntry(fmt.Sprintf("e%d", i)))
	}
	c.waitConverged(all...)
	for range 3 {
		c.acceptTicketWithOwner(fmt.Sprintf("owner of ticket %d", c.current.Number+1))
		eventually(t, propagationLimit, "the ticket is in force at all instances", func() bool {
			for _, e := range all {
				if e.status().Ticket != c.current.Number {
					return false
				}
			}
			return true
		})
		all[0].kill()
		all = all[1:]
	}
}

// Guards against more connections to a target than it accepts from all entry
// instances together, while each instance has more tasks than connections.
func TestConnectionsAreBounded(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 2*targetConnections)
	c.acceptTicket()
	a, b := c.startEntry("e1"), c.startEntry("e2")
	c.waitConverged(a, b)
	var wg sync.WaitGroup
	for _, e := range []*entry{a, b} {
		s := e.openSession()
		for seq := 1; seq <= 4; seq++ {
			wg.Go(func() { requireComplete(t, e.submit(s, seq, newJob(100, 5*time.Millisecond, 10*time.Second)), 100) })
		}
	}
	wg.Wait()
	_, text, err := doRequest(http.DefaultClient, http.MethodGet, "http://"+target.address()+"/v1/stats", nil)
	var stats struct {
		Starts          int
		MostConnections int `json:"most_connections"`
		OverLimit       int `json:"over_limit"`
	}
	if err == nil {
		err = json.Unmarshal(text, &stats)
	}
	if err != nil || stats.Starts != 800 || stats.OverLimit > 0 || stats.MostConnections > targetConnections+1 {
		t.Errorf("connections of a busy target: %+v %v", stats, err)
	}
}
