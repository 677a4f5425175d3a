// Package clock reads the machine's boot-time clock. It is monotonic and
// includes the time during which the machine is suspended, whereas Go's own
// monotonic clock stops during a suspension.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, expressed as a time after
// the Unix epoch. It is comparable only with other times of this clock on the
// same machine. It panics if the clock cannot be read.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
