// Package intake decides which connections and requests an instance keeps when
// clients send more than its memory and descriptors can hold. Requests that have not
// arrived completely give way to others.
package intake

import (
	"container/list"
	"time"
)

const (
	// ConnectionCost is the memory, in bytes, that a connection takes for its buffers,
	// its stacks and the header of a request.
	ConnectionCost = 32 << 10
	// SmallRequest is the memory, in bytes, up to which a request may use what is kept
	// from larger ones.
	SmallRequest = 256 << 10
	// progressBytes is the number of bytes that a client must send to count as making
	// progress, and stallTime the time without progress after which its request or
	// response gives way to connections without a request.
	progressBytes = 4 << 10
	stallTime     = 250 * time.Millisecond
)

// Limits bounds what the connections of an instance hold.
type Limits struct {
	// Memory bounds the bytes of all connections and requests.
	Memory int64
	// Connections bounds the connections, and Unfinished those among them on which a
	// request has not arrived completely.
	Connections, Unfinished int
}

// unfinishedMemory bounds the bytes of requests that have not arrived completely.
func (l Limits) unfinishedMemory() int64 { return l.Memory / 2 }

// evictedMemory bounds the bytes of requests that were told to give way and still hold
// them. The requests in whose place they went have got them too.
func (l Limits) evictedMemory() int64 { return l.Memory / 4 }

// largeMemory bounds the bytes of all connections when a request above SmallRequest
// takes more.
func (l Limits) largeMemory() int64 { return l.Memory / 4 * 3 }

// Limit names the limit that a connection or request has met.
type Limit string

// The limits.
const (
	None        Limit = ""
	Memory      Limit = "memory"
	Connections Limit = "connections"
	Unfinished  Limit = "unfinished"
	// Time is that of a request that does not arrive in time, and Stop that of one
	// that has not arrived when the instance shuts down.
	Time Limit = "time"
	Stop Limit = "stop"
)

// Eviction says that a connection must give way. It is closed at once if Abort is set.
// Otherwise its request is refused first.
type Eviction struct {
	ID    uint64
	Limit Limit
	Abort bool
}

// state is the state of a connection.
type state int

const (
	// unfinished: a request is awaited or has not arrived completely.
	unfinished state = iota
	// complete: a request has arrived and has no response yet.
	complete
	// responding: a part of a response is being sent.
	responding
	// idle: the connection is kept for further requests.
	idle
	// evicted: the connection has been told to close, and still holds its memory.
	evicted
	// lingering: the connection waits for its client to take a refusal.
	lingering
	stateCount
)

// connection is an open connection.
type connection struct {
	id      uint64
	state   state
	element *list.Element // in Table.byState[state]
	// progressAt is when the state began, when the last progressBytes had arrived in
	// state unfinished, or when the client last took a part in state responding.
	// received counts the bytes since then.
	progressAt time.Time
	received   int64
	// base is the memory of the connection without a request, and held that of both.
	base, held int64
}

// Table holds the open connections of an instance.
type Table struct {
	limits      Limits
	connections map[uint64]*connection
	lastID      uint64
	// byState holds the connections in each state, ordered by progressAt, and held
	// their memory.
	byState [stateCount]*list.List
	held    [stateCount]int64
}

// New returns an empty table.
func New(limits Limits) *Table {
	t := &Table{limits: limits, connections: map[uint64]*connection{}}
	for i := range t.byState {
		t.byState[i] = list.New()
	}
	return t
}

// Stats is what the connections of a Table hold.
type Stats struct {
	Bytes                   int64
	Connections, Unfinished int
}

// Stats returns what the connections hold.
func (t *Table) Stats() Stats {
	return Stats{Bytes: t.total(), Connections: len(t.connections), Unfinished: t.byState[unfinished].Len()}
}

// total returns the bytes of all connections that have not been told to close.
func (t *Table) total() (bytes int64) {
	for s, held := range t.held {
		if state(s) != evicted {
			bytes += held
		}
	}
	return bytes
}

// Open adds a connection, which awaits a request. The listener that has accepted it may
// use the given share of the connections. If the connection must be closed at once,
// Open returns the limit that it has met.
func (t *Table) Open(now time.Time, share float64) (id uint64, evictions []Eviction, met Limit) {
	for len(t.connections) >= int(share*float64(t.limits.Connections)) {
		v := t.connectionVictim(now)
		if v == nil {
			return 0, evictions, Connections
		}
		t.remove(v)
		evictions = append(evictions, Eviction{ID: v.id, Limit: Connections, Abort: true})
	}
	t.lastID++
	c := &connection{id: t.lastID, progressAt: now, base: ConnectionCost}
	t.connections[c.id] = c
	c.element = t.byState[unfinished].PushBack(c)
	evictions = append(evictions, t.boundUnfinished(c)...)
	more, met := t.hold(now, c, ConnectionCost)
	evictions = append(evictions, more...)
	if met != None {
		t.remove(c)
	}
	return c.id, evictions, met
}

// Begin records that a connection has received the begin of another request.
func (t *Table) Begin(now time.Time, id uint64) []Eviction {
	c := t.connections[id]
	if c == nil || c.state != idle {
		return nil
	}
	t.move(c, unfinished, now)
	return t.boundUnfinished(c)
}

// Receive records that n bytes have arrived on a connection.
func (t *Table) Receive(now time.Time, id uint64, n int) {
	c := t.connections[id]
	if c == nil || c.state != unfinished {
		return
	}
	if c.received += int64(n); c.received >= progressBytes {
		t.move(c, unfinished, now)
	}
}

// Complete records that the request of a connection has arrived completely. It returns
// false if the request has to be refused, because it gives way to others.
func (t *Table) Complete(now time.Time, id uint64) bool {
	c := t.connections[id]
	if c == nil || c.closing() {
		return false
	}
	t.move(c, complete, now)
	return true
}

