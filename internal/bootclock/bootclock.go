// Package bootclock reads the host's boot-time clock, which also advances while the host is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the host's boot.
type Instant time.Duration

// Now returns the time since boot, including suspended time. The monotonic clock of package time excludes suspended time,
// so a lease measured with it would outlive a suspension.
func Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return Instant(now.Nano())
}

// Time returns the time since boot as a time.Time, for code that compares times. It is unrelated to the time of day.
func Time() time.Time { return time.Unix(0, int64(Now())) }

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }
