// Package dispatch implements the decisions of an entry instance: which
// submissions it admits, which attempts it starts on which targets, and which
// answers it returns. The Dispatcher receives events and returns actions. It
// performs no I/O, reads no clock and starts no goroutine.
package dispatch
