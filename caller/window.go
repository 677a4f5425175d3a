package caller

import (
	"context"
	"sync"
)

// defaultWindow is the number of sequence numbers above the low-water mark
// that a home accepts, where the reply to the opening did not name it.
const defaultWindow = 1024

// window hands out sequence numbers in order and knows below which number all
// jobs have been answered.
type window struct {
	mu     sync.Mutex
	next   uint64
	low    uint64
	size   uint64
	done   map[uint64]bool
	change chan struct{}
}

func newWindow(next, size uint64) *window {
	return &window{next: next, low: next, size: size, done: map[uint64]bool{}, change: make(chan struct{})}
}

// take returns the next sequence number. It waits while the window is full.
func (w *window) take(ctx context.Context) (seq, below uint64, err error) {
	for {
		w.mu.Lock()
		if w.next < w.low+w.size {
			seq, below = w.next, w.low
			w.next++
			w.mu.Unlock()
			return seq, below, nil
		}
		change := w.change
		w.mu.Unlock()
		select {
		case <-change:
		case <-ctx.Done():
			return 0, 0, ctx.Err()
		}
	}
}

// settle records that the job seq has its answer.
func (w *window) settle(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if seq < w.low || seq >= w.next {
		return
	}
	w.done[seq] = true
	w.advance(w.low)
}

// settleBelow records that no answer below seq is needed any more.
func (w *window) settleBelow(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(min(seq, w.next))
}

func (w *window) advance(to uint64) {
	before := w.low
	for w.low < to || w.done[w.low] {
		delete(w.done, w.low)
		w.low++
	}
	if w.low != before {
		close(w.change)
		w.change = make(chan struct{})
	}
}

func (w *window) below() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.low
}
