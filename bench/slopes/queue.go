package slopes

import (
	"fmt"
	"time"

	"marigoldfront.dev/bench/fleet"
)

const (
	queueTimeout      = 30 * time.Second
	queuePollInterval = 50 * time.Millisecond
)

// awaitQueue waits until at least n tasks are queued or running at the entry
// process. It returns an error after queueTimeout.
func awaitQueue(e *fleet.Entry, n int) error {
	end := time.Now().Add(queueTimeout)
	for {
		s, err := e.Status()
		if err == nil && s.Queue.Tasks+s.Queue.Running >= n {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d tasks queued and %d running, want %d in total (last status error: %v)", s.Queue.Tasks, s.Queue.Running, n, err)
		}
		time.Sleep(queuePollInterval)
	}
}
