// Package timekeeper measures ages that a pause of the process cannot hide.
//
// The monotonic clock may stand still while a VM is suspended, and the wall
// clock may be set. An age is therefore the larger of the two differences: an
// error makes things look older, never fresher.
//
// # Usage
//
//	begun := timekeeper.Now()
//	if begun.Age() > limit { ... }
package timekeeper

import "time"

// A Moment is a time on both clocks. The zero Moment stands for never.
type Moment struct {
	monotonic time.Time
	wall      time.Time
}

// Now returns the present moment.
func Now() Moment {
	t := time.Now()
	return Moment{monotonic: t, wall: t.Round(0)}
}

// IsZero tells whether m stands for never.
func (m Moment) IsZero() bool { return m.monotonic.IsZero() }

// Age returns how long ago m was.
func (m Moment) Age() time.Duration {
	t := time.Now()
	return max(t.Sub(m.monotonic), t.Round(0).Sub(m.wall))
}

// Earlier returns the moment d before m.
func (m Moment) Earlier(d time.Duration) Moment {
	return Moment{monotonic: m.monotonic.Add(-d), wall: m.wall.Add(-d)}
}

// Sub returns the time from other to m on the monotonic clock.
func (m Moment) Sub(other Moment) time.Duration {
	return m.monotonic.Sub(other.monotonic)
}
