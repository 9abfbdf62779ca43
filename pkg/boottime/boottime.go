// Package boottime provides a clock that does not jump when the wall clock is set and
// keeps running while the host is suspended.
//
// The age of a host's information must include time spent suspended: a host that resumes
// must not treat its last known state as recent. Go's monotonic clock may stop during a
// suspension, and the wall clock may be set.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time without a monotonic reading. Only
// differences between two results are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; the monotonic clock is the fallback.
		return time.Unix(0, int64(time.Since(processStart)))
	}
	return time.Unix(0, ts.Nano())
}

var processStart = time.Now()
