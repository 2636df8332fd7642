// Package timekeeper measures elapsed time so that a pause of the process, such
// as the suspension of its VM, is included.
//
// The monotonic clock may stop while a VM is suspended, and the wall clock may
// be set. An age is therefore the larger of the two differences: an error of one
// clock can make a value look older than it is, never newer.
//
// # Usage
//
//	start := timekeeper.Now()
//	if start.Age() > limit { ... }
package timekeeper

import "time"

// An Instant is a point in time read from both clocks. The zero value means
// "never".
type Instant struct {
	monotonic time.Time
	wall      time.Time
}

// Now reads both clocks.
func Now() Instant { return At(time.Now()) }

// At returns the Instant of a time that time.Now has returned.
func At(t time.Time) Instant { return Instant{monotonic: t, wall: t.Round(0)} }

// IsZero reports whether i is the zero Instant.
func (i Instant) IsZero() bool { return i.monotonic.IsZero() }

// Age returns the time elapsed since i: the larger of the differences on the
// two clocks.
func (i Instant) Age() time.Duration {
	t := time.Now()
	return max(t.Sub(i.monotonic), t.Round(0).Sub(i.wall))
}

// Earlier returns the Instant that lies d before i.
func (i Instant) Earlier(d time.Duration) Instant {
	return Instant{monotonic: i.monotonic.Add(-d), wall: i.wall.Add(-d)}
}

// Since returns the time from other to i: the larger of the differences on the two
// clocks. It is negative only if both are.
func (i Instant) Since(other Instant) time.Duration {
	return max(i.monotonic.Sub(other.monotonic), i.wall.Sub(other.wall))
}

// Sub returns i - other, measured on the monotonic clock only.
func (i Instant) Sub(other Instant) time.Duration {
	return i.monotonic.Sub(other.monotonic)
}
