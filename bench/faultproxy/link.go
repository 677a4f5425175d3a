package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	chunkBytes = 32 << 10
	// queuedChunks bounds what a delayed or cut direction holds; beyond it
	// the sender's window closes, as on a real network.
	queuedChunks = 64
)

// link is one connection through the proxy.
type link struct {
	proxy          *Proxy
	client, server net.Conn
	// done is closed when the link ends.
	done chan struct{}
	once sync.Once
	// half is closed when the server's side alone is gone.
	half     chan struct{}
	halfOnce sync.Once
}

type chunk struct {
	data []byte
	read time.Time
}

func newLink(p *Proxy, client, server net.Conn) *link {
	return &link{proxy: p, client: client, server: server, done: make(chan struct{}), half: make(chan struct{})}
}

func (l *link) run() {
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(ToServer, l.client, l.server) })
	wg.Go(func() { l.pump(ToClient, l.server, l.client) })
	wg.Wait()
	l.close()
}

func (l *link) reset() { l.end(abort) }

func (l *link) close() { l.end(func(c net.Conn) { _ = c.Close() }) }

func (l *link) end(how func(net.Conn)) {
	l.once.Do(func() {
		close(l.done)
		how(l.client)
		how(l.server)
	})
}

func (l *link) halfOpen() {
	l.halfOnce.Do(func() {
		close(l.half)
		abort(l.server)
	})
}

func (l *link) isHalf() bool {
	select {
	case <-l.half:
		return true
	default:
		return false
	}
}

// pump passes one direction through a queue, so that a delay does not limit
// the throughput.
func (l *link) pump(d Direction, from, to net.Conn) {
	queue := make(chan chunk, queuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(queue)
		l.receive(from, queue)
	})
	l.deliver(d, to, queue)
	for range queue { // Lets the reader end.
	}
	wg.Wait()
}

func (l *link) receive(from net.Conn, queue chan<- chunk) {
	for {
		b := make([]byte, chunkBytes)
		n, err := from.Read(b)
		if n > 0 {
			select {
			case queue <- chunk{b[:n], time.Now()}:
			case <-l.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes the chunks of a direction until it ends, and then passes the
// end on.
func (l *link) deliver(d Direction, to net.Conn, queue <-chan chunk) {
	lost := false
	var passed int64
	for c := range queue {
		f, ok := l.await(d, c)
		if !ok {
			return
		}
		lost = lost || f.Drop
		if lost || l.isHalf() {
			continue
		}
		if f.TruncateAfter > 0 && passed+int64(len(c.data)) > f.TruncateAfter {
			_, _ = to.Write(c.data[:max(f.TruncateAfter-passed, 0)])
			l.close()
			return
		}
		passed += int64(len(c.data))
		if !l.write(to, c.data, f.Duplicate) {
			return
		}
	}
	if l.isHalf() && d == ToClient {
		<-l.done // The client's side stays open and silent.
		return
	}
	if !lost {
		closeWrite(to)
	}
}

func (l *link) write(to net.Conn, b []byte, twice bool) bool {
	_, err := to.Write(b)
	if err == nil && twice {
		_, err = to.Write(b)
	}
	if err != nil && !l.isHalf() {
		l.reset()
		return false
	}
	return true
}

// await waits out the delay and the cut of a chunk and returns the failures
// that then apply.
func (l *link) await(d Direction, c chunk) (Faults, bool) {
	for {
		f, changed := l.proxy.current(d)
		wait := time.Until(c.read.Add(f.Delay))
		if !f.Stall && wait <= 0 {
			return f, true
		}
		var timer <-chan time.Time
		if !f.Stall {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-changed:
		case <-l.done:
			return f, false
		}
	}
}

// closeWrite passes an end of stream on without closing the other direction.
func closeWrite(c net.Conn) {
	if t, ok := c.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
}
