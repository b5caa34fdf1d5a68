package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine booted, as a time.Time after the Unix epoch. The clock keeps running
// while the machine is suspended and is not affected by changes of the wall clock.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // the kernel does not support CLOCK_BOOTTIME
	}
	return time.Unix(ts.Unix())
}
