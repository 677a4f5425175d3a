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

// echo returns a proxy in front of a server that answers each line with it.
func echo(t *testing.T) *Proxy {
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

func ask(t *testing.T, c net.Conn, line string) {
	if _, err := c.Write([]byte(line)); err != nil {
		t.Fatal(err)
	}
}

// read returns what arrives within d, up to n bytes.
func read(c net.Conn, n int, d time.Duration) (string, error) {
	b := make([]byte, n)
	_ = c.SetReadDeadline(time.Now().Add(d))
	got, err := io.ReadFull(c, b)
	return string(b[:got]), err
}

const (
	long  = 5 * time.Second
	brief = 100 * time.Millisecond
)

// Guards against failures that have no effect, which would make the tests
// behind the proxy pass without testing anything.
func TestFaultsOfADirection(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		want   string
		err    error
	}{
		"none":      {Faults{}, "hello", nil},
		"duplicate": {Faults{Duplicate: true}, "hellohello", nil},
		"truncate":  {Faults{TruncateAfter: 3}, "hel", io.ErrUnexpectedEOF},
		"drop":      {Faults{Drop: true}, "", os.ErrDeadlineExceeded},
		"cut":       {Faults{Stall: true}, "", os.ErrDeadlineExceeded},
		"delay":     {Faults{Delay: time.Hour}, "", os.ErrDeadlineExceeded},
	}
	for name, tc := range tests {
		p := echo(t)
		p.SetFaults(ToClient, tc.faults)
		c := dial(t, p)
		ask(t, c, "hello")
		wait := long
		if errors.Is(tc.err, os.ErrDeadlineExceeded) {
			wait = brief
		}
		got, err := read(c, max(len(tc.want), 5), wait)
		if got != tc.want || !errors.Is(err, tc.err) {
			t.Errorf("%s: got %q, %v", name, got, err)
		}
	}
}

// Guards against a cut that loses bytes, and against a dropped stream that
// continues after a gap, neither of which TCP does.
func TestCutHoldsAndDropEndsTheStream(t *testing.T) {
	p := echo(t)
	cut, dropped := dial(t, p), dial(t, p)
	p.SetFaults(ToServer, Faults{Stall: true})
	ask(t, cut, "one")
	if got, _ := read(cut, 3, brief); got != "" {
		t.Errorf("passed %q while cut", got)
	}
	p.ClearFaults()
	if got, err := read(cut, 3, long); got != "one" {
		t.Errorf("after the cut: %q, %v", got, err)
	}
	p.SetFaults(ToServer, Faults{Drop: true})
	ask(t, dropped, "two")
	_, _ = read(dropped, 1, brief)
	p.ClearFaults()
	ask(t, dropped, "three")
	if got, _ := read(dropped, 1, brief); got != "" {
		t.Errorf("stream continued after a gap with %q", got)
	}
}

// Guards against ends of connections that look alike: a reset, a refusal, an
// orderly end, and a half-open connection without any sign.
func TestEndsOfConnections(t *testing.T) {
	p := echo(t)
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
		ask(t, c, "x")
		if got, err := read(c, 1, long); got != "x" {
			t.Fatal(got, err)
		}
		tc.end()
		if _, err := read(c, 1, 3*brief); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v", name, err)
		}
		p.ResetAll()
	}
	p.RefuseConnections(true)
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return // The reset came before the dial returned.
	}
	defer c.Close()
	if _, err := read(c, 1, long); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("refused connection: %v", err)
	}
}
