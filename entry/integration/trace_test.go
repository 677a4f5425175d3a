package integration

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"marigoldfront.dev/entry/run"
)

// Guards against spans that are missing from a trace or belong to another
// trace: the caller's request, the forward, the request at the home, and the
// start.
func TestTraceHasEveryHop(t *testing.T) {
	c := newCluster(t)
	c.startTarget("t1", 4)
	c.acceptTicket()
	dir := t.TempDir()
	traced := func(name string) *entry {
		return c.startEntry(name, func(s *run.Settings) { s.Trace = filepath.Join(dir, name) })
	}
	a, b := traced("e1"), traced("e2")
	c.waitConverged(a, b)
	const id = "0123456789abcdef0123456789abcdef"
	path := b.url() + "/v1/sessions/" + a.openSession() + "/jobs/1"
	status, text, err := doRequest(http.DefaultClient, http.MethodPut, path, newJob(1, time.Millisecond, 5*time.Second),
		"traceparent", "00-"+id+"-00f067aa0ba902b7-01")
	if err != nil || status != http.StatusOK || !strings.Contains(string(text), id) {
		t.Fatalf("answer: %d %s %v", status, text, err)
	}
	for _, e := range []*entry{a, b} {
		e.signal(syscall.SIGTERM)
		e.waitExit(20 * time.Second)
	}
	spans := map[string]bool{}
	for _, name := range []string{"e1", "e2"} {
		f, err := os.Open(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		for dec := json.NewDecoder(f); dec.More(); {
			var span struct {
				Name        string
				SpanContext struct{ TraceID string }
			}
			if err := dec.Decode(&span); err != nil {
				t.Fatal(err)
			}
			if span.SpanContext.TraceID == id {
				spans[name+" "+span.Name] = true
			}
		}
	}
	for _, want := range []string{"e2 submit", "e2 forward", "e1 forwarded", "e1 start on target"} {
		if !spans[want] {
			t.Errorf("no span %q in the trace, only %v", want, spans)
		}
	}
}
