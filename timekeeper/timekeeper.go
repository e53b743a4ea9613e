// Package timekeeper tells the time by the clock that goes on while the host is
// suspended and never jumps.
package timekeeper

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Timekeeper reads the clock.
type Timekeeper struct{}

// New returns a timekeeper, or an error when the system lacks the clock.
func New() (*Timekeeper, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return nil, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return &Timekeeper{}, nil
}

// Now returns the time since the host was started, as a time after 1970. Only
// differences of such times mean something.
func (*Timekeeper) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME was there at the start: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
