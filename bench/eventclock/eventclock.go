// Package eventclock runs functions in the order of their simulated times.
package eventclock

import (
	"container/heap"
	"time"
)

// Clock is a queue of functions by time. The zero value begins at the zero
// time; set Now before anything is queued.
type Clock struct {
	// Now is the time of the function that runs, or ran last.
	Now    time.Time
	events events
	seq    int
}

type timed struct {
	at  time.Time
	seq int
	run func()
}

// After queues a function for d from now.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.Now.Add(d), run) }

// At queues a function for a time. Functions of one time run in the order in
// which they were queued.
func (c *Clock) At(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.events, timed{at: t, seq: c.seq, run: run})
}

// RunUntil runs what is queued up to a time.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(timed)
		c.Now = e.at
		e.run()
	}
	c.Now = end
}

// events implements heap.Interface.
type events []timed

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *events) Push(x any) { *q = append(*q, x.(timed)) }

func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
