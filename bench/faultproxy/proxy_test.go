package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// newEchoProxy returns a proxy in front of a server that sends back all that it
// receives.
func newEchoProxy(t *testing.T) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	p, err := New("127.0.0.1:0", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); p.Close() })
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, line string) {
	if _, err := c.Write([]byte(line)); err != nil {
		t.Fatal(err)
	}
}

// readWithin returns the bytes received within d, at most n.
func readWithin(c net.Conn, n int, d time.Duration) (string, error) {
	b := make([]byte, n)
	_ = c.SetReadDeadline(time.Now().Add(d))
	got, err := io.ReadFull(c, b)
	return string(b[:got]), err
}

const (
	longTimeout  = 5 * time.Second
	shortTimeout = 100 * time.Millisecond
)

// Guards against faults that have no effect. Tests that run behind the proxy
// would then pass without testing anything.
func TestDirectionFaultsTakeEffect(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		want   string
		err    error
	}{
		"none":      {Faults{}, "hello", nil},
		"duplicate": {Faults{Duplicate: true}, "hellohello", nil},
		"truncate":  {Faults{TruncateAfter: 3}, "hel", io.ErrUnexpectedEOF},
		"drop":      {Faults{Drop: true}, "", os.ErrDeadlineExceeded},
		"stall":     {Faults{Stall: true}, "", os.ErrDeadlineExceeded},
		"delay":     {Faults{Delay: time.Hour}, "", os.ErrDeadlineExceeded},
	}
	for name, tc := range tests {
		p := newEchoProxy(t)
		p.SetFaults(ToClient, tc.faults)
		c := dial(t, p)
		send(t, c, "hello")
		wait := longTimeout
		if errors.Is(tc.err, os.ErrDeadlineExceeded) {
			wait = shortTimeout
		}
		got, err := readWithin(c, max(len(tc.want), 5), wait)
		if got != tc.want || !errors.Is(err, tc.err) {
			t.Errorf("%s: got %q, %v", name, got, err)
		}
	}
}

// Guards against a stall that loses bytes, and against a stream that continues
// after dropped bytes. TCP permits neither.
func TestStallKeepsBytesAndDropEndsStream(t *testing.T) {
	p := newEchoProxy(t)
	stalled, dropped := dial(t, p), dial(t, p)
	p.SetFaults(ToServer, Faults{Stall: true})
	send(t, stalled, "one")
	if got, _ := readWithin(stalled, 3, shortTimeout); got != "" {
		t.Errorf("forwarded %q during the stall", got)
	}
	p.ClearFaults()
	if got, err := readWithin(stalled, 3, longTimeout); got != "one" {
		t.Errorf("after the stall: got %q, %v", got, err)
	}
	p.SetFaults(ToServer, Faults{Drop: true})
	send(t, dropped, "two")
	_, _ = readWithin(dropped, 1, shortTimeout)
	p.ClearFaults()
	send(t, dropped, "three")
	if got, _ := readWithin(dropped, 1, shortTimeout); got != "" {
		t.Errorf("the stream continued with %q after dropped bytes", got)
	}
}

// Guards against a client that sees the same error for different ends of a
// connection: a reset, a refusal and a regular close each have their own error,
// and a half-open connection reports none.
func TestConnectionEndsAreDistinguishable(t *testing.T) {
	p := newEchoProxy(t)
	ends := map[string]struct {
		end  func()
		want string
	}{
		"reset":     {p.ResetAll, "reset by peer"},
		"close":     {p.CloseAll, "EOF"},
		"half-open": {p.HalfOpenAll, "timeout"},
	}
	for name, tc := range ends {
		c := dial(t, p)
		send(t, c, "x")
		if got, err := readWithin(c, 1, longTimeout); got != "x" {
			t.Fatal(got, err)
		}
		tc.end()
		if _, err := readWithin(c, 1, 3*shortTimeout); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v", name, err)
		}
		p.ResetAll()
	}
	p.RefuseConnections(true)
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return // The reset arrived before Dial returned.
	}
	defer c.Close()
	if _, err := readWithin(c, 1, longTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("refused connection: %v", err)
	}
}
