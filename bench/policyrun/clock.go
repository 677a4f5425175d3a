// Package policyrun runs Dispatchers against drawn loads and targets in
// simulated time, to compare policies without I/O.
package policyrun

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their times.
type clock struct {
	now    time.Time
	events []timed
	seq    int
}

type timed struct {
	at  time.Time
	seq int
	run func()
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

func (c *clock) at(t time.Time, run func()) {
	c.seq++
	heap.Push(c, timed{at: t, seq: c.seq, run: run})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(c).(timed)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *clock) Len() int { return len(c.events) }

func (c *clock) Less(i, j int) bool {
	a, b := c.events[i], c.events[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.seq < b.seq
}

func (c *clock) Swap(i, j int) { c.events[i], c.events[j] = c.events[j], c.events[i] }

// Push implements heap.Interface.
func (c *clock) Push(x any) { c.events = append(c.events, x.(timed)) }

// Pop implements heap.Interface.
func (c *clock) Pop() any {
	last := len(c.events) - 1
	e := c.events[last]
	c.events = c.events[:last]
	return e
}
