package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes is the maximum total size of the lines that are buffered.
	maxPendingBytes = 512 << 10
	// syncTimeout is how long Sync waits for a blocked writer.
	syncTimeout = time.Second
)

// asyncWriter is a zapcore.WriteSyncer that buffers lines for a writer that may
// be slow, so that logging never blocks. A goroutine writes the buffered lines
// and terminates when none are left.
type asyncWriter struct {
	w io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	// idle is closed when all lines have been written. It is nil while no lines
	// are pending.
	idle chan struct{}
}

func newAsyncWriter(w io.Writer) *asyncWriter { return &asyncWriter{w: w} }

// Write implements io.Writer. It copies the line, because zap reuses its
// buffer. It drops and counts the line if the buffer is full.
func (a *asyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending)+len(line) > maxPendingBytes {
		a.dropped++
		return len(line), nil
	}
	a.pending = append(a.pending, line...)
	if a.idle == nil {
		a.idle = make(chan struct{})
		go a.writeBatches()
	}
	return len(line), nil
}

// Sync waits until all buffered lines have been written. It returns an error if
// this takes longer than syncTimeout.
func (a *asyncWriter) Sync() error {
	a.mu.Lock()
	idle := a.idle
	a.mu.Unlock()
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

func (a *asyncWriter) writeBatches() {
	for {
		batch := a.nextBatch()
		if batch == nil {
			return
		}
		// An error of the log writer is ignored, because the log is the only
		// place where it could be reported.
		_, _ = a.w.Write(batch)
	}
}

// nextBatch returns the pending lines, with a line that reports the number of
// dropped lines if there are any. It returns nil if no lines are pending.
func (a *asyncWriter) nextBatch() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped > 0 {
		a.pending = fmt.Appendf(a.pending, "%s warn logging: Lines were dropped because the writer was too slow. {\"lines_lost\": %d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), a.dropped)
		a.dropped = 0
	}
	if len(a.pending) == 0 {
		close(a.idle)
		a.idle = nil
		return nil
	}
	batch := a.pending
	a.pending, a.spare = a.spare[:0], batch
	return batch
}
