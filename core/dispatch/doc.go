// Package dispatch decides what an entry instance does: which submissions it
// admits, which attempts it starts on which targets, and which answers it
// gives. It has no I/O, clock or goroutine of its own.
package dispatch
