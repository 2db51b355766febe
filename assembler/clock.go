package assembler

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock counts the time since the host started, its suspensions included. Go's
// monotonic clock does not count them, so a deadline of a caller would seem to be
// further away than it is.
type bootClock struct{}

// Now implements provider.Clock.
func (bootClock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
