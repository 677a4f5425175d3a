package intake

import "time"

// connectionVictim returns the connection that gives way to a new one, or nil.
func (t *Table) connectionVictim(now time.Time) *connection {
	if c := t.oldest(lingering, nil); c != nil {
		return c
	}
	if c := t.oldest(evicted, nil); c != nil {
		return c
	}
	return t.memoryVictim(now, nil)
}

// memoryVictim returns the connection that gives way to the request of another, or nil.
// Those whose requests were refused come first, then the one whose client has made no
// progress for longest, then the one that has been idle for longest, and requests that
// arrive last.
func (t *Table) memoryVictim(now time.Time, except *connection) *connection {
	if c := t.oldest(lingering, except); c != nil {
		return c
	}
	c := t.oldest(unfinished, except)
	stalled := c
	if w := t.oldest(responding, except); w != nil && (c == nil || w.progressAt.Before(c.progressAt)) {
		stalled = w
	}
	if stalled != nil && stalled.stalled(now) {
		return stalled
	}
	if i := t.oldest(idle, except); i != nil {
		return i
	}
	return c
}

// evictable returns the memory of the connections that memoryVictim may return.
func (t *Table) evictable(now time.Time, except *connection) int64 {
	bytes := t.held[unfinished] + t.held[idle] + t.held[lingering]
	if except.state == unfinished || except.state == idle {
		bytes -= except.held
	}
	for e := t.byState[responding].Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection)
		if !c.stalled(now) {
			break
		}
		if c != except {
			bytes += c.held
		}
	}
	return bytes
}

// displace makes a connection give way to the memory of another. It is closed at once if its
// request was refused, or if its client takes no response.
func (t *Table) displace(c *connection) Eviction {
	if c.state == unfinished || c.state == idle {
		return t.evict(c, Memory)
	}
	t.remove(c)
	return Eviction{ID: c.id, Limit: Memory, Abort: true}
}
