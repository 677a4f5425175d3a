package sender

import (
	"errors"
	"net"
	"sync"
	"time"
)

var (
	errLate   = errors.New("the latest start time has passed")
	errSealed = errors.New("the attempt has already ended")
)

// conn is a connection to a target that knows whether any byte of the current
// start was handed to the operating system. It checks the latest start time
// directly before the first write.
type conn struct {
	net.Conn
	mu      sync.Mutex
	startBy time.Time
	// writing is set while a write is under way and after any byte was taken.
	writing bool
	sealed  bool
	late    bool
}

// arm prepares the connection for the next start. A zero startBy means that
// there is no latest time.
func (c *conn) arm(startBy time.Time) {
	c.mu.Lock()
	c.startBy, c.writing, c.late = startBy, false, false
	c.mu.Unlock()
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	first, err := c.admit()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.mu.Lock()
		c.writing, c.sealed = false, true
		c.mu.Unlock()
	}
	return n, err
}

// admit allows a write and says whether it is the first one of the start.
func (c *conn) admit() (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false, errSealed
	}
	if !c.writing && !c.startBy.IsZero() && time.Now().After(c.startBy) {
		c.sealed, c.late = true, true
		return false, errLate
	}
	first = !c.writing
	c.writing = true
	return first, nil
}

// seal ends all writing for good and reports whether a byte of the current
// start may have been written, and whether the start was dropped as late. The
// HTTP transport writes in a goroutine of its own that may still be about to
// write when the request has already failed; sealing decides that race.
func (c *conn) seal() (written, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing, c.late
}
