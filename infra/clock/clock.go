// Package clock reads a steady clock that goes on while the machine is
// suspended. Go's own monotonic clock stands still then.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started as a time after the epoch. It
// can be compared only with other times of this clock on the same machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
