package machine

import (
	"golang.org/x/sys/unix"

	"github.com/knapweedpulley/knapweedpulley"
)

// BootClock reads the kernel's boot-time clock. Unlike the monotonic clock of the
// time package, it keeps running while the machine is suspended.
type BootClock struct{}

// NewClock returns the machine's clock.
func NewClock() BootClock {
	return BootClock{}
}

// Now implements knapweedpulley.Clock.
func (BootClock) Now() knapweedpulley.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read the boot-time clock: " + err.Error())
	}
	return knapweedpulley.Instant(t.Nano())
}
