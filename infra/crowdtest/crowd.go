// Package crowdtest plays clients that do not behave, for tests of programs that listen.
package crowdtest

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	dialTimeout = time.Second
	// minReconnect is how long a client waits before it connects again.
	minReconnect = 5 * time.Millisecond
)

// Crowd is a number of clients. Its methods may be called from several goroutines.
type Crowd struct {
	quit chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex // guards open
	open map[net.Conn]bool
}

// New returns a Crowd without clients. Its clients leave at the end of the test.
func New(t testing.TB) *Crowd {
	c := &Crowd{quit: make(chan struct{}), open: map[net.Conn]bool{}}
	t.Cleanup(c.leave)
	return c
}

// Join adds n clients. Each connects to the address, sends the request, which need not be
// complete, and waits for the end of the connection. Then it connects again.
func (c *Crowd) Join(address string, n int, request []byte) {
	c.add(n, func() {
		for {
			c.connect(address, request)
			select {
			case <-c.quit:
				return
			case <-time.After(minReconnect):
			}
		}
	})
}

// JoinOnce is like Join, but the clients do not connect again.
func (c *Crowd) JoinOnce(address string, n int, request []byte) {
	c.add(n, func() { c.connect(address, request) })
}

func (c *Crowd) add(n int, client func()) {
	for range n {
		c.wg.Go(client)
	}
}

func (c *Crowd) connect(address string, request []byte) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	c.mu.Lock()
	c.open[conn] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, conn)
	}()
	go func() {
		// A request that is refused cannot be sent to its end.
		_, _ = conn.Write(request)
	}()
	_, _ = io.Copy(io.Discard, conn)
}

// leave closes all connections and ends the clients.
func (c *Crowd) leave() {
	close(c.quit)
	ended := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(ended)
	}()
	for {
		c.mu.Lock()
		for conn := range c.open {
			_ = conn.Close()
		}
		c.mu.Unlock()
		select {
		case <-ended:
			return
		case <-time.After(minReconnect): // A client may have connected meanwhile.
		}
	}
}
