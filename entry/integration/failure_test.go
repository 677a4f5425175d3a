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

// Guards against a submission that starts twice because copies of it arrive
// at two entry instances, at once or after the answer.
func TestDuplicateSubmissionsStartOnce(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 8)
	c.ticket()
	a, b := c.entry("e1"), c.entry("e2")
	c.converged(a, b)
	s := a.open()
	const jobs = 20
	var wg sync.WaitGroup
	for seq := 1; seq <= jobs; seq++ {
		for _, e := range []*entry{a, b, a, b} {
			wg.Go(func() {
				if got := e.submit(s, seq, job(2, 20*time.Millisecond, 10*time.Second)); got.State != "complete" {
					t.Errorf("job %d at %s: %+v", seq, e.name, got)
				}
			})
		}
	}
	wg.Wait()
	for _, e := range []*entry{a, b} {
		complete(t, e.submit(s, jobs, job(2, 20*time.Millisecond, 10*time.Second)), 2)
	}
	if n := len(startsOf(target)); n != 2*jobs {
		t.Errorf("%d starts for %d tasks", n, 2*jobs)
	}
}

// Guards against a false answer where the home of a session is gone: only
// unknown is true, because an earlier copy may have run.
func TestKilledHomeIsAnsweredUnknown(t *testing.T) {
	c := newCluster(t)
	c.target("t1", 8)
	c.ticket()
	a, b := c.entry("e1"), c.entry("e2")
	c.converged(a, b)
	s := a.open()
	forwarded := make(chan answer, 1)
	go func() { forwarded <- b.submit(s, 1, job(1, 5*time.Second, 10*time.Second)) }()
	eventually(t, 2*time.Second, "the job is at its home", func() bool { return a.status().Queue.Running == 1 })
	a.kill()
	for i, got := range []answer{<-forwarded, b.submit(s, 2, job(1, time.Millisecond, time.Second))} {
		if got.State != "unknown" || got.Code != "home_unreachable" {
			t.Errorf("answer %d without the home: %+v", i, got)
		}
	}
	complete(t, b.submit(b.open(), 1, job(1, time.Millisecond, time.Second)), 1)
}

// Guards against a planned stop that cuts a connection, loses an answer or
// starts a task twice while callers keep submitting to the stopping home's
// sessions. Callers follow the health page, as a load balancer does.
func TestGracefulStopUnderLoad(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 16)
	c.ticket()
	a, b := c.entry("e1"), c.entry("e2")
	c.converged(a, b)
	var leaving atomic.Bool
	var wg sync.WaitGroup
	var sent atomic.Int64
	end := make(chan struct{})
	for worker := range 8 {
		s := a.open()
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
				if got := e.submit(s, seq, job(1, 30*time.Millisecond, 10*time.Second)); got.State != "complete" {
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
	if code := a.exit(20 * time.Second); code != 0 {
		t.Errorf("the stopped instance ended with %d", code)
	}
	time.Sleep(500 * time.Millisecond)
	close(end)
	wg.Wait()
	if n := len(startsOf(target)); int64(n) != sent.Load() {
		t.Errorf("%d starts for %d tasks", n, sent.Load())
	}
}

// Guards against starts that a paused home sends when it resumes, although
// their time has passed.
func TestPausedHomeStartsNothingStale(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 1)
	c.ticket()
	e := c.entry("e1")
	c.converged(e)
	s := e.open()
	const timeout = time.Second
	var wg sync.WaitGroup
	submitted := time.Now()
	for seq := 1; seq <= 8; seq++ {
		wg.Go(func() {
			got := e.submit(s, seq, job(1, 400*time.Millisecond, timeout))
			if got.State == "complete" && time.Since(submitted) > 3*time.Second {
				t.Errorf("job %d is complete after its time: %+v", seq, got)
			}
		})
	}
	eventually(t, timeout, "a task runs", func() bool { return len(startsOf(target)) >= 1 })
	e.signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	e.signal(syscall.SIGCONT)
	wg.Wait()
	for _, st := range startsOf(target) {
		if late := time.UnixMilli(st.TimeUnixMS).Sub(submitted); late > timeout+100*time.Millisecond {
			t.Errorf("job %s was started %v after its submission", seqOf(st), late)
		}
	}
}

// Guards against an instance that cannot serve because the store is down when
// it starts, although a peer has the configuration.
func TestConfigurationFromPeer(t *testing.T) {
	c := newCluster(t)
	c.target("t1", 8)
	c.ticket()
	a := c.entry("e1")
	c.converged(a)
	c.control(http.MethodPost, "/v1/faults", map[string]bool{"outage": true})
	b := c.entry("e2")
	eventually(t, propagation, "the new instance is healthy", b.healthy)
	complete(t, b.submit(b.open(), 1, job(2, time.Millisecond, 5*time.Second)), 2)
}

// Guards against new work on a target 3 s after the list reports it as
// leaving (P6), and against work that stops because one target leaves.
func TestLeavingTargetGetsNoStarts(t *testing.T) {
	c := newCluster(t)
	stays, leaves := c.target("t1", 4), c.target("t2", 4)
	c.ticket()
	e := c.entry("e1")
	c.converged(e)
	s := e.open()
	c.list("t2", instancelist.KindTarget, leaves.address(), instancelist.StateLeaving)
	deadline := time.Now().Add(3 * time.Second)
	for seq := 1; time.Now().Before(deadline.Add(time.Second)); seq++ {
		complete(t, e.submit(s, seq, job(8, 10*time.Millisecond, 5*time.Second)), 8)
	}
	for _, st := range startsOf(leaves) {
		if at := time.UnixMilli(st.TimeUnixMS); at.After(deadline) {
			t.Errorf("job %s was started %v after the bound", seqOf(st), at.Sub(deadline))
		}
	}
	if len(startsOf(stays)) == 0 {
		t.Error("the other target got no start")
	}
}

// Guards against a ticket that reaches some instances late (P8), here while
// the watchers are gone and only peers and the poll are left.
func TestTicketIsInForceWithinBound(t *testing.T) {
	c := newCluster(t)
	c.target("t1", 4)
	c.ticket()
	var all []*entry
	for i := range 4 {
		all = append(all, c.entry(fmt.Sprintf("e%d", i)))
	}
	c.converged(all...)
	for range 3 {
		c.ticketWith(fmt.Sprintf("owner of ticket %d", c.current.Number+1))
		eventually(t, propagation, "the ticket is in force everywhere", func() bool {
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

// Guards against more connections to a target than it accepts over all entry
// instances, while each of them has more work than its share.
func TestConnectionsAreBounded(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 2*targetConnections)
	c.ticket()
	a, b := c.entry("e1"), c.entry("e2")
	c.converged(a, b)
	var wg sync.WaitGroup
	for _, e := range []*entry{a, b} {
		s := e.open()
		for seq := 1; seq <= 4; seq++ {
			wg.Go(func() { complete(t, e.submit(s, seq, job(100, 5*time.Millisecond, 10*time.Second)), 100) })
		}
	}
	wg.Wait()
	_, text, err := call(http.DefaultClient, http.MethodGet, "http://"+target.address()+"/v1/stats", nil)
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
