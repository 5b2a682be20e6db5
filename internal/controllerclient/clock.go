package controllerclient

import (
	"time"

	"golang.org/x/sys/unix"

	"silvercove/internal/tick"
)

// Now is the time by which leases are counted: this machine's since its start, its sleep included.
func Now() tick.Tick {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) // it can't fail with a clock that Linux has had since 2.6.39
	return tick.FromDuration(time.Duration(now.Nano()))
}
