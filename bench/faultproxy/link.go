package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	chunkBytes = 32 << 10
	// queuedChunks bounds the data that a delayed or stalled direction buffers.
	// Beyond it the sender's TCP window closes, as on a real network.
	queuedChunks = 64
)

// link is one proxied connection: the connection of the client and the one to
// the server.
type link struct {
	proxy          *Proxy
	client, server net.Conn
	// done is closed when the link is terminated.
	done          chan struct{}
	terminateOnce sync.Once
	// serverClosed is closed when halfOpen resets the server's connection.
	serverClosed    chan struct{}
	serverCloseOnce sync.Once
}

// chunk is data as one read returned it, with the time of that read.
type chunk struct {
	data   []byte
	readAt time.Time
}

func newLink(p *Proxy, client, server net.Conn) *link {
	return &link{proxy: p, client: client, server: server, done: make(chan struct{}), serverClosed: make(chan struct{})}
}

func (l *link) run() {
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(ToServer, l.client, l.server) })
	wg.Go(func() { l.forward(ToClient, l.server, l.client) })
	wg.Wait()
	l.close()
}

func (l *link) reset() { l.terminate(resetConn) }

func (l *link) close() { l.terminate(func(c net.Conn) { _ = c.Close() }) }

func (l *link) terminate(closeConn func(net.Conn)) {
	l.terminateOnce.Do(func() {
		close(l.done)
		closeConn(l.client)
		closeConn(l.server)
	})
}

func (l *link) halfOpen() {
	l.serverCloseOnce.Do(func() {
		close(l.serverClosed)
		resetConn(l.server)
	})
}

func (l *link) isHalfOpen() bool {
	select {
	case <-l.serverClosed:
		return true
	default:
		return false
	}
}

// forward copies one direction through a queue, so that a delay does not limit
// the throughput.
func (l *link) forward(d Direction, from, to net.Conn) {
	queue := make(chan chunk, queuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(queue)
		l.readChunks(from, queue)
	})
	l.writeChunks(d, to, queue)
	for range queue { // Unblocks readChunks, so that it can return.
	}
	wg.Wait()
}

func (l *link) readChunks(from net.Conn, queue chan<- chunk) {
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

// writeChunks writes the chunks of one direction until the queue is closed, and
// then forwards the end of the stream unless bytes were dropped.
func (l *link) writeChunks(d Direction, to net.Conn, queue <-chan chunk) {
	dropped := false
	var forwarded int64
	for c := range queue {
		f, ok := l.awaitDelivery(d, c)
		if !ok {
			return
		}
		dropped = dropped || f.Drop
		if dropped || l.isHalfOpen() {
			continue
		}
		if f.TruncateAfter > 0 && forwarded+int64(len(c.data)) > f.TruncateAfter {
			_, _ = to.Write(c.data[:max(f.TruncateAfter-forwarded, 0)])
			l.close()
			return
		}
		forwarded += int64(len(c.data))
		if !l.write(to, c.data, f.Duplicate) {
			return
		}
	}
	if l.isHalfOpen() && d == ToClient {
		<-l.done // The client's connection stays open and receives nothing.
		return
	}
	if !dropped {
		closeWrite(to)
	}
}

func (l *link) write(to net.Conn, b []byte, duplicate bool) bool {
	_, err := to.Write(b)
	if err == nil && duplicate {
		_, err = to.Write(b)
	}
	if err != nil && !l.isHalfOpen() {
		l.reset()
		return false
	}
	return true
}

// awaitDelivery waits until the delay of the chunk has passed and its direction
// is not stalled. It returns the faults that then apply, and false if the link
// is closed first.
func (l *link) awaitDelivery(d Direction, c chunk) (Faults, bool) {
	for {
		f, changed := l.proxy.currentFaults(d)
		wait := time.Until(c.readAt.Add(f.Delay))
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

// closeWrite forwards the end of a stream without closing the other direction.
func closeWrite(c net.Conn) {
	if t, ok := c.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
}
