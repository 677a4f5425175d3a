// Package scheduler makes the decisions for the targets that one instance
// owns: which jobs it accepts, in which order and on which target their tasks
// start, and when a task is started again. It has no I/O, clocks or goroutines:
// its user passes in events and the current time, and carries out the returned
// actions. The clock must keep counting while the machine is suspended, because
// the leases on the targets keep running.
//
// All runs on a target are held by one lease, which only the owner of the
// target renews. A task is started again only when its earlier run is known to
// have ended, never to have started, or to have lost its lease.
package scheduler
