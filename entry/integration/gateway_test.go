package integration

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against messages that are accepted although they are malformed,
// oversized or not authorised, and against rejections without the place of
// every fault. None of the messages may start anything.
func TestRejections(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 4)
	c.ticket()
	e := c.entry("e1")
	c.converged(e)
	s := "/v1/sessions/" + e.open()
	jobs := s + "/jobs/1"
	forged := s[:len(s)-4] + "AAAA/jobs/1"
	good := `{"service":"appraisal","timeout_ms":1000,"tasks":[{"payload":"cA=="}]}`
	with := func(old, text string) string { return strings.Replace(good, old, text, 1) }
	opening := "/v1/sessions"
	cases := []struct {
		name, method, path, token, body string
		status                          int
		places                          string
	}{
		{"syntax", "PUT", jobs, "", `{"service":`, 400, "body"},
		{"empty", "PUT", jobs, "", ``, 400, "body"},
		{"trailing", "PUT", jobs, "", good + `{}`, 400, "body"},
		{"unknown key", "PUT", jobs, "", with(`"service"`, `"colour":1,"service"`), 400, "body"},
		{"wrong type", "PUT", jobs, "", with(`1000`, `"soon"`), 400, "timeout_ms"},
		{"base64", "PUT", jobs, "", with(`cA==`, `*`), 400, "tasks[0].payload"},
		{"many faults", "PUT", jobs, "", `{"timeout_ms":0,"memory_mb":-1,"tasks":[{"declared_ms":-1}]}`, 400,
			"service timeout_ms memory_mb tasks[0].declared_ms"},
		{"long time-out", "PUT", jobs, "", with(`1000`, `600001`), 400, "timeout_ms"},
		{"no tasks", "PUT", jobs, "", with(`{"payload":"cA=="}`, ``), 400, "tasks"},
		{"too many tasks", "PUT", jobs, "", with(`{"payload":"cA=="}`, strings.Repeat(`{},`, 550)+`{}`), 400, "tasks"},
		{"oversized", "PUT", jobs, "", with(`cA==`, strings.Repeat("A", 8<<20)), 413, "body"},
		{"unknown service", "PUT", jobs, "", with(`appraisal`, `rug-washing`), 403, "service"},
		{"sequence number 0", "PUT", s + "/jobs/0", "", good, 400, "seq"},
		{"sequence number outside", "PUT", s + "/jobs/5000", "", good, 422, "seq"},
		{"forged session", "PUT", forged, "", good, 401, "session"},
		{"wait", "GET", jobs + "?wait_ms=60001", "", "", 400, "wait_ms"},
		{"path", "GET", "/v2", "", "", 404, "path"},
		{"method", "PATCH", jobs, "", good, 404, "path"},
		{"wrong token", "POST", opening, "Bearer wrong", `{"caller":"desk"}`, 401, "authorization"},
		{"no token", "POST", opening, "", `{"caller":"desk"}`, 401, "authorization"},
		{"unknown caller", "POST", opening, "Bearer " + callerToken, `{"caller":"nobody"}`, 401, "authorization"},
		{"not a bearer", "POST", opening, callerToken, `{"caller":"desk"}`, 401, "authorization"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := e.raw(t, tc.method, tc.path, tc.token, tc.body)
			var places []string
			for _, f := range a.Findings {
				places = append(places, f.Place)
			}
			if a.Status != tc.status || a.State != "rejected" || strings.Join(places, " ") != tc.places {
				t.Errorf("%d %s at %q, want %d rejected at %q", a.Status, a.State, places, tc.status, tc.places)
			}
		})
	}
	if n := len(startsOf(target)); n != 0 {
		t.Errorf("rejected messages made %d starts", n)
	}
	complete(t, e.submit(strings.TrimPrefix(s, "/v1/sessions/"), 1, job(1, time.Millisecond, time.Second)), 1)
}

func (e *entry) raw(t *testing.T, method, path, token, body string) answer {
	t.Helper()
	req, err := http.NewRequest(method, e.url()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		req.Header.Set("Authorization", token)
	}
	return decodeAnswer(http.DefaultClient.Do(req))
}

// Guards against a job that ends with its client's connection, and against
// wrong replies to the requests beside the submission.
func TestClientGoneAndOtherRequests(t *testing.T) {
	c := newCluster(t)
	target := c.target("t1", 4)
	c.ticket()
	a, b := c.entry("e1"), c.entry("e2")
	c.converged(a, b)
	s := a.open()
	path := func(seq int) string { return fmt.Sprintf("/v1/sessions/%s/jobs/%d", s, seq) }
	impatient := &http.Client{Timeout: 200 * time.Millisecond}
	if _, _, err := call(impatient, http.MethodPut, b.url()+path(1), job(1, time.Second, 5*time.Second)); err == nil {
		t.Error("the client did not give up")
	}
	if got := b.ask(http.MethodGet, path(1), nil); got.Status != http.StatusAccepted || got.State != "running" {
		t.Errorf("collect at once: %+v", got)
	}
	complete(t, b.ask(http.MethodGet, path(1)+"?wait_ms=5000", nil), 1)
	go a.submit(s, 2, job(1, 5*time.Second, 10*time.Second))
	eventually(t, 2*time.Second, "the second job runs", func() bool { return len(startsOf(target)) == 2 })
	if got := b.ask(http.MethodDelete, path(2), nil); got.State != "unknown" && got.State != "failed" || got.Code != "cancelled" {
		t.Errorf("cancel: %+v", got)
	}
	got := b.ask(http.MethodPost, "/v1/sessions/"+s+"/acknowledge", map[string]int{"acknowledged_below": 3})
	if got.Status != http.StatusNoContent {
		t.Errorf("acknowledge: %+v", got)
	}
	if got := b.ask(http.MethodGet, path(1), nil); got.State != "unknown" || got.Code != "already_used" {
		t.Errorf("collect after the acknowledgement: %+v", got)
	}
	if got := b.ask(http.MethodDelete, "/v1/sessions/"+s, nil); got.Status != http.StatusNoContent {
		t.Errorf("close: %+v", got)
	}
	if got := b.submit(s, 3, job(1, time.Millisecond, time.Second)); got.State != "unknown" || got.Code != "session_unknown" {
		t.Errorf("submission to a closed session: %+v", got)
	}
}

// Guards against metrics without help, type or value.
func TestMetricsPage(t *testing.T) {
	c := newCluster(t)
	c.target("t1", 4)
	c.ticket()
	e := c.entry("e1")
	c.converged(e)
	complete(t, e.submit(e.open(), 1, job(3, time.Millisecond, time.Second)), 3)
	want := []string{
		`marigold_attempts_total{outcome="done"} 3`, `marigold_answers_total{state="complete"} 1`,
		`marigold_request_seconds_count 1`, `marigold_ticket_number 1`,
	}
	eventually(t, 3*time.Second, "the metrics page has the job", func() bool {
		resp, err := http.Get(e.url() + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			if strings.HasSuffix(line, " ") {
				t.Errorf("metric without help or value: %q", line)
			}
		}
		for _, w := range want {
			if !strings.Contains(string(text), w) {
				return false
			}
		}
		return true
	})
}
