package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"marigoldfront.dev/core/intake"
)

// A refused client has lingerTime to read the response. What it sends meanwhile is
// discarded, up to lingerBytes.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// writeSize is the size of the pieces in which responses are sent.
	writeSize = 16 << 10
)

// evictedError is the error of reads from a connection that gives way to others. It is a
// timeout, so that a server closes the connection without a response to the part of a
// header that has arrived.
type evictedError struct{}

var _ net.Error = evictedError{}

// Error implements error.
func (evictedError) Error() string { return "the connection gives way to others" }

// Timeout implements net.Error.
func (evictedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (evictedError) Temporary() bool { return true }

// listener accepts connections that count.
type listener struct {
	net.Listener
	guard *Guard
	share float64
}

// Listen listens at a TCP address. The connections may be the given share of all that
// the Guard allows.
func (g *Guard) Listen(address string, share float64) (net.Listener, error) {
	// Accepted connections inherit the size. Without it, the kernel enlarges the buffers
	// as it sees fit, up to some MB for each connection.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error {
			return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := g.boundBacklog(l); err != nil {
		_ = l.Close()
		return nil, err
	}
	return &listener{Listener: l, guard: g, share: share}, nil
}

// boundBacklog bounds the connections that wait to be accepted, which may have received
// requests already.
func (g *Guard) boundBacklog(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok || g.cfg.Backlog == 0 {
		return nil
	}
	c, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	// A second call changes the length of the queue.
	return control(c, func(fd int) error { return syscall.Listen(fd, g.cfg.Backlog) })
}

// control calls f with the descriptor of a connection and returns its error.
func control(c syscall.RawConn, f func(fd int) error) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}

// Accept implements net.Listener. A connection for which there is no room is closed at
// once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nil, errors.New("intake: not a TCP connection")
		}
		if c := l.guard.open(tcp, l.share); c != nil {
			return c, nil
		}
	}
}

// open adds a connection, or closes it and returns nil.
func (g *Guard) open(tcp *net.TCPConn, share float64) *conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, evictions, met := g.table.Open(time.Now(), share)
	g.evict(evictions)
	if met != intake.None {
		g.cfg.Closed(met)
		_ = tcp.Close()
		return nil
	}
	c := &conn{TCPConn: tcp, guard: g, id: id}
	g.conns[id] = c
	return c
}

// conn is a connection that counts.
type conn struct {
	*net.TCPConn
	guard   *Guard
	id      uint64
	evicted atomic.Bool
	// evictedBy is the limit for which the connection was evicted. It is guarded by the
	// mutex of the Guard.
	evictedBy intake.Limit
	// refused is set if the client has to read a refusal before the connection closes,
	// although a part of the request was not read.
	refused atomic.Bool
	// idle is set while the connection awaits a further request.
	idle atomic.Bool
	// grown is set once the receive buffer was enlarged. Only the goroutine that serves
	// the connection uses it.
	grown bool
	// requested is the highest memory, in bytes, that the request has asked for. It is
	// guarded by the mutex of the Guard.
	requested int64
}

// interrupt makes the pending and all later reads fail. The caller holds the lock of the
// Guard.
func (c *conn) interrupt(limit intake.Limit) {
	c.evictedBy = limit
	c.evicted.Store(true)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.evicted.Load() {
		return 0, evictedError{}
	}
	n, err := c.TCPConn.Read(b)
	if err != nil && c.evicted.Load() {
		return n, evictedError{}
	}
	c.guard.received(c, n, err)
	return n, err
}

// Write implements net.Conn. It sends a response in pieces, so that a client that takes
// them slowly can be told from one that takes nothing.
func (c *conn) Write(b []byte) (n int, err error) {
	defer c.guard.record(c, (*intake.Table).Responded)
	for {
		c.guard.record(c, (*intake.Table).Respond)
		sent, err := c.TCPConn.Write(b[n:min(len(b), n+writeSize)])
		if n += sent; err != nil || n == len(b) {
			return n, err
		}
	}
}

// record calls a method of the table for a connection.
func (g *Guard) record(c *conn, method func(t *intake.Table, now time.Time, id uint64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	method(g.table, time.Now(), c.id)
}

// received records the result of a read.
func (g *Guard) received(c *conn, n int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.table.Receive(time.Now(), c.id, n)
	} else if isTimeout(err) && g.table.Unfinished(c.id) {
		g.cfg.Closed(intake.Time)
	}
}

// SetReadDeadline implements net.Conn. An evicted connection keeps a deadline that has
// passed.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.evicted.Load() {
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.TCPConn.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Close implements net.Conn. After a refusal, the connection stays open for some time:
// closing it with unread bytes would reset it, and the client might lose the response.
func (c *conn) Close() error {
	if c.refused.CompareAndSwap(true, false) && c.CloseWrite() == nil {
		go func() {
			_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
			_ = c.Close()
		}()
		return nil
	}
	c.guard.mu.Lock()
	c.guard.table.Close(c.id)
	delete(c.guard.conns, c.id)
	c.guard.mu.Unlock()
	return c.TCPConn.Close()
}
