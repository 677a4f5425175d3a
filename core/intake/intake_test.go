package intake

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// open opens a connection for which there must be room.
func open(t *testing.T, table *Table, now time.Time) uint64 {
	t.Helper()
	id, evictions, met := table.Open(now, 1)
	if met != None || len(evictions) > 0 {
		t.Fatalf("Open: evictions %v, limit %q", evictions, met)
	}
	return id
}

// hold sets the memory of a request, for which there must be enough.
func hold(t *testing.T, table *Table, now time.Time, id uint64, bytes int64) []Eviction {
	t.Helper()
	evictions, met := table.Hold(now, id, bytes)
	if met != None {
		t.Fatalf("Hold: limit %q", met)
	}
	return evictions
}

func wantEvictions(t *testing.T, got []Eviction, want ...Eviction) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("evictions %v, want %v", got, want)
	}
}

const mb = 1 << 20

// Guards against unfinished requests that take the memory of complete ones: a client
// that keeps sending displaces the one that has sent nothing for longest.
func TestStalledRequestGivesWay(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 10, Unfinished: 10})
	slow := open(t, table, at(0))
	stalled := open(t, table, at(time.Millisecond))
	hold(t, table, at(time.Second), slow, mb)
	hold(t, table, at(time.Second), stalled, mb)
	table.Receive(at(2*time.Second), slow, progressBytes)
	c := open(t, table, at(3*time.Second))
	wantEvictions(t, hold(t, table, at(3*time.Second), c, 5*mb/2), Eviction{ID: stalled, Limit: Memory})
	if table.Complete(at(3*time.Second), stalled) {
		t.Error("a request that has given way is served")
	}
	if _, met := table.Hold(at(3*time.Second), stalled, 1); met != Memory {
		t.Errorf("a request that has given way gets memory: %q", met)
	}
}

// Guards against a client that sends a byte from time to time and counts as making
// progress.
func TestTrickleIsNoProgress(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 10, Unfinished: 2})
	trickle := open(t, table, at(0))
	open(t, table, at(0))
	for i := range progressBytes - 1 {
		table.Receive(at(time.Duration(i)*time.Millisecond), trickle, 1)
	}
	_, evictions, met := table.Open(at(5*time.Second), 1)
	if met != None {
		t.Fatalf("limit %q", met)
	}
	wantEvictions(t, evictions, Eviction{ID: trickle, Limit: Unfinished})
}

// Guards against requests that are refused although others that would give way hold
// the memory, and against evictions for a request that is refused nevertheless.
func TestMemoryLimits(t *testing.T) {
	const memory = 8 * mb
	tests := []struct {
		name                          string
		unfinishedBytes, completeHeld int64
		complete                      bool // the state of the request
		bytes                         int64
		met                           Limit
		evicted                       bool
	}{
		{name: "unfinished, half of the memory", bytes: memory/2 - 2*ConnectionCost},
		{name: "unfinished, above half", bytes: memory / 2, met: Memory},
		{name: "unfinished, with another", unfinishedBytes: mb, bytes: memory/2 - mb, evicted: true},
		{name: "complete and large, three quarters", complete: true, bytes: memory*3/4 - 3*ConnectionCost},
		{name: "complete and large, above", complete: true, bytes: memory * 3 / 4, met: Memory},
		{name: "complete and large, displaces unfinished", complete: true, unfinishedBytes: 3 * mb, bytes: 4 * mb, evicted: true},
		{name: "small, where a large one is refused", complete: true, completeHeld: 6*mb - 2*ConnectionCost, bytes: SmallRequest},
		{name: "large, where a small one is accepted", complete: true, completeHeld: 6*mb - 2*ConnectionCost, bytes: SmallRequest + 1, met: Memory},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			table := New(Limits{Memory: memory, Connections: 10, Unfinished: 10})
			other, busy, id := open(t, table, at(0)), open(t, table, at(0)), open(t, table, at(0))
			hold(t, table, at(0), other, tc.unfinishedBytes)
			table.Complete(at(0), busy)
			hold(t, table, at(0), busy, tc.completeHeld)
			if tc.complete {
				table.Complete(at(0), id)
			}
			evictions, met := table.Hold(at(time.Second), id, tc.bytes)
			if met != tc.met {
				t.Errorf("limit %q, want %q", met, tc.met)
			}
			if (len(evictions) > 0) != tc.evicted {
				t.Errorf("evictions %v, want some: %v", evictions, tc.evicted)
			}
		})
	}
}

// Guards against connections that are refused although unfinished or idle ones would
// give way, and against the reset of connections on which a request is served.
func TestConnectionsGiveWay(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 4, Unfinished: 4})
	busy, idle, young, stalled := open(t, table, at(0)), open(t, table, at(0)), open(t, table, at(0)), open(t, table, at(0))
	table.Complete(at(0), busy)
	table.Complete(at(0), idle)
	table.Idle(at(0), idle)
	now := at(time.Second)
	table.Receive(now, young, progressBytes)
	for _, want := range []uint64{stalled, idle, young} {
		id, evictions, met := table.Open(now, 1)
		if met != None {
			t.Fatalf("limit %q", met)
		}
		wantEvictions(t, evictions, Eviction{ID: want, Limit: Connections, Abort: true})
		table.Complete(now, id)
	}
	if _, evictions, met := table.Open(now, 1); met != Connections || len(evictions) > 0 {
		t.Errorf("evictions %v, limit %q while all connections are served", evictions, met)
	}
	if table.Close(busy); table.Stats().Connections != 3 {
		t.Errorf("%d connections, want 3", table.Stats().Connections)
	}
}

