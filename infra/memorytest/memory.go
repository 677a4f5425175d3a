// Package memorytest measures the memory of processes under test.
package memorytest

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	sampleInterval = 10 * time.Millisecond
	mib            = 1 << 20
)

// Watch samples the memory of a process that listens: what is resident, and the bytes that
// its sockets have received and it has not read, which count as its memory too.
type Watch struct {
	t          testing.TB
	quit, done chan struct{}
	// peak is the highest sum of both, in bytes, and the other two are the highest values
	// of each.
	peak, resident, unread int
}

// Start starts a Watch. The function pid returns the ID of the process, which may change.
// The addresses are those at which the process listens, as IP:port.
func Start(t testing.TB, pid func() int, addresses ...string) *Watch {
	t.Helper()
	ports := map[uint16]bool{}
	for _, a := range addresses {
		address, err := netip.ParseAddrPort(a)
		if err != nil {
			t.Fatal(err)
		}
		ports[address.Port()] = true
	}
	w := &Watch{t: t, quit: make(chan struct{}), done: make(chan struct{})}
	go w.run(pid, ports)
	return w
}

func (w *Watch) run(pid func() int, ports map[uint16]bool) {
	defer close(w.done)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		resident, unread := residentMemory(pid()), unreadBytes(ports)
		w.peak, w.resident, w.unread = max(w.peak, resident+unread), max(w.resident, resident), max(w.unread, unread)
		select {
		case <-tick.C:
		case <-w.quit:
			return
		}
	}
}

// Check ends the Watch. It fails the test if the process has exceeded the limit.
func (w *Watch) Check(limitMiB int) {
	w.t.Helper()
	close(w.quit)
	<-w.done
	w.t.Logf("at most %.1f MiB resident, %.1f MiB received and unread, %.1f MiB in sum, of %d MiB",
		float64(w.resident)/mib, float64(w.unread)/mib, float64(w.peak)/mib, limitMiB)
	if w.resident == 0 {
		w.t.Error("the memory of the process was not found")
	}
	if w.peak > limitMiB*mib {
		w.t.Errorf("the process had %.1f MiB with unread bytes, and may have %d MiB", float64(w.peak)/mib, limitMiB)
	}
}

// residentMemory returns the resident memory of a process, in bytes, or 0 if it has ended.
func residentMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprint("/proc/", pid, "/statm"))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// unreadBytes returns the bytes in the receive queues of the sockets with the local ports,
// also of those that the process has not accepted.
func unreadBytes(ports map[uint16]bool) (n int) {
	const listening = "0A" // the queue of such a socket counts connections
	text, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, portText, _ := strings.Cut(fields[1], ":")
		port, err := strconv.ParseUint(portText, 16, 16)
		if err != nil || !ports[uint16(port)] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(queue, 16, 64)
		n += int(unread)
	}
	return n
}
