package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

type client struct {
	t   *testing.T
	tg  *Target
	url string
}

func newClient(t *testing.T, cfg Config) *client {
	tg := New(cfg)
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = tg.Server()
	srv.Start()
	t.Cleanup(srv.Close)
	return &client{t, tg, srv.URL}
}

func (c *client) post(r request) (int, reply) {
	c.t.Helper()
	b, err := json.Marshal(r)
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.Post(c.url+"/v1/tasks", "application/json", bytes.NewReader(b))
	if err != nil {
		c.t.Error(err)
		return 0, reply{}
	}
	defer resp.Body.Close()
	var out reply
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return resp.StatusCode, out
}

func newRequest(job string, runMS int) request {
	return request{Job: job, Attempt: 1, StartByUnixMS: time.Now().Add(time.Minute).UnixMilli(),
		Payload: fmt.Appendf(nil, `{"run_ms":%d,"result":"%s"}`, runMS, job)}
}

func (c *client) waitRunning(n int) {
	c.t.Helper()
	for range 500 {
		if got, _ := c.tg.load(); got == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("%d running tasks not reached", n)
}

// Guards against a stand-in that records refused starts or does not record
// duplicate ones: tests verify the dispatchers by its records.
func TestRecordsStartsAndOnlyStarts(t *testing.T) {
	c := newClient(t, Config{Name: "t", Slots: 1, Connections: 8, Speed: 1})
	late := newRequest("late", 1)
	late.StartByUnixMS = time.Now().Add(-time.Second).UnixMilli()
	if status, _ := c.post(late); status != http.StatusPreconditionFailed {
		t.Errorf("start after its deadline: %d", status)
	}
	if status, _ := c.post(request{}); status != http.StatusBadRequest {
		t.Errorf("empty start: %d", status)
	}
	for range 2 {
		if status, out := c.post(newRequest("twice", 1)); status != http.StatusOK || string(out.Result) != "twice" {
			t.Errorf("start: %d %+v", status, out)
		}
	}
	done := make(chan reply, 1)
	go func() {
		_, out := c.post(newRequest("long", 60_000))
		done <- out
	}()
	c.waitRunning(1)
	if status, out := c.post(newRequest("full", 1)); status != http.StatusTooManyRequests || out.Running != 1 || out.Slots != 1 {
		t.Errorf("no free slot: %d %+v", status, out)
	}
	if !c.tg.stopTask("long/0/1") || c.tg.stopTask("long/0/1") {
		t.Error("want the running task to be stopped once")
	}
	if out := <-done; out.Outcome != outcomeFailed {
		t.Errorf("stopped task: %+v", out)
	}
	jobs := ""
	for _, s := range c.tg.starts {
		jobs += s.Job + " "
	}
	if jobs != "twice twice long " {
		t.Errorf("recorded %s", jobs)
	}
}

// Guards against a stand-in that aborts running tasks or starts new ones after
// Leave.
func TestLeavingFinishesRunningTasks(t *testing.T) {
	c := newClient(t, Config{Slots: 2, Connections: 8, Speed: 2})
	done := make(chan reply, 1)
	go func() {
		_, out := c.post(newRequest("a", 400))
		done <- out
	}()
	c.waitRunning(1)
	idle := c.tg.Leave()
	if status, _ := c.post(newRequest("b", 1)); status != http.StatusGone {
		t.Errorf("start while leaving: %d", status)
	}
	if out := <-done; out.Outcome != outcomeDone {
		t.Errorf("running task: %+v", out)
	}
	<-idle
}

// Guards against starts on connections above the limit, against a task that runs
// on after its lease expired, and against a fail_all that has no effect.
func TestLimitsAndControls(t *testing.T) {
	c := newClient(t, Config{Slots: 8, Connections: 0, Speed: 1})
	if status, _ := c.post(newRequest("a", 1)); status != http.StatusTooManyRequests {
		t.Errorf("over the connection limit: %d", status)
	}
	c = newClient(t, Config{Slots: 8, Connections: 8, Speed: 1})
	leased := newRequest("b", 60_000)
	leased.LeaseUntilUnixMS = time.Now().Add(50 * time.Millisecond).UnixMilli()
	if _, out := c.post(leased); out.Outcome != outcomeFailed {
		t.Errorf("expired lease: %+v", out)
	}
	resp, err := http.Post(c.url+"/v1/control", "application/json", bytes.NewBufferString(`{"fail_all":true}`))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	if _, out := c.post(newRequest("c", 60_000)); out.Outcome != outcomeFailed || out.Result != nil {
		t.Errorf("fail_all: %+v", out)
	}
}
