package sender

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/entry/metrics"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawTarget accepts connections and calls serve for each request, which writes
// the raw bytes of the response. It counts the requests and connections.
type rawTarget struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

func newRawTarget(t *testing.T, serve func(n int64, c net.Conn)) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &rawTarget{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			target.conns.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					serve(target.requests.Add(1), c)
				}
			}()
		}
	}()
	return target
}

func newSender(t *testing.T) (*Sender, chan dispatch.AttemptEnded) {
	ended := make(chan dispatch.AttemptEnded, 16)
	m := metrics.New()
	s := New(Config{Log: zap.NewNop(), Metrics: m, OnAttemptEnd: func(e dispatch.AttemptEnded) { ended <- e }})
	t.Cleanup(func() {
		s.Close()
		m.Close()
	})
	return s, ended
}

func newAttempt(address string, number int) dispatch.StartAttempt {
	return dispatch.StartAttempt{
		Attempt: dispatch.AttemptID{
			Job:  dispatch.JobID{Session: dispatch.SessionID{Incarnation: 0xab, Number: 2}, Seq: 3},
			Task: 4, Number: number,
		},
		Address: address, Caller: "c", Service: "s", Payload: []byte("p"),
		StartBy: time.Now().Add(time.Second), LeaseUntil: time.Now().Add(time.Second),
	}
}

func response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func doneReply(attempt int) string {
	return fmt.Sprintf(`{"job":"ab-2-3","task":4,"attempt":%d,"outcome":"done","result":"cg==","running":1,"slots":8}`, attempt)
}

// Guards against a start that is sent twice because the target drops a reused
// connection after it read the request: by closing it, by resetting it, or in
// the middle of the reply.
func TestDroppedReusedConnectionSendsOnce(t *testing.T) {
	drops := map[string]func(net.Conn){
		"after the request": func(c net.Conn) { c.Close() },
		"reset":             func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
		"inside the reply":  func(c net.Conn) { _, _ = io.WriteString(c, response(200, doneReply(2))[:90]); c.Close() },
	}
	for name, drop := range drops {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(n int64, c net.Conn) {
				if n == 1 {
					_, _ = io.WriteString(c, response(200, doneReply(1)))
					return
				}
				drop(c)
			})
			s, ended := newSender(t)
			address := target.listener.Addr().String()
			s.Start(newAttempt(address, 1))
			if _, ok := (<-ended).Outcome.(dispatch.TaskSucceeded); !ok {
				t.Fatal("the first attempt did not succeed")
			}
			s.Start(newAttempt(address, 2))
			if got := <-ended; !isAmbiguous(got.Outcome) {
				t.Errorf("outcome %#v, want Ambiguous", got.Outcome)
			}
			// A second request would be sent immediately, on any connection.
			time.Sleep(50 * time.Millisecond)
			if n, c := target.requests.Load(), target.conns.Load(); n != 2 || c != 1 {
				t.Errorf("%d requests on %d connections, want 2 on 1", n, c)
			}
		})
	}
}

func isAmbiguous(o dispatch.Outcome) bool {
	_, ok := o.(dispatch.Ambiguous)
	return ok
}

