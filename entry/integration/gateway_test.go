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

// Guards against requests that are accepted although they are malformed,
// oversized or unauthorized, and against rejections that do not name the place
// of every fault. None of the requests may start a task.
func TestRejections(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 4)
	c.acceptTicket()
	e := c.startEntry("e1")
	c.waitConverged(e)
	s := "/v1/sessions/" + e.openSession()
	jobs := s + "/jobs/1"
	forged := s[:len(s)-4] + "AAAA/jobs/1"
	good := `{"service":"appraisal","timeout_ms":1000,"tasks":[{"payload":"cA=="}]}`
	replaced := func(old, text string) string { return strings.Replace(good, old, text, 1) }
	openPath := "/v1/sessions"
	cases := []struct {
		name, method, path, token, body string
		status                          int
		places                          string
	}{
		{"syntax", "PUT", jobs, "", `{"service":`, 400, "body"},
		{"empty", "PUT", jobs, "", ``, 400, "body"},
		{"trailing", "PUT", jobs, "", good + `{}`, 400, "body"},
		{"unknown key", "PUT", jobs, "", replaced(`"service"`, `"colour":1,"service"`), 400, "body"},
		{"wrong type", "PUT", jobs, "", replaced(`1000`, `"soon"`), 400, "timeout_ms"},
		{"base64", "PUT", jobs, "", replaced(`cA==`, `*`), 400, "tasks[0].payload"},
		{"many faults", "PUT", jobs, "", `{"timeout_ms":0,"memory_mb":-1,"tasks":[{"declared_ms":-1}]}`, 400,
			"service timeout_ms memory_mb tasks[0].declared_ms"},
		{"long timeout", "PUT", jobs, "", replaced(`1000`, `600001`), 400, "timeout_ms"},
		{"no tasks", "PUT", jobs, "", replaced(`{"payload":"cA=="}`, ``), 400, "tasks"},
		{"too many tasks", "PUT", jobs, "", replaced(`{"payload":"cA=="}`, strings.Repeat(`{},`, 550)+`{}`), 400, "tasks"},
		{"oversized", "PUT", jobs, "", replaced(`cA==`, strings.Repeat("A", 8<<20)), 413, "body"},
		{"unknown service", "PUT", jobs, "", replaced(`appraisal`, `rug-washing`), 403, "service"},
		{"sequence number 0", "PUT", s + "/jobs/0", "", good, 400, "seq"},
		{"sequence number outside", "PUT", s + "/jobs/5000", "", good, 422, "seq"},
		{"forged session", "PUT", forged, "", good, 401, "session"},
		{"wait", "GET", jobs + "?wait_ms=60001", "", "", 400, "wait_ms"},
		{"path", "GET", "/v2", "", "", 404, "path"},
		{"method", "PATCH", jobs, "", good, 404, "path"},
		{"wrong token", "POST", openPath, "Bearer wrong", `{"caller":"desk"}`, 401, "authorization"},
		{"no token", "POST", openPath, "", `{"caller":"desk"}`, 401, "authorization"},
		{"unknown caller", "POST", openPath, "Bearer " + callerToken, `{"caller":"nobody"}`, 401, "authorization"},
		{"not a bearer", "POST", openPath, callerToken, `{"caller":"desk"}`, 401, "authorization"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := e.rawRequest(t, tc.method, tc.path, tc.token, tc.body)
			var places []string
			for _, f := range a.Findings {
				places = append(places, f.Place)
			}
			if a.Status != tc.status || a.State != "rejected" || strings.Join(places, " ") != tc.places {
				t.Errorf("%d %s at %q, want %d rejected at %q", a.Status, a.State, places, tc.status, tc.places)
			}
		})
	}
	if n := len(startsAt(target)); n != 0 {
		t.Errorf("rejected requests caused %d starts", n)
	}
	requireComplete(t, e.submit(strings.TrimPrefix(s, "/v1/sessions/"), 1, newJob(1, time.Millisecond, time.Second)), 1)
}

// rawRequest sends a request whose body may be malformed.
func (e *entry) rawRequest(t *testing.T, method, path, token, body string) answer {
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

// Guards against a job that is canceled because its client disconnects, and
// against wrong responses to the requests other than submissions.
func TestDisconnectedClientAndOtherRequests(t *testing.T) {
	c := newCluster(t)
	target := c.startTarget("t1", 4)
	c.acceptTicket()
	a, b := c.startEntry("e1"), c.startEntry("e2")
	c.waitConverged(a, b)
	s := a.openSession()
	path := func(seq int) string { return fmt.Sprintf("/v1/sessions/%s/jobs/%d", s, seq) }
	shortTimeout := &http.Client{Timeout: 200 * time.Millisecond}
	if _, _, err := doRequest(shortTimeout, http.MethodPut, b.url()+path(1), newJob(1, time.Second, 5*time.Second)); err == nil {
		t.Error("the request of the client did not time out")
	}
	if got := b.request(http.MethodGet, path(1), nil); got.Status != http.StatusAccepted || got.State != "running" {
		t.Errorf("collect at once: %+v", got)
	}
	requireComplete(t, b.request(http.MethodGet, path(1)+"?wait_ms=5000", nil), 1)
	go a.submit(s, 2, newJob(1, 5*time.Second, 10*time.Second))
	eventually(t, 2*time.Second, "the second job runs", func() bool { return len(startsAt(target)) == 2 })
	if got := b.request(http.MethodDelete, path(2), nil); got.State != "unknown" && got.State != "failed" || got.Code != "cancelled" {
		t.Errorf("cancel: %+v", got)
	}
	got := b.request(http.MethodPost, "/v1/sessions/"+s+"/acknowledge", map[string]int{"acknowledged_below": 3})
	if got.Status != http.StatusNoContent {
		t.Errorf("acknowledge: %+v", got)
	}
	if got := b.request(http.MethodGet, path(1), nil); got.State != "unknown" || got.Code != "already_used" {
		t.Errorf("collect after the acknowledgement: %+v", got)
	}
	if got := b.request(http.MethodDelete, "/v1/sessions/"+s, nil); got.Status != http.StatusNoContent {
		t.Errorf("close: %+v", got)
	}
	if got := b.submit(s, 3, newJob(1, time.Millisecond, time.Second)); got.State != "unknown" || got.Code != "session_unknown" {
		t.Errorf("submission to a closed session: %+v", got)
	}
}

// Guards against metrics without help, type or value, and against counters that
// do not include a finished job.
func TestMetricsPage(t *testing.T) {
	c := newCluster(t)
	c.startTarget("t1", 4)
	c.acceptTicket()
	e := c.startEntry("e1")
	c.waitConverged(e)
	requireComplete(t, e.submit(e.openSession(), 1, newJob(3, time.Millisecond, time.Second)), 3)
	want := []string{
		`marigold_attempts_total{outcome="done"} 3`, `marigold_answers_total{state="complete"} 1`,
		`marigold_request_seconds_count 1`, `marigold_ticket_number 1`,
	}
	eventually(t, 3*time.Second, "the metrics page counts the job", func() bool {
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
