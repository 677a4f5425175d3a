package sender

import (
	"errors"
	"net"
	"sync"
	"time"
)

var (
	errStartTimePassed = errors.New("the latest start time has passed")
	errWritesDisabled  = errors.New("the attempt has already ended")
)

// conn is a connection to a target. It records whether any byte of the current
// start was passed to the operating system, and checks the latest start time
// immediately before the first write.
type conn struct {
	net.Conn
	mu      sync.Mutex
	startBy time.Time
	// maybeWritten is true during a write and after any byte was written.
	maybeWritten    bool
	writesDisabled  bool
	startTimePassed bool
}

// beginStart prepares the connection for the next start. A zero startBy means
// that there is no latest start time.
func (c *conn) beginStart(startBy time.Time) {
	c.mu.Lock()
	c.startBy, c.maybeWritten, c.startTimePassed = startBy, false, false
	c.mu.Unlock()
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	first, err := c.allowWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.mu.Lock()
		c.maybeWritten, c.writesDisabled = false, true
		c.mu.Unlock()
	}
	return n, err
}

// allowWrite returns an error if writes are disabled or the latest start time
// has passed. first reports whether this is the first write of the start.
func (c *conn) allowWrite() (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesDisabled {
		return false, errWritesDisabled
	}
	if !c.maybeWritten && !c.startBy.IsZero() && time.Now().After(c.startBy) {
		c.writesDisabled, c.startTimePassed = true, true
		return false, errStartTimePassed
	}
	first = !c.maybeWritten
	c.maybeWritten = true
	return first, nil
}

// disableWrites rejects all further writes. It reports whether a byte of the
// current start may have been written, and whether the start was dropped
// because its latest start time had passed. The HTTP transport writes in a
// separate goroutine, which may still write after the request has failed;
// disabling writes prevents that race.
func (c *conn) disableWrites() (written, startTimePassed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.maybeWritten, c.startTimePassed
}