// Guards against a reply that is classified as an outcome which it does not
// prove.
func TestOutcomes(t *testing.T) {
	replaced := func(old, text string) string { return strings.Replace(doneReply(1), old, text, 1) }
	cases := map[string]struct {
		raw  string
		want string
	}{
		"done":             {response(200, doneReply(1)), "dispatch.TaskSucceeded"},
		"failed":           {response(200, replaced(`"done"`, `"failed"`)), "dispatch.TaskFailed"},
		"other job":        {response(200, replaced("ab-2-3", "ab-2-4")), "dispatch.Ambiguous"},
		"other task":       {response(200, replaced(`"task":4`, `"task":5`)), "dispatch.Ambiguous"},
		"other attempt":    {response(200, doneReply(2)), "dispatch.Ambiguous"},
		"other outcome":    {response(200, replaced(`"done"`, `"maybe"`)), "dispatch.Ambiguous"},
		"malformed":        {response(200, doneReply(1)[:40]), "dispatch.Ambiguous"},
		"cut":              {"HTTP/1.1 200 X\r\nContent-Length: 500\r\n\r\n{", "dispatch.Ambiguous"},
		"server error":     {response(500, `{}`), "dispatch.Ambiguous"},
		"large":            {response(200, replaced("cg==", strings.Repeat("AAAA", maxResultBytes/3+1))), "dispatch.Ambiguous"},
		"no slot":          {response(429, doneReply(1)), "dispatch.Refused"},
		"leaving":          {response(410, doneReply(1)), "dispatch.Refused"},
		"expired":          {response(412, doneReply(1)), "dispatch.Refused"},
		"other refusal":    {response(429, doneReply(2)), "dispatch.Ambiguous"},
		"unnamed refusal":  {response(429, `{"running":8,"slots":8}`), "dispatch.Ambiguous"},
		"malformed refuse": {response(429, `<html>`), "dispatch.Ambiguous"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(_ int64, c net.Conn) {
				_, _ = io.WriteString(c, tc.raw)
				c.Close()
			})
			s, ended := newSender(t)
			s.Start(newAttempt(target.listener.Addr().String(), 1))
			if got := <-ended; fmt.Sprintf("%T", got.Outcome) != tc.want {
				t.Errorf("outcome %#v, want %s", got.Outcome, tc.want)
			}
		})
	}
}

// Guards against a start that is classified as not sent although bytes of it
// were written, or as ambiguous although none were, and against starts after
// their latest start time.
func TestNotSent(t *testing.T) {
	hold := make(chan struct{})
	target := newRawTarget(t, func(int64, net.Conn) { <-hold })
	address := target.listener.Addr().String()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	s, ended := newSender(t)
	s.SetConnectionLimits(ConnectionLimits{address: 1})

	s.Start(newAttempt(closed.Addr().String(), 1))
	if got, ok := (<-ended).Outcome.(dispatch.NotSent); !ok || got.DeadlinePassed {
		t.Errorf("refused connection: %#v", got)
	}
	late := newAttempt(address, 1)
	late.StartBy = time.Now().Add(-time.Millisecond)
	s.Start(late)
	if got, ok := (<-ended).Outcome.(dispatch.NotSent); !ok || !got.DeadlinePassed {
		t.Errorf("late start: %#v", got)
	}
	// The first start occupies the only connection. The second one waits for
	// it until its latest start time.
	first, second := newAttempt(address, 1), newAttempt(address, 2)
	first.LeaseUntil = time.Now().Add(time.Minute)
	s.Start(first)
	for target.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	second.StartBy = time.Now().Add(50 * time.Millisecond)
	s.Start(second)
	if got, ok := (<-ended).Outcome.(dispatch.NotSent); !ok || !got.DeadlinePassed {
		t.Errorf("start without a connection: %#v", got)
	}
	s.Stop(dispatch.StopAttempt{Attempt: first.Attempt, Address: address})
	if got := <-ended; !isAmbiguous(got.Outcome) {
		t.Errorf("start that was written and then stopped: %#v", got.Outcome)
	}
	close(hold)
	if n := target.requests.Load(); n != 1 {
		t.Errorf("%d requests on the wire, want 1", n)
	}
}

// Guards against a write after the attempt was already classified as not
// sent, and against a write after the latest start time.
func TestConnRejectsLateWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &conn{Conn: near}
	defer c.Close()
	c.beginStart(time.Now().Add(-time.Second))
	if n, err := c.Write([]byte("x")); n != 0 || err != errStartTimePassed {
		t.Errorf("late write: %d, %v", n, err)
	}
	if written, late := c.disableWrites(); written || !late {
		t.Errorf("after a late write: written %v, late %v", written, late)
	}
	c = &conn{Conn: near}
	c.beginStart(time.Now().Add(time.Second))
	if written, _ := c.disableWrites(); written {
		t.Error("an unused connection counts as written")
	}
	if n, err := c.Write([]byte("x")); n != 0 || err != errWritesDisabled {
		t.Errorf("write after disableWrites: %d, %v", n, err)
	}
	near.Close()
	c = &conn{Conn: near}
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("a closed connection was written to")
	}
	if written, _ := c.disableWrites(); written {
		t.Error("a write of no bytes counts as written")
	}
}