// Guards against connections that were told to close and keep their descriptors while
// new ones displace others.
func TestEvictedConnectionGivesWayFirst(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 2, Unfinished: 1})
	first := open(t, table, at(0))
	second, evictions, _ := table.Open(at(time.Second), 1)
	wantEvictions(t, evictions, Eviction{ID: first, Limit: Unfinished})
	_, evictions, _ = table.Open(at(2*time.Second), 1)
	wantEvictions(t, evictions, Eviction{ID: first, Limit: Connections, Abort: true}, Eviction{ID: second, Limit: Unfinished})
}

// Guards against callers that take the connections of other instances.
func TestShareOfConnections(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 4, Unfinished: 4})
	for range 2 {
		table.Complete(at(0), open(t, table, at(0)))
	}
	if _, _, met := table.Open(at(0), 0.5); met != Connections {
		t.Errorf("limit %q above the share, want %q", met, Connections)
	}
	if _, _, met := table.Open(at(0), 1); met != None {
		t.Errorf("limit %q", met)
	}
}

// Guards against memory that is not returned when a request ends, gives way or shrinks.
func TestMemoryIsReturned(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 4, Unfinished: 4})
	id := open(t, table, at(0))
	hold(t, table, at(0), id, mb)
	hold(t, table, at(0), id, 1000)
	if got, want := table.Stats().Bytes, int64(ConnectionCost+1000); got != want {
		t.Errorf("%d bytes after the request has shrunk, want %d", got, want)
	}
	table.Complete(at(0), id)
	table.Idle(at(0), id)
	if got := table.Stats().Bytes; got != ConnectionCost {
		t.Errorf("%d bytes after the response, want %d", got, ConnectionCost)
	}
	table.Begin(at(0), id)
	hold(t, table, at(0), id, mb)
	if got := table.Stalled(at(time.Second), Stop); len(got) != 1 || table.Stats().Bytes != 0 {
		t.Errorf("evictions %v, %d bytes", got, table.Stats().Bytes)
	}
	if table.Close(id); table.Stats() != (Stats{}) {
		t.Errorf("%+v after the connection has closed", table.Stats())
	}
}

// Guards against a planned stop that waits for bodies without progress, or that breaks
// off those that arrive.
func TestStalledEvictsOnlyWithoutProgress(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 4, Unfinished: 4})
	stalled, sending, served := open(t, table, at(0)), open(t, table, at(0)), open(t, table, at(0))
	table.Complete(at(0), served)
	table.Receive(at(time.Second), sending, progressBytes)
	wantEvictions(t, table.Stalled(at(time.Second), Stop), Eviction{ID: stalled, Limit: Stop})
}

// Guards against responses that are not taken and keep the place of others, and against
// the end of one that its client takes.
func TestResponseThatIsNotTakenGivesWay(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 3, Unfinished: 3})
	var ids []uint64
	for range 3 {
		id := open(t, table, at(0))
		table.Complete(at(0), id)
		table.Respond(at(0), id)
		ids = append(ids, id)
	}
	table.Responded(at(0), ids[1])
	table.Respond(at(time.Second), ids[2])
	id, evictions, met := table.Open(at(time.Second), 1)
	wantEvictions(t, evictions, Eviction{ID: ids[0], Limit: Connections, Abort: true})
	if met != None {
		t.Errorf("limit %q", met)
	}
	table.Complete(at(time.Second), id)
	if _, evictions, met := table.Open(at(time.Second), 1); met != Connections || len(evictions) > 0 {
		t.Errorf("evictions %v, limit %q while one is served and the other takes its response", evictions, met)
	}
}

// Guards against memory that is given to others while requests that gave way for it still
// hold it: clients that return faster than they are refused would take it many times.
func TestEvictedRequestsHoldTheirMemory(t *testing.T) {
	const memory = 8 * mb
	table := New(Limits{Memory: memory, Connections: 100, Unfinished: 100})
	refused := 0
	for range 40 {
		id, _, met := table.Open(at(0), 1)
		if met == None {
			_, met = table.Hold(at(0), id, mb)
		}
		if met != None {
			refused++
		}
	}
	var held int64
	for _, bytes := range table.held {
		held += bytes
	}
	if held > memory || refused == 0 {
		t.Errorf("%d bytes are held of %d, %d requests were refused", held, memory, refused)
	}
}

// Guards against connections that wait for the client of a refusal and keep memory from
// others, or that count for none.
func TestLingeringConnectionGivesWayFirst(t *testing.T) {
	table := New(Limits{Memory: 8 * mb, Connections: 10, Unfinished: 10})
	idle, refused := open(t, table, at(0)), open(t, table, at(0))
	table.Complete(at(0), idle)
	table.Idle(at(0), idle)
	hold(t, table, at(0), refused, mb)
	table.Refuse(at(0), refused)
	if got := table.Stats().Bytes; got != 2*ConnectionCost {
		t.Errorf("%d bytes are held, want those of two connections", got)
	}
	id := open(t, table, at(0))
	table.Complete(at(0), id)
	wantEvictions(t, hold(t, table, at(0), id, 6*mb-2*ConnectionCost), Eviction{ID: refused, Limit: Memory, Abort: true})
}
