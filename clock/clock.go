// Package clock reads a clock that keeps counting while the machine is
// suspended, so that a daemon resumed after a suspension sees that its leases
// have expired.
package clock

import (
	"fmt"
	"time"

	"currantwick"

	"golang.org/x/sys/unix"
)

// BootTime implements wick.Clock with CLOCK_BOOTTIME, which includes suspended
// time. It counts from the clock's creation.
type BootTime struct {
	start time.Duration
}

// New returns a clock that starts at 0 now.
func New() (*BootTime, error) {
	now, err := read()
	if err != nil {
		return nil, err
	}
	return &BootTime{start: now}, nil
}

// Now implements wick.Clock.
func (b *BootTime) Now() wick.Instant {
	now, err := read()
	if err != nil {
		panic(err) // New has read it successfully.
	}
	return wick.Instant(now - b.start)
}

// Wall implements wick.WallClock.
type Wall struct{}

var _ wick.WallClock = Wall{}

// Wall implements wick.WallClock.
func (Wall) Wall() wick.UnixMillis { return wick.UnixMillis(time.Now().UnixMilli()) }

func read() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("read clock: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}
