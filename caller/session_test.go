package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
)

// instance is an entry instance that records the job requests it receives. It
// passes them to the handler given to newInstance.
type instance struct {
	*httptest.Server
	mu     sync.Mutex
	paths  []string
	bodies []jobMessage
}

// submissions returns the paths of the job requests so far.
func (in *instance) submissions() []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.paths)
}

func newInstance(t *testing.T, handle http.HandlerFunc) *instance {
	in := &instance{}
	in.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusCreated)
			io.WriteString(w, `{"session":"s1","window":4}`)
			return
		}
		var m jobMessage
		json.NewDecoder(r.Body).Decode(&m)
		in.mu.Lock()
		in.paths, in.bodies = append(in.paths, r.URL.Path), append(in.bodies, m)
		in.mu.Unlock()
		handle(w, r)
	}))
	t.Cleanup(in.Close)
	return in
}

func cutConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

const complete = `{"state":"complete","results":["b2s="],"starts":1}`

func openSession(t *testing.T, bases ...string) *Session {
	t.Helper()
	c, err := New(Config{Caller: "rugs", Token: "t", Bases: bases})
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.Open(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var oneTask = Job{Service: "appraisal-desk", Timeout: time.Second, Tasks: []Task{{}}}

// Guards against a submission that is repeated under a new sequence number
// after a lost connection, which could start the job a second time.
func TestCutConnectionRepeatsSequenceNumber(t *testing.T) {
	a, b := newInstance(t, cutConnection), newInstance(t, respond(200, complete))
	rep, err := openSession(t, a.URL, b.URL).Submit(context.Background(), oneTask)
	if err != nil {
		t.Fatal(err)
	}
	if done, ok := rep.Answer.(answer.Complete); !ok || string(done.Results[0]) != "ok" {
		t.Errorf("answer %v, want the result ok", rep.Answer)
	}
	if len(b.submissions()) != 1 || b.submissions()[0] != "/v1/sessions/s1/jobs/1" || a.submissions()[0] != b.submissions()[0] {
		t.Errorf("submitted %v and %v, want job 1 at both", a.submissions(), b.submissions())
	}
}

// Guards against answers that are never acknowledged, and against
// acknowledging an answer that has not been received.
func TestLaterSubmissionsAcknowledge(t *testing.T) {
	a := newInstance(t, respond(200, complete))
	s := openSession(t, a.URL)
	for range 3 {
		if _, err := s.Submit(context.Background(), oneTask); err != nil {
			t.Fatal(err)
		}
	}
	for i, m := range a.bodies {
		if m.AcknowledgedBelow != uint64(i+1) {
			t.Errorf("job %d acknowledges below %d, want %d", i+1, m.AcknowledgedBelow, i+1)
		}
	}
}

// Guards against acknowledging the answer of an instance that cannot reach the
// home instance, and against returning it although another instance can reach
// the home instance.
func TestUnreachableHomeIsTriedFromAnotherInstance(t *testing.T) {
	unreachable := respond(200, `{"state":"unknown","code":"home_unreachable"}`)
	a, b := newInstance(t, unreachable), newInstance(t, respond(200, complete))
	rep, err := openSession(t, a.URL, b.URL).Submit(context.Background(), oneTask)
	if _, ok := rep.Answer.(answer.Complete); err != nil || !ok {
		t.Errorf("got %v, %v, want the answer of the second instance", rep.Answer, err)
	}
	s := openSession(t, a.URL)
	rep, err = s.Submit(context.Background(), oneTask)
	if err != nil || !SessionLost(rep.Answer) || s.window.lowWaterMark() != 1 {
		t.Errorf("got %v, %v with low-water mark %d, want an unknown answer and the mark 1", rep.Answer, err, s.window.lowWaterMark())
	}
}

// Guards against a request that times out just before the instance replies that
// it cannot reach the home instance, which it does after 5 s.
func TestLateUnknownIsReceived(t *testing.T) {
	t.Parallel()
	a := newInstance(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5200 * time.Millisecond)
		respond(200, `{"state":"unknown","code":"home_unreachable"}`)(w, r)
	})
	rep, err := openSession(t, a.URL).Collect(context.Background(), 1, 0)
	if err != nil || !SessionLost(rep.Answer) {
		t.Errorf("got %v, %v, want unknown", rep.Answer, err)
	}
}

