// Package boottime reads a clock that goes on while the instance is suspended.
// The runtime's monotonic clock stops then, so an age that grants a right is
// measured here.
package boottime

// This file defines Now.

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the instance, suspension included.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39, so the call cannot fail.
		panic("boottime: reading the boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
