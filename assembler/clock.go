package assembler

import (
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sys/unix"
)

// bootClock returns the time since the host booted, including time in suspension. Go's
// monotonic clock excludes suspension, so that a caller's deadline would appear later
// than it is.
type bootClock struct{}

// Now implements provider.Clock. It falls back to the wall clock if the boot clock cannot
// be read.
func (bootClock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}

// bootID names the run of the operating system, whose boot clock other processes on the host share. A
// random name stands for one that cannot be read.
func bootID() string {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || len(id) == 0 {
		return uuid.NewString()
	}
	return strings.TrimSpace(string(id))
}
