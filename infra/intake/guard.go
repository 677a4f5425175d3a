// Package intake keeps the servers of an instance within the limits of core/intake. It
// observes their connections, reads the bodies of requests, and closes the connections
// that give way to others.
package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/core/readmission"
	"marigoldfront.dev/infra/disconnect"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// HeaderTime is the time in which a client must send the header of a request, unless
	// it gives way to others before. A caller on a slow link may wait for so long.
	HeaderTime = time.Minute
	// turnoverTime is the time in which all memory for requests is assumed to become
	// free at the latest, to tell when refused clients should return.
	turnoverTime = 10 * time.Second
)

// Config holds the dependencies of a Guard.
type Config struct {
	Limits intake.Limits
	// Backlog bounds the connections that wait to be accepted at each listener. 0 means
	// the limit of the operating system.
	Backlog int
	// BodyTime is the time in which a client must send a body, unless the caller of
	// ReadBody sets another, and WriteTime that in which it must take each part of a
	// response. Clients that make no progress give way to others before.
	BodyTime, WriteTime time.Duration
	Log                 *zap.Logger
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
	// small and large tell when refused clients should return, by the size of their
	// requests: a part of the memory is kept for small ones.
	small, large *readmission.Schedule
}

// New returns a Guard.
func New(cfg Config) *Guard {
	minRate := float64(cfg.Limits.Memory) / turnoverTime.Seconds()
	return &Guard{
		cfg: cfg, table: intake.New(cfg.Limits), conns: map[uint64]*conn{},
		small: readmission.New(minRate), large: readmission.New(minRate),
	}
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
	gc.idle.Store(s == http.StateIdle)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch s {
	case http.StateActive:
		g.evict(g.table.Begin(time.Now(), gc.id))
	case http.StateIdle:
		g.table.Idle(time.Now(), gc.id)
		g.free(gc)
	case http.StateClosed:
		g.free(gc)
	}
}

// free records that the memory of a request that was not refused is free. The caller holds
// the lock.
func (g *Guard) free(c *conn) {
	g.schedule(c).Free(time.Now(), c.requested)
	c.requested = 0
}

// schedule returns when clients return with requests of the size of that of a connection.
func (g *Guard) schedule(c *conn) *readmission.Schedule {
	if c.requested <= intake.SmallRequest {
		return g.small
	}
	return g.large
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
			_ = control.SetReadDeadline(time.Now().Add(g.cfg.BodyTime))
		}
		// The deadline of the previous response on the connection may have passed.
		_ = control.SetWriteDeadline(time.Time{})
		next.ServeHTTP(deadlineWriter{w, control, g.cfg.WriteTime}, r)
		_ = control.SetWriteDeadline(time.Now().Add(g.cfg.BodyTime + g.cfg.WriteTime))
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
	c.requested = max(c.requested, bytes)
	evictions, met := g.table.Hold(time.Now(), c.id, bytes)
	g.evict(evictions)
	if met != intake.None {
		return g.refuse(c, met)
	}
	return nil
}

// growReceiveBuffer enlarges the receive buffer of a connection for a large body.
func (g *Guard) growReceiveBuffer(c *conn) error {
	if c.grown {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	evictions, met := g.table.Grow(time.Now(), c.id, largeBufferCost)
	g.evict(evictions)
	if met != intake.None {
		return g.refuse(c, met)
	}
	c.grown = true
	// With the usual buffer, the body takes more round trips.
	_ = c.SetReadBuffer(largeReceiveBuffer)
	return nil
}

// refuse counts and logs the refusal of a request. The server keeps the connection open for
// some time after it, in which it must not hold the memory of the request. The caller holds
// the lock.
func (g *Guard) refuse(c *conn, limit intake.Limit) error {
	g.table.Refuse(time.Now(), c.id)
	g.cfg.Refused(limit)
	delay := g.schedule(c).Delay(time.Now(), c.requested+intake.ConnectionCost)
	c.requested = 0
	g.cfg.Log.Info("A request was refused.", zap.String("limit", string(limit)), zap.String("client", c.RemoteAddr().String()),
		zap.Duration("retry_after", delay))
	return &RefusedError{Limit: limit, RetryAfter: delay}
}

// refuseLate refuses a request that has not arrived in time.
func (g *Guard) refuseLate(c *conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuse(c, intake.Time)
}

// refuseEvicted refuses a request that gives way to others.
func (g *Guard) refuseEvicted(c *conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuse(c, c.evictedBy)
}

// EvictStalled evicts the requests that have not arrived and make no progress, until done
// is closed.
func (g *Guard) EvictStalled(done <-chan struct{}, reason intake.Limit) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		g.mu.Lock()
		g.evict(g.table.Stalled(time.Now(), reason))
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
			if !c.idle.Load() {
				// The connection is reset, so that it holds nothing after Close. The
				// client of an idle one may not have taken its last response yet.
				_ = c.SetLinger(0)
			}
			_ = c.TCPConn.Close()
			continue
		}
		c.interrupt(e.Limit)
	}
}

// RefusedError says that a request is not served because of a limit.
type RefusedError struct {
	Limit intake.Limit
	// RetryAfter is when the request may be sent again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "the limit is met: " + string(e.Limit) }

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
func SetRefusal(w http.ResponseWriter, e *RefusedError) {
	seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
	w.Header().Set("Connection", "close")
}

// deadlineWriter bounds the time in which a client must take each part of a response.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	time    time.Duration
}

// Unwrap makes http.ResponseController find the writer of the server.
func (w deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w deadlineWriter) Write(b []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.time))
	return w.ResponseWriter.Write(b)
}

// isTimeout reports whether a read has ended at its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
