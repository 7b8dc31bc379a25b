package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

type boot struct{}

// Boot returns the clock of the host since its boot. Unlike System it goes on
// while the host is suspended, so that a process that slept through its own
// lease knows it.
func Boot() Clock { return boot{} }

// Now implements Clock.
func (boot) Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic("the kernel has no boot clock: " + err.Error())
	}
	return time.Duration(at.Nano())
}
