package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// ringBytes bounds the lines that wait to be written.
	ringBytes = 512 << 10
	// syncTimeout bounds how long Sync waits for a writer that does not take
	// its lines.
	syncTimeout = time.Second
)

// ring is a zapcore.WriteSyncer between the loggers and a writer that may be
// slow. A goroutine writes as long as lines wait.
type ring struct {
	w io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	lost    int
	// idle is closed when all lines are written; nil means that none wait.
	idle chan struct{}
}

func newRing(w io.Writer) *ring { return &ring{w: w} }

// Write implements io.Writer. It copies the line, because zap reuses it.
func (r *ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting)+len(line) > ringBytes {
		r.lost++
		return len(line), nil
	}
	r.waiting = append(r.waiting, line...)
	if r.idle == nil {
		r.idle = make(chan struct{})
		go r.run()
	}
	return len(line), nil
}

// Sync waits until the lines written so far have reached the writer.
func (r *ring) Sync() error {
	r.mu.Lock()
	idle := r.idle
	r.mu.Unlock()
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-time.After(syncTimeout):
		return fmt.Errorf("logging: the writer did not take its lines within %v", syncTimeout)
	}
}

func (r *ring) run() {
	for {
		batch := r.take()
		if batch == nil {
			return
		}
		// An error of the log's writer cannot be reported anywhere else.
		_, _ = r.w.Write(batch)
	}
}

// take returns the waiting lines, or nil once there are none.
func (r *ring) take() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost > 0 {
		r.waiting = fmt.Appendf(r.waiting, "%s warn logging: The writer was too slow. {\"lines_lost\": %d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), r.lost)
		r.lost = 0
	}
	if len(r.waiting) == 0 {
		close(r.idle)
		r.idle = nil
		return nil
	}
	batch := r.waiting
	r.waiting, r.spare = r.spare[:0], batch
	return batch
}
