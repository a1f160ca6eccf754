// Package clock reads clocks that package time does not offer, and notices steps of the
// time of day.
package clock

import (
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Uptime returns the time since the instance started, including the time for which it was
// suspended (CLOCK_BOOTTIME of Linux). It is the same for all processes of the instance and
// never goes back, whatever happens to the time of day. It is 0 where Check returns an error.
func Uptime() time.Duration {
	uptime, _ := read()
	return uptime
}

// Check returns an error if the kernel does not tell the uptime.
func Check() error {
	_, err := read()
	return err
}

func read() (time.Duration, error) {
	var since unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
		return 0, errs.New("clock: the kernel does not tell the uptime: %v; Linux 2.6.39 or later does", err)
	}
	return time.Duration(since.Nano()), nil
}
