package disconnect

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against serving requests whose client has closed or reset the
// connection, and against dropping requests whose client still waits.
func TestClosed(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"open":        func(*net.TCPConn) error { return nil },
		"closed":      func(c *net.TCPConn) error { return c.Close() },
		"half-closed": func(c *net.TCPConn) error { return c.CloseWrite() },
		"reset":       func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
		"next sent":   func(c *net.TCPConn) error { _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); return err },
	} {
		t.Run(name, func(t *testing.T) {
			arrived, ended, got := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(arrived)
				<-ended
				got <- PeerClosed(r.Context())
			}))
			s.Config.ConnContext = ConnContext
			s.Start()
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
			<-arrived
			if err := end(c.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			close(ended)
			if want := name != "open" && name != "next sent"; <-got != want {
				t.Errorf("closed: %v, want %v", !want, want)
			}
		})
	}
	if PeerClosed(context.Background()) {
		t.Error("a context without a connection counts as closed")
	}
}
