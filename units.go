package wick

import (
	"fmt"
	"time"
)

type (
	// Tokens counts tokens of a prompt or an answer.
	Tokens int
	// Bytes counts bytes.
	Bytes int64
	// Megabytes is a size of weights.
	Megabytes float64
	// Slots counts batch slots, adapter slots, or loads in flight.
	Slots int
	// PerSecond is a rate of events per second.
	PerSecond float64
	// UnixMillis is a reading of the wall clock, in milliseconds since the Unix epoch.
	// The clocks of two machines may differ, and each may jump by seconds.
	UnixMillis int64
	// Level orders priorities: a higher level is served first.
	Level int
	// Capacity is the relative capacity of a machine: the number of cores that a
	// daemon may use, reduced where its network link is slow.
	Capacity float64
	// Cost is the estimated time, in seconds, that a request occupies a batch
	// slot on a runner of normal speed.
	Cost float64
)

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes d in the format that time.ParseDuration reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as 250ms", text)
	}
	*d = Duration(v)
	return nil
}

// Instant is a reading of one daemon's monotonic clock, as the time since that
// daemon started. Instants of different daemons must never be compared.
type Instant time.Duration

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }
