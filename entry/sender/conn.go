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
	if err := c.admit(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) admit() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if !c.writing && !c.startBy.IsZero() && time.Now().After(c.startBy) {
		c.sealed, c.late = true, true
		return errLate
	}
	c.writing = true
	return nil
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
