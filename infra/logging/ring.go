package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// ringLines bounds the lines that wait to be written.
	ringLines = 2048
	// batchBytes bounds what is written at once.
	batchBytes = 32 << 10
	// syncTimeout bounds how long Sync waits for a writer that does not take
	// its lines.
	syncTimeout = time.Second
)

// ring is a zapcore.WriteSyncer between the loggers and a writer that may be
// slow. Its goroutine lives as long as the process.
type ring struct {
	w       io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

func newRing(w io.Writer) *ring {
	r := &ring{w: w, lines: make(chan []byte, ringLines), flush: make(chan chan struct{})}
	go r.run()
	return r
}

// Write implements io.Writer. It copies the line, because zap reuses it.
func (r *ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the lines written so far have reached the writer.
func (r *ring) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case r.flush <- done:
	case <-timeout:
		return fmt.Errorf("logging: the writer took no line for %v", syncTimeout)
	}
	select {
	case <-done:
		return nil
	case <-timeout:
		return fmt.Errorf("logging: the writer took no line for %v", syncTimeout)
	}
}

func (r *ring) run() {
	var batch []byte
	for {
		select {
		case line := <-r.lines:
			batch = r.gather(append(batch[:0], line...))
		case done := <-r.flush:
			batch = r.gather(batch[:0])
			r.write(batch)
			close(done)
			continue
		}
		r.write(batch)
	}
}

// gather appends the lines that are already there.
func (r *ring) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// write writes a batch. An error cannot be reported anywhere else.
func (r *ring) write(batch []byte) {
	if n := r.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "%s warn logging: The writer was too slow. {\"lines_lost\": %d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	if len(batch) > 0 {
		_, _ = r.w.Write(batch)
	}
}
