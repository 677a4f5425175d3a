// Package faultproxy provides a TCP proxy that injects faults into the
// connections that pass through it. It runs inside tests and benchmarks and is
// not part of the production programs.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a connection.
type Direction int

// The directions of a connection through the proxy.
const (
	ToServer Direction = iota
	ToClient
	numDirections
)

// Faults are the faults injected into one direction of the connections. The
// zero value forwards all bytes unchanged.
type Faults struct {
	// Delay postpones every chunk; the order of the chunks is kept.
	Delay time.Duration
	// Stall holds all bytes back until it is cleared, like a network partition
	// that the TCP connection survives. Set in one direction only, it simulates
	// a one-way partition.
	Stall bool
	// Drop discards all bytes. A connection that lost bytes forwards nothing
	// more in this direction, even after Drop is cleared, because a TCP stream
	// never continues after a gap.
	Drop bool
	// Duplicate writes every chunk twice.
	Duplicate bool
	// TruncateAfter, if above 0, closes a connection once it has forwarded that
	// many bytes in this direction since it was opened.
	TruncateAfter int64
}

// dialTimeout limits the time to connect to the server behind the proxy.
const dialTimeout = 2 * time.Second

// Proxy forwards TCP connections to one server. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	server   string
	wg       sync.WaitGroup

	mu     sync.Mutex
	faults [numDirections]Faults
	// changed is closed and replaced whenever faults changes.
	changed   chan struct{}
	refuseNew bool
	closed    bool
	links     map[*link]bool
}

// New starts a proxy that listens on listen and forwards to server, both as
// IP:port. Port 0 of listen selects a free port.
func New(listen, server string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	p := &Proxy{listener: l, server: server, changed: make(chan struct{}), links: map[*link]bool{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr returns the address of the proxy as IP:port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetFaults replaces the faults of one direction, for open and new connections.
func (p *Proxy) SetFaults(d Direction, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d] = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetServer replaces the server to which new connections are forwarded. Open
// connections keep theirs.
func (p *Proxy) SetServer(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
}

// RefuseConnections sets whether new connections are reset.
func (p *Proxy) RefuseConnections(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseNew = refuse
}

// ClearFaults removes all faults and accepts new connections again. Connections
// that lost bytes do not recover.
func (p *Proxy) ClearFaults() {
	p.RefuseConnections(false)
	for d := range numDirections {
		p.SetFaults(d, Faults{})
	}
}

// ResetAll closes all open connections with a TCP reset on both sides.
func (p *Proxy) ResetAll() {
	for _, l := range p.openLinks() {
		l.reset()
	}
}

// CloseAll closes all open connections in the regular way, as a server does at
// its shutdown.
func (p *Proxy) CloseAll() {
	for _, l := range p.openLinks() {
		l.close()
	}
}

// HalfOpenAll resets the server's side of all open connections. The client's
// side stays open, but receives nothing more.
func (p *Proxy) HalfOpenAll() {
	for _, l := range p.openLinks() {
		l.halfOpen()
	}
}

// OpenConnections returns the number of open connections.
func (p *Proxy) OpenConnections() int { return len(p.openLinks()) }

// Close stops the proxy, resets its connections and waits until its goroutines
// return.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.ResetAll()
	p.wg.Wait()
}

func (p *Proxy) openLinks() []*link {
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
		refuse := p.refuseNew || p.closed
		server := p.server
		p.mu.Unlock()
		if refuse {
			resetConn(c)
			continue
		}
		p.wg.Go(func() { p.connect(c, server) })
	}
}

func (p *Proxy) connect(client net.Conn, server string) {
	s, err := net.DialTimeout("tcp", server, dialTimeout)
	if err != nil {
		resetConn(client)
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

// currentFaults returns the faults of a direction and a channel that is closed
// when the faults of any direction change.
func (p *Proxy) currentFaults(d Direction) (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[d], p.changed
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
