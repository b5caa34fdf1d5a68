package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the machine was started, as a time. It also runs while the machine is suspended
// and never jumps with the time of day.
func Boottime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // a kernel without that clock
	}
	return time.Unix(ts.Unix())
}
