package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/intake"
)

const maxBody = 1 << 20

// testServer serves requests by reading their bodies, and answers their lengths.
type testServer struct {
	guard           *Guard
	address         string
	refused, closed atomic.Int64
	// size is the size of the response in bytes, or 0 for a response with the length of
	// the body.
	size int
	// bodyTime is the time for a body, if it is above 0.
	bodyTime time.Duration
	// keep is called with each body, if it is not nil.
	keep func(body []byte)
	// hold is called after a body was read, if it is not nil.
	hold func(r *http.Request)
}

func newTestServer(t *testing.T, limits intake.Limits) *testServer {
	t.Helper()
	s := &testServer{}
	s.guard = New(Config{
		Limits: limits, BodyTime: 5 * time.Second, WriteTime: 5 * time.Second, Log: zap.NewNop(),
		Refused: func(intake.Limit) { s.refused.Add(1) }, Closed: func(intake.Limit) { s.closed.Add(1) },
	})
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	s.guard.Protect(server)
	l, err := s.guard.Listen("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		return
	}
	var until time.Time
	if s.bodyTime > 0 {
		until = time.Now().Add(s.bodyTime)
	}
	body, err := ReadBody(w, r, maxBody, until)
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		SetRefusal(w, refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.keep != nil {
		s.keep(body)
	}
	if s.hold != nil {
		s.hold(r)
	}
	if s.size > 0 {
		_, _ = w.Write(make([]byte, s.size))
		return
	}
	fmt.Fprint(w, len(body))
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// response reads a response and its body.
func response(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// wantRefusal checks that the next response is a refusal, after which the connection is
// closed.
func wantRefusal(t *testing.T, c net.Conn) {
	t.Helper()
	resp, _ := response(t, bufio.NewReader(c))
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("status %d, header %v, want 503 with Retry-After and the end of the connection", resp.StatusCode, resp.Header)
	}
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
}

const (
	roomy   = 64 << 20
	chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// Guards against bodies that are read although there is no memory for them.
func TestLongBodyIsRefusedBeforeItIsRead(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: maxBody, Connections: 10, Unfinished: 10})
	c := s.dial(t)
	send(t, c, post(maxBody))
	wantRefusal(t, c)
	if s.refused.Load() != 1 {
		t.Errorf("%d refusals are counted, want 1", s.refused.Load())
	}
}

// Guards against a reset of the connection while a refused client still sends, which
// may then not read the response.
func TestRefusedClientMayGoOnSending(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: 300 << 10, Connections: 10, Unfinished: 10})
	c := s.dial(t)
	send(t, c, post(200<<10)+strings.Repeat("x", 1000))
	wantRefusal(t, c)
	for range 10 {
		time.Sleep(5 * time.Millisecond)
		send(t, c, strings.Repeat("x", 10_000))
	}
}

// Guards against bodies of unknown length that do not count.
func TestChunkedBodyCountsAsItGrows(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: maxBody, Connections: 10, Unfinished: 10})
	c := s.dial(t)
	send(t, c, chunked)
	for range 32 {
		// The client goes on to send after the refusal.
		_, _ = io.WriteString(c, "4000\r\n"+strings.Repeat("x", 0x4000)+"\r\n")
	}
	wantRefusal(t, c)
}

// Guards against unfinished requests that keep others from being served.
func TestUnfinishedBodyGivesWay(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: 1 << 20, Connections: 10, Unfinished: 10})
	first, second := s.dial(t), s.dial(t)
	send(t, first, post(300<<10)+"x")
	eventually(t, func() bool { return s.guard.Stats().Bytes > 300<<10 })
	send(t, second, post(300<<10)+strings.Repeat("x", 300<<10))
	if resp, body := response(t, bufio.NewReader(second)); body != fmt.Sprint(300<<10) {
		t.Errorf("status %d, body %q", resp.StatusCode, body)
	}
	wantRefusal(t, first)
}

// Guards against a connection that is not usable after a request, for example because a
// deadline of the previous request remains, and against memory that remains with it.
func TestConnectionServesFurtherRequests(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	c := s.dial(t)
	r := bufio.NewReader(c)
	for _, request := range []string{
		post(5) + "12345", chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", post(5) + "12345",
	} {
		send(t, c, request)
		if resp, _ := response(t, r); resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
		}
		eventually(t, func() bool { return s.guard.Stats() == intake.Stats{Bytes: intake.ConnectionCost, Connections: 1} })
	}
	_ = c.Close()
	eventually(t, func() bool { return s.guard.Stats() == intake.Stats{} })
}

// Guards against requests that are broken off while they are served.
func TestServedRequestDoesNotGiveWay(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 2, Unfinished: 2})
	held, release := make(chan struct{}, 2), make(chan struct{})
	s.hold = func(r *http.Request) {
		held <- struct{}{}
		<-release
		if r.Context().Err() != nil {
			t.Error("the request was cancelled")
		}
	}
	first, second := s.dial(t), s.dial(t)
	for _, c := range []net.Conn{first, second} {
		send(t, c, post(1)+"x")
		<-held
	}
	third := s.dial(t)
	if _, err := third.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("a connection above the limit was not closed: %v", err)
	}
	close(release)
	for _, c := range []net.Conn{first, second} {
		if resp, _ := response(t, bufio.NewReader(c)); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}

// Guards against a response to a part of a header: an error that no page names.
func TestUnfinishedHeaderGetsNoResponse(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 1})
	first := s.dial(t)
	send(t, first, "POST / HTTP/1.1\r\nHost: a\r\n")
	eventually(t, func() bool { return s.guard.Stats().Unfinished == 1 })
	second := s.dial(t)
	send(t, second, post(1)+"x")
	response(t, bufio.NewReader(second))
	if text, _ := io.ReadAll(first); len(text) > 0 {
		t.Errorf("the response is %q", text)
	}
}

// Guards against a planned stop that breaks off a request that is served, or keeps one
// that does not arrive.
func TestStop(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	held, release := make(chan struct{}), make(chan struct{})
	s.hold = func(*http.Request) {
		close(held)
		<-release
	}
	served, stalled := s.dial(t), s.dial(t)
	send(t, served, post(1)+"x")
	<-held
	send(t, stalled, post(10))
	eventually(t, func() bool { return s.guard.Stats().Unfinished == 1 })
	done := make(chan struct{})
	defer close(done)
	go s.guard.EvictStalled(done, intake.Stop)
	wantRefusal(t, stalled)
	close(release)
	if resp, _ := response(t, bufio.NewReader(served)); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Guards against headers that take much more memory than a connection counts for.
func TestHeaderAboveItsLimit(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	c := s.dial(t)
	send(t, c, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n\r\n")
	if resp, _ := response(t, bufio.NewReader(c)); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", resp.StatusCode)
	}
}

// Guards against a client that never reads a large response and keeps its connection.
func TestResponseThatIsNotRead(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	s.size = roomy
	send(t, s.dial(t), post(1)+"x")
	eventually(t, func() bool { return s.guard.Stats().Connections == 1 })
	eventually(t, func() bool { return s.guard.Stats().Connections == 0 })
}

// Guards against bodies that stop and keep their connections in calm, also where the
// handler does not read them.
func TestBodyThatStopsIsCutOff(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	send(t, s.dial(t), post(10)+"x")
	send(t, s.dial(t), strings.Replace(post(10), "/", "/unread", 1)+"x")
	eventually(t, func() bool { return s.guard.Stats().Connections == 2 })
	eventually(t, func() bool { return s.guard.Stats().Connections == 0 })
	if s.closed.Load() == 0 {
		t.Error("the closed connections are not counted")
	}
}

// Guards against a body above its limit, with a known and with an unknown length.
func TestBodyAboveItsLimit(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	for _, request := range []string{post(maxBody + 1), chunked + fmt.Sprintf("%x\r\n%s", maxBody+1, strings.Repeat("x", maxBody+1))} {
		c := s.dial(t)
		_, _ = io.WriteString(c, request)
		if resp, _ := response(t, bufio.NewReader(c)); resp.StatusCode != http.StatusBadRequest || !resp.Close {
			t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
		}
	}
}

// Guards against the loss of a response that the client of an idle connection has not
// taken to its end yet when the connection gives way to a new one.
func TestIdleConnectionGivesWayAfterItsResponse(t *testing.T) {
	const size = 200 << 10
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 1, Unfinished: 1})
	s.size = size
	first := s.dial(t).(*net.TCPConn)
	_ = first.SetReadBuffer(4 << 10)
	send(t, first, post(5)+"12345")
	eventually(t, func() bool {
		st := s.guard.Stats()
		return st.Connections == 1 && st.Unfinished == 0 && st.Bytes == intake.ConnectionCost
	})
	send(t, s.dial(t), post(5)+"12345")
	eventually(t, func() bool { return s.closed.Load() == 1 })
	if _, body := response(t, bufio.NewReader(first)); len(body) != size {
		t.Errorf("%d bytes of the response were received, want %d", len(body), size)
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition is not met")
		}
	}
}
