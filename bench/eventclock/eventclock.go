// Package eventclock implements the event queue of discrete-event simulations:
// it runs functions in the order of their simulated times.
package eventclock

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock with a queue of functions, ordered by time. The
// zero value starts at the zero time; Now must be set before a function is
// queued. A Clock is not safe for concurrent use.
type Clock struct {
	// Now is the simulated time: that of the running function, or the end of
	// the last RunUntil.
	Now     time.Time
	queue   eventQueue
	lastSeq int
}

// event is a queued function. seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// After queues a function to run d after Now.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.Now.Add(d), run) }

// At queues a function to run at t. Functions with the same time run in the
// order in which they were queued.
func (c *Clock) At(t time.Time, run func()) {
	c.lastSeq++
	heap.Push(&c.queue, event{at: t, seq: c.lastSeq, run: run})
}

// RunUntil runs all functions that are due at or before end, including those
// that are queued meanwhile, and then sets Now to end.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.run()
	}
	c.Now = end
}

// eventQueue implements heap.Interface. The first element is the next event.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