// Respond records that a part of the response to a complete request is about to be sent.
// Until Responded, the connection gives way if its client takes nothing for stallTime.
func (t *Table) Respond(now time.Time, id uint64) {
	if c := t.connections[id]; c != nil && (c.state == complete || c.state == responding) {
		t.move(c, responding, now)
	}
}

// Responded records that a part of a response has been sent.
func (t *Table) Responded(now time.Time, id uint64) {
	if c := t.connections[id]; c != nil && c.state == responding {
		t.move(c, complete, now)
	}
}

// Idle records that the request of a connection has ended and that the connection is
// kept. Only the memory of the connection itself remains.
func (t *Table) Idle(now time.Time, id uint64) {
	c := t.connections[id]
	if c == nil || c.closing() {
		return
	}
	t.add(c, c.base-c.held)
	t.move(c, idle, now)
}

// Refuse records that the request of a connection was refused and holds no memory any
// more. The connection stays open for its client to take the refusal, and gives way to
// all others.
func (t *Table) Refuse(now time.Time, id uint64) {
	c := t.connections[id]
	if c == nil {
		return
	}
	t.add(c, c.base-c.held)
	t.move(c, lingering, now)
}

// Close removes a connection.
func (t *Table) Close(id uint64) {
	if c := t.connections[id]; c != nil {
		t.remove(c)
	}
}

// Unfinished reports whether a connection awaits a request or a part of it.
func (t *Table) Unfinished(id uint64) bool {
	c := t.connections[id]
	return c != nil && c.state == unfinished
}

// Hold sets the memory, in bytes, that the request of a connection takes. If there is
// not enough, the request has to be refused, and Hold returns the limit.
func (t *Table) Hold(now time.Time, id uint64, bytes int64) ([]Eviction, Limit) {
	c := t.connections[id]
	if c == nil || c.closing() {
		return nil, Memory
	}
	return t.hold(now, c, c.base+bytes)
}

// Grow adds bytes to the memory that a connection takes even without a request. If there
// is not enough, it returns the limit, and nothing changes.
func (t *Table) Grow(now time.Time, id uint64, bytes int64) ([]Eviction, Limit) {
	c := t.connections[id]
	if c == nil || c.closing() {
		return nil, Memory
	}
	evictions, met := t.hold(now, c, c.held+bytes)
	if met == None {
		c.base += bytes
	}
	return evictions, met
}

func (t *Table) hold(now time.Time, c *connection, held int64) (evictions []Eviction, met Limit) {
	more := held - c.held
	if more <= 0 {
		t.add(c, more)
		return nil, None
	}
	limit := t.limits.Memory
	if held > ConnectionCost+SmallRequest {
		limit = t.limits.largeMemory()
	}
	if t.total()-t.evictable(now, c)+more > limit || c.state == unfinished && held > t.limits.unfinishedMemory() {
		return nil, Memory
	}
	for c.state == unfinished && t.held[unfinished]+more > t.limits.unfinishedMemory() {
		if t.held[evicted] >= t.limits.evictedMemory() {
			return evictions, Memory
		}
		evictions = append(evictions, t.evict(t.oldest(unfinished, c), Memory))
	}
	for t.total()+more > limit {
		if t.held[evicted] >= t.limits.evictedMemory() {
			return evictions, Memory
		}
		evictions = append(evictions, t.displace(t.memoryVictim(now, c)))
	}
	t.add(c, more)
	return evictions, None
}

// Stalled evicts the requests that have made no progress for stallTime.
func (t *Table) Stalled(now time.Time, reason Limit) (evictions []Eviction) {
	for c := t.oldest(unfinished, nil); c != nil && c.stalled(now); c = t.oldest(unfinished, nil) {
		evictions = append(evictions, t.evict(c, reason))
	}
	return evictions
}

// boundUnfinished evicts a request if there are too many that have not arrived.
func (t *Table) boundUnfinished(except *connection) (evictions []Eviction) {
	for t.byState[unfinished].Len() > t.limits.Unfinished {
		c := t.oldest(unfinished, except)
		if c == nil {
			break
		}
		evictions = append(evictions, t.evict(c, Unfinished))
	}
	return evictions
}

// oldest returns the connection in a state that has made no progress for longest, other
// than except, or nil.
func (t *Table) oldest(s state, except *connection) *connection {
	e := t.byState[s].Front()
	if e != nil && e.Value == except {
		e = e.Next()
	}
	if e == nil {
		return nil
	}
	return e.Value.(*connection)
}

// closing reports whether the connection has been told to close.
func (c *connection) closing() bool { return c.state == evicted || c.state == lingering }

// stalled reports whether the client has made no progress for stallTime.
func (c *connection) stalled(now time.Time) bool { return now.Sub(c.progressAt) >= stallTime }

// evict marks a connection as evicted. It stays in the table until it is closed.
func (t *Table) evict(c *connection, reason Limit) Eviction {
	t.move(c, evicted, c.progressAt)
	return Eviction{ID: c.id, Limit: reason}
}

// move changes the state of a connection and records its progress.
func (t *Table) move(c *connection, s state, now time.Time) {
	t.byState[c.state].Remove(c.element)
	t.held[c.state] -= c.held
	c.state, c.progressAt, c.received = s, now, 0
	t.held[s] += c.held
	c.element = t.byState[s].PushBack(c)
}

// add changes the memory of a connection.
func (t *Table) add(c *connection, bytes int64) {
	c.held += bytes
	t.held[c.state] += bytes
}

func (t *Table) remove(c *connection) {
	t.byState[c.state].Remove(c.element)
	t.held[c.state] -= c.held
	delete(t.connections, c.id)
}
