// Package boottime reads the boot-time clock of the kernel (CLOCK_BOOTTIME), which
// advances while the machine is suspended. The monotonic clock of the Go runtime
// does not, so time spans that decide whether a right is still valid, such as a
// lease, must be measured with this clock.
package boottime

// This file defines Now.

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39, so the call cannot fail.
		panic("boottime: reading the boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
