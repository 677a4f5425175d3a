// Package intake keeps the servers of an instance within the limits of core/intake. It
// observes their connections, reads the bodies of requests, and closes the connections
// that give way to others.
package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/infra/disconnect"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// bodyTime is the time in which a client must send a body.
	bodyTime = 5 * time.Second
	// writeTime is the time in which a client must take a response that is ready.
	writeTime = 5 * time.Second
	// firstBody is the initial size of the buffer for a body of unknown length.
	firstBody = 4 << 10
	// retryAfter is when a request that was refused may be sent again, in seconds. An
	// unfinished request holds memory for bodyTime at most, and usually gives way at
	// once.
	retryAfter = 1
)

// Config holds the dependencies of a Guard.
type Config struct {
	Limits intake.Limits
	// Backlog bounds the connections that wait to be accepted at each listener. 0 means
	// the limit of the operating system.
	Backlog int
	Log     *zap.Logger
	// Refused counts a request that was refused, and Closed a connection that was
	// closed, because of a limit.
	Refused, Closed func(intake.Limit)
}

// Guard keeps the connections of all servers of a process within its limits. Its
// methods may be called from several goroutines.
type Guard struct {
	cfg Config

	mu    sync.Mutex // guards the fields below
	table *intake.Table
	conns map[uint64]*conn
}

// New returns a Guard.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, table: intake.New(cfg.Limits), conns: map[uint64]*conn{}}
}

// Stats returns what the connections hold.
func (g *Guard) Stats() intake.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Stats()
}

// Protect makes the connections of a server count and bounds the headers of requests. The
// server must be given a listener of the Guard. A request whose body is not read with
// ReadBody counts as unfinished until its connection is idle.
func (g *Guard) Protect(s *http.Server) {
	s.MaxHeaderBytes = maxHeaderBytes
	s.ConnContext = connContext
	s.ConnState = g.connState
	s.Handler = g.handler(s.Handler)
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(disconnect.ConnContext(ctx, c), connKey{}, c)
}

func (g *Guard) connState(c net.Conn, s http.ConnState) {
	gc, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.evict(g.table.Begin(time.Now(), gc.id))
	case http.StateIdle:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.table.Idle(time.Now(), gc.id)
	}
}

// handler bounds the time of the bodies and responses of the requests that next serves.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		if r.ContentLength == 0 {
			g.complete(c)
		} else {
			// The deadline also holds for the rest of a body that the handler has
			// left, which the server reads before it writes the response.
			_ = control.SetReadDeadline(time.Now().Add(bodyTime))
		}
		// The deadline of the previous response on the connection may have passed.
		_ = control.SetWriteDeadline(time.Time{})
		next.ServeHTTP(deadlineWriter{w, control}, r)
		_ = control.SetWriteDeadline(time.Now().Add(bodyTime + writeTime))
	})
}

// complete records that the request of a connection has arrived. It returns false if the
// request has to be refused.
func (g *Guard) complete(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Complete(time.Now(), c.id)
}

// hold sets the memory of the request of a connection.
func (g *Guard) hold(c *conn, bytes int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	evictions, met := g.table.Hold(time.Now(), c.id, bytes)
	g.evict(evictions)
	if met != intake.None {
		return g.refuse(c, met)
	}
	return nil
}

// refuse counts and logs the refusal of a request.
func (g *Guard) refuse(c *conn, limit intake.Limit) error {
	g.cfg.Refused(limit)
	g.cfg.Log.Info("A request was refused.", zap.String("limit", string(limit)), zap.String("client", c.RemoteAddr().String()))
	return &RefusedError{Limit: limit}
}

// refuseEvicted counts and logs the refusal of a request that gives way to others.
func (g *Guard) refuseEvicted(c *conn) error {
	g.mu.Lock()
	limit := c.evictedBy
	g.mu.Unlock()
	return g.refuse(c, limit)
}

// Stop evicts the requests that have not arrived and make no progress, until done is
// closed.
func (g *Guard) Stop(done <-chan struct{}) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		g.mu.Lock()
		g.evict(g.table.Stalled(time.Now(), intake.Stop))
		g.mu.Unlock()
		select {
		case <-tick.C:
		case <-done:
			return
		}
	}
}

// evict closes connections or ends the wait for their requests. The caller holds the
// lock.
func (g *Guard) evict(evictions []intake.Eviction) {
	for _, e := range evictions {
		c := g.conns[e.ID]
		if c == nil {
			continue
		}
		g.cfg.Closed(e.Limit)
		g.cfg.Log.Info("A connection gives way to others.", zap.String("limit", string(e.Limit)), zap.String("client", c.RemoteAddr().String()))
		if e.Abort {
			delete(g.conns, e.ID)
			// The connection is reset, so that it holds nothing after Close.
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
			continue
		}
		c.interrupt(e.Limit)
	}
}

// RefusedError says that a request is not served because of a limit.
type RefusedError struct {
	Limit intake.Limit
}

// Error implements error.
func (e *RefusedError) Error() string { return "the limit is met: " + string(e.Limit) }

// ReadBody reads the body of a request to its end. It returns a *http.MaxBytesError for
// a body above the given size, and a *RefusedError if there is no memory for it or
// other requests have displaced it. In both cases, and after any other error, the rest
// of the body is not read, so that the connection closes after the response.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := readBody(r, maxBytes)
	if err != nil {
		w.Header().Set("Connection", "close")
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.refused.Store(true)
		}
		// Without it, the server would wait for the rest.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		return nil, err
	}
	// While the request is served, the server reads from the connection to detect that
	// the client disconnects.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	hold := func(n int) error {
		if c == nil {
			return nil
		}
		return c.guard.hold(c, int64(n))
	}
	size := min(firstBody, int(maxBytes)+1)
	if r.ContentLength >= 0 {
		// The additional byte is where the end of the body is read.
		size = int(r.ContentLength) + 1
	}
	if err := hold(size); err != nil {
		return nil, err
	}
	var evicted evictedError
	body := make([]byte, 0, size)
	for {
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, &http.MaxBytesError{Limit: maxBytes}
		case errors.As(err, &evicted):
			return nil, c.guard.refuseEvicted(c)
		case errors.Is(err, io.EOF):
			if c != nil && !c.guard.complete(c) {
				return nil, c.guard.refuseEvicted(c)
			}
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) == cap(body) {
			// Both buffers exist until the copy is done.
			size = min(2*cap(body), int(maxBytes)+1)
			if err := hold(cap(body) + size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
	}
}

// Hold sets the memory, in bytes, that the request of a context takes until its response
// is written. It returns a *RefusedError if there is not enough.
func Hold(ctx context.Context, bytes int64) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.guard.hold(c, bytes)
}

// SetRefusal sets the headers of the response to a request that was refused with a
// *RefusedError.
func SetRefusal(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	w.Header().Set("Connection", "close")
}

// deadlineWriter bounds the time in which a client must take each part of a response.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Unwrap makes http.ResponseController find the writer of the server.
func (w deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w deadlineWriter) Write(b []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTime))
	return w.ResponseWriter.Write(b)
}

// isTimeout reports whether a read has ended at its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
