// Package faultproxy is a TCP proxy for tests that fails on demand. It runs
// inside the test program; the system itself never uses it.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a connection.
type Direction int

// The directions.
const (
	ToServer Direction = iota
	ToClient
	directions
)

// Faults are the failures of one direction. The zero value passes all bytes.
type Faults struct {
	// Delay is added to every chunk; chunks stay in order.
	Delay time.Duration
	// Stall holds all bytes back until it is lifted, like a partition that TCP
	// survives. Set on one direction, it is a one-way cut.
	Stall bool
	// Drop discards bytes. A connection that lost bytes passes none in this
	// direction any more, also after Drop is lifted, because a TCP stream
	// never continues after a gap.
	Drop bool
	// Duplicate writes every chunk twice.
	Duplicate bool
	// TruncateAfter, if above 0, closes a connection after that many further
	// bytes of it in this direction.
	TruncateAfter int64
}

// dialTimeout bounds the connection to the server behind the proxy.
const dialTimeout = 2 * time.Second

// Proxy passes TCP connections to one server. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	server   string
	wg       sync.WaitGroup

	mu     sync.Mutex
	faults [directions]Faults
	// changed is closed and replaced whenever faults change.
	changed chan struct{}
	refuse  bool
	closed  bool
	links   map[*link]bool
}

// New starts a proxy on listen (IP:port, port 0 picks one) in front of server.
func New(listen, server string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	p := &Proxy{listener: l, server: server, changed: make(chan struct{}), links: map[*link]bool{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr returns the address to connect to.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetFaults replaces the failures of one direction, for open and new connections.
func (p *Proxy) SetFaults(d Direction, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d] = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetServer replaces the server that new connections go to.
func (p *Proxy) SetServer(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
}

// RefuseConnections resets new connections until it is called with false.
func (p *Proxy) RefuseConnections(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// ClearFaults removes all failures. Connections that lost bytes stay lost.
func (p *Proxy) ClearFaults() {
	p.RefuseConnections(false)
	for d := range directions {
		p.SetFaults(d, Faults{})
	}
}

// ResetAll ends all open connections with a TCP reset on both sides.
func (p *Proxy) ResetAll() {
	for _, l := range p.open() {
		l.reset()
	}
}

// CloseAll ends all open connections in order, as a server does that stops.
func (p *Proxy) CloseAll() {
	for _, l := range p.open() {
		l.close()
	}
}

// HalfOpenAll ends the server's side of all open connections with a reset. The
// client's side stays open and silent.
func (p *Proxy) HalfOpenAll() {
	for _, l := range p.open() {
		l.halfOpen()
	}
}

// OpenConnections returns the number of open connections.
func (p *Proxy) OpenConnections() int { return len(p.open()) }

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.ResetAll()
	p.wg.Wait()
}

func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse || p.closed
		server := p.server
		p.mu.Unlock()
		if refuse {
			abort(c)
			continue
		}
		p.wg.Go(func() { p.connect(c, server) })
	}
}

func (p *Proxy) connect(client net.Conn, server string) {
	s, err := net.DialTimeout("tcp", server, dialTimeout)
	if err != nil {
		abort(client)
		return
	}
	l := newLink(p, client, s)
	p.mu.Lock()
	closed := p.closed
	p.links[l] = true
	p.mu.Unlock()
	if closed {
		l.reset()
	}
	l.run()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// current returns the failures of a direction and a channel that is closed
// when they change.
func (p *Proxy) current(d Direction) (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[d], p.changed
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
