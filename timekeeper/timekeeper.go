// Package timekeeper reads the monotonic clock that includes the time during
// which the host is suspended (CLOCK_BOOTTIME).
package timekeeper

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Timekeeper implements medlargw.Clock with CLOCK_BOOTTIME.
type Timekeeper struct{}

// New returns a timekeeper, or an error if the system doesn't support the clock.
func New() (*Timekeeper, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return nil, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return &Timekeeper{}, nil
}

// Now returns the time since the host was booted, added to the Unix epoch. Only
// differences between such times are meaningful.
func (*Timekeeper) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME can no longer be read: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
