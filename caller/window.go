package caller

import (
	"context"
	"sync"
)

// defaultWindowSize is the assumed number of sequence numbers, starting at the
// low-water mark, that the home instance accepts. It applies if the reply to the
// request that opened the session does not state the number, and to sessions
// returned by Attach.
const defaultWindowSize = 1024

// window assigns sequence numbers in ascending order and tracks which jobs have
// been answered. All jobs below lowWater have been answered.
type window struct {
	mu       sync.Mutex
	next     uint64
	lowWater uint64
	size     uint64
	answered map[uint64]bool
	changed  chan struct{}
}

func newWindow(next, size uint64) *window {
	return &window{next: next, lowWater: next, size: size, answered: map[uint64]bool{}, changed: make(chan struct{})}
}

// reserve returns the next sequence number and the low-water mark. It waits
// while the window is full.
func (w *window) reserve(ctx context.Context) (seq, below uint64, err error) {
	for {
		w.mu.Lock()
		if w.next < w.lowWater+w.size {
			seq, below = w.next, w.lowWater
			w.next++
			w.mu.Unlock()
			return seq, below, nil
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, 0, ctx.Err()
		}
	}
}

// markAnswered records that job seq has been answered.
func (w *window) markAnswered(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if seq < w.lowWater || seq >= w.next {
		return
	}
	w.answered[seq] = true
	w.advance(w.lowWater)
}

// markAnsweredBelow records that the answers to all jobs below seq are no longer
// needed.
func (w *window) markAnsweredBelow(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(min(seq, w.next))
}

// advance raises the low-water mark to at least to, and further to the first
// unanswered job. The caller must hold w.mu.
func (w *window) advance(to uint64) {
	before := w.lowWater
	for w.lowWater < to || w.answered[w.lowWater] {
		delete(w.answered, w.lowWater)
		w.lowWater++
	}
	if w.lowWater != before {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *window) lowWaterMark() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lowWater
}
