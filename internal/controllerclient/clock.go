package controllerclient

import (
	"time"

	"golang.org/x/sys/unix"

	"silvercove/internal/tick"
)

// Now returns the time by which leases are measured: the time since this machine booted, including the time for which it was
// suspended.
func Now() tick.Tick {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) // cannot fail: Linux 2.6.39 and later have this clock
	return tick.FromDuration(time.Duration(now.Nano()))
}
