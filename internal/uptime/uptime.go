// Package uptime reads a clock that also counts the time during which the system was
// suspended. The monotonic clock behind time.Now does not on Linux, so that a lease
// measured by it lasts too long.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// started is the time of day at which uptime was base.
var (
	started = time.Now().Round(0) // Without the monotonic clock.
	base    = Since()
)

// Since returns the time since the system started.
func Since() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(started) // Kernels before 2.6.39 have no such clock.
	}
	return time.Duration(now.Nano())
}

// Now returns the present time. Differences between its results are those of Since: they
// do not follow a change of the time of day.
func Now() time.Time { return started.Add(Since() - base) }