// Guards against unlimited retries, and against retrying a rejected request.
func TestTriesAreBounded(t *testing.T) {
	a := newInstance(t, cutConnection)
	var none *NoAnswer
	if _, err := openSession(t, a.URL).Submit(context.Background(), oneTask); !errors.As(err, &none) || len(a.submissions()) > 2*maxAttempts {
		t.Errorf("got %v after %d requests, want a bounded NoAnswer", err, len(a.submissions()))
	}
	b := newInstance(t, respond(403, `{"state":"rejected","findings":[{"place":"service","message":"not allowed"}]}`))
	var rejected *Rejected
	_, err := openSession(t, b.URL).Submit(context.Background(), oneTask)
	if !errors.As(err, &rejected) || len(b.submissions()) != 1 || rejected.Findings[0].Place != "service" {
		t.Errorf("got %v after %d requests, want one rejection", err, len(b.submissions()))
	}
}

// Guards against accepting a complete answer that lacks results, a failed answer
// with results, or a "not run" answer to a job that was started.
func TestInconsistentAnswersAreErrors(t *testing.T) {
	for _, body := range []string{
		`{"state":"complete","results":[]}`,
		`{"state":"failed","results":["b2s="]}`,
		`{"state":"not_run","starts":1}`,
	} {
		a := newInstance(t, respond(200, body))
		if rep, err := openSession(t, a.URL).Submit(context.Background(), oneTask); err == nil {
			t.Errorf("%s was accepted as %v", body, rep.Answer)
		}
	}
}

func ExampleSession_Submit() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusCreated)
			io.WriteString(w, `{"session":"s1","window":1024}`)
			return
		}
		io.WriteString(w, complete)
	}))
	defer server.Close()
	c, err := New(Config{Caller: "rug-dealers", Token: "secret", Bases: []string{server.URL}})
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	s, err := c.Open(ctx)
	if err != nil {
		panic(err)
	}
	rep, err := s.Submit(ctx, Job{Service: "appraisal-desk", Timeout: time.Second, Tasks: []Task{{Payload: []byte("rug 7")}}})
	if err != nil {
		panic(err)
	}
	switch a := rep.Answer.(type) {
	case answer.Complete:
		fmt.Printf("complete: %s\n", a.Results[0])
	case answer.Failed, answer.NotRun, answer.Unknown:
		fmt.Printf("%+v\n", a)
	}
	// Output: complete: ok
}

// Guards against sequence numbers outside the window, which the home instance
// rejects, and against submissions that wait although the window has space.
func TestWindowIsNotExceeded(t *testing.T) {
	w := newWindow(1, 2)
	ctx, cancel := context.WithCancel(context.Background())
	for want := uint64(1); want <= 2; want++ {
		if seq, _, err := w.reserve(ctx); err != nil || seq != want {
			t.Fatalf("got number %d, %v, want %d", seq, err, want)
		}
	}
	taken := make(chan uint64)
	go func() {
		seq, below, _ := w.reserve(ctx)
		taken <- seq
		taken <- below
	}()
	w.markAnswered(2)
	select {
	case seq := <-taken:
		t.Errorf("got number %d while job 1 was unanswered", seq)
	case <-time.After(20 * time.Millisecond):
	}
	w.markAnswered(1)
	if seq, below := <-taken, <-taken; seq != 3 || below != 3 {
		t.Errorf("got number %d and low-water mark %d, want 3 and 3", seq, below)
	}
	cancel()
	w.reserve(ctx)
	if _, _, err := w.reserve(ctx); err == nil {
		t.Error("a full window returned a number after the context was cancelled")
	}
}
