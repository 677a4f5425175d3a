// Package scheduler decides for the targets that one instance owns: which jobs
// it takes, in which order their tasks start, on which target, and what became
// of each start. It has no I/O, clocks or goroutines: events go in, actions
// come out, and the time is passed in. Times must count suspensions of the
// machine, because leases at the targets run on meanwhile.
//
// A target holds everything it runs under one lease, which only its owner
// extends. No task is started again before its earlier run is known to have
// ended, never to begin, or to have lost its lease.
package scheduler
