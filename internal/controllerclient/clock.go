package controllerclient

import (
	"time"

	"golang.org/x/sys/unix"

	"silvercove/internal/tick"
)

// Now returns the time by which leases are measured: the time since this machine booted, including the time it was suspended.
func Now() tick.Tick {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) // cannot fail: Linux has this clock since 2.6.39
	return tick.FromDuration(time.Duration(now.Nano()))
}
