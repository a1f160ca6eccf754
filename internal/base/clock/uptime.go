// Package clock reads clocks that package time does not offer, and notices steps of the
// time of day.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the instance started, including the time for which it was
// suspended (CLOCK_BOOTTIME of Linux). It is the same for all processes of the instance and
// never goes back, whatever happens to the time of day.
func Uptime() (time.Duration, error) {
	var since unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
		return 0, err
	}
	return time.Duration(since.Nano()), nil
}
