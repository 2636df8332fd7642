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

// A Moment is a point in time read from both clocks. The zero value means
// "never".
type Moment struct {
	monotonic time.Time
	wall      time.Time
}

// Now reads both clocks.
func Now() Moment {
	t := time.Now()
	return Moment{monotonic: t, wall: t.Round(0)}
}

// IsZero reports whether m is the zero Moment.
func (m Moment) IsZero() bool { return m.monotonic.IsZero() }

// Age returns the time elapsed since m: the larger of the differences on the
// two clocks.
func (m Moment) Age() time.Duration {
	t := time.Now()
	return max(t.Sub(m.monotonic), t.Round(0).Sub(m.wall))
}

// Earlier returns the Moment that lies d before m.
func (m Moment) Earlier(d time.Duration) Moment {
	return Moment{monotonic: m.monotonic.Add(-d), wall: m.wall.Add(-d)}
}

// Sub returns m - other, measured on the monotonic clock only.
func (m Moment) Sub(other Moment) time.Duration {
	return m.monotonic.Sub(other.monotonic)
}
