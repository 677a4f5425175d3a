package intake

import (
	"syscall"

	"marigoldfront.dev/core/intake"
)

const (
	// kernelShare is the share of the memory of a process for what its connections have
	// received and it has not read.
	kernelShare = 0.2
	// heapShare is the share of the memory for the Go runtime, of which programMemory,
	// in bytes, is taken by the pages of the program itself. The rest is for what is
	// allocated while garbage is collected.
	heapShare     = 0.75
	programMemory = 16 << 20
	// minHeapShare is the share of the memory that the Go runtime has at least.
	minHeapShare = 0.25
	// requestShare is the share of the heap for connections, requests and jobs. The rest
	// is for the state of the process and for garbage.
	requestShare = 0.55
	// fileDescriptors are kept for files, or a third if there are few.
	fileDescriptors = 200
	// connectionShare is the share of the other descriptors for connections of
	// clients. The rest is for connections that the process opens.
	connectionShare = 0.75
	// receiveBuffer is the size, in bytes, of the receive buffer of a connection. A
	// connection may receive twice as much: the kernel doubles the size. It takes a
	// whole request of usual size without a further round trip.
	receiveBuffer = 8 << 10
	// backlogShare is the ratio between the connections that wait to be accepted at a
	// listener and the limit for those that are open.
	backlogShare = 0.125
	minBacklog   = 16
)

// Budget is the memory and the descriptors of a process, divided among its uses.
type Budget struct {
	Limits intake.Limits
	// Heap is the soft limit of the Go runtime, in bytes.
	Heap int64
	// Backlog bounds the connections that wait to be accepted, for each listener.
	Backlog int
}

// NewBudget divides the memory, in MiB, and the descriptors of a process with a number of
// listeners. If descriptors is 0, the limit of the operating system applies.
func NewBudget(memoryMB, descriptors, listeners int) Budget {
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	memory := float64(memoryMB) * (1 << 20)
	heap := max(heapShare*memory-programMemory, minHeapShare*memory)
	buffers := kernelShare * memory / (2 * receiveBuffer)
	connections := min(int(connectionShare*float64(descriptors-min(fileDescriptors, descriptors/3))),
		int(buffers/(1+backlogShare*float64(listeners))))
	return Budget{
		Limits:  intake.Limits{Memory: int64(requestShare * heap), Connections: connections, Unfinished: connections / 2},
		Heap:    int64(heap),
		Backlog: max(minBacklog, int(backlogShare*float64(connections))),
	}
}

// descriptorLimit returns the limit of the operating system, or a small one if it is
// unknown.
func descriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 1024
	}
	return int(min(l.Cur, 1<<20))
}
