package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

type bootClock struct{}

// Boot returns a clock that counts the time since the host booted. Unlike System, it
// includes the time for which the host was suspended, so that a process notices that its
// lease expired during a suspension.
func Boot() Clock { return bootClock{} }

// Now implements Clock.
func (bootClock) Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
