package scheduler

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine was booted, including the time for which it
// was suspended. It returns 0 if the clock can't be read.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
