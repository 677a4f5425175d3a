package slopes

import (
	"fmt"
	"time"

	"marigoldfront.dev/bench/fleet"
)

const (
	queueLimit    = 30 * time.Second
	queueInterval = 50 * time.Millisecond
)

// awaitQueue waits until n tasks are queued or running.
func awaitQueue(e *fleet.Entry, n int) error {
	end := time.Now().Add(queueLimit)
	for {
		s, err := e.Status()
		if err == nil && s.Queue.Tasks+s.Queue.Running >= n {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d tasks are queued and %d run, want %d (%v)", s.Queue.Tasks, s.Queue.Running, n, err)
		}
		time.Sleep(queueInterval)
	}
}
