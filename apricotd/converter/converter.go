// Package converter converts numbers from outside to durations and integers, and back. A Go
// conversion of a number that the type cannot hold gives a result that differs
// between processors; here it gives the nearest value of the type.
//
// # Usage
//
//	wait := converter.Seconds(stated)
//	rank := converter.Uint32(stated)
package converter

import (
	"math"
	"time"
)

// maxDuration is the longest duration in seconds.
const maxDuration = float64(math.MaxInt64) / float64(time.Second)

// Seconds converts a number of seconds. NaN is converted to zero.
func Seconds(s float64) time.Duration {
	switch {
	case math.IsNaN(s):
		return 0
	case s >= maxDuration:
		return math.MaxInt64
	case s <= -maxDuration:
		return math.MinInt64
	}
	return time.Duration(s * float64(time.Second))
}

// Milliseconds converts a duration to a number of milliseconds, with its fraction.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Uint32 converts an integer.
func Uint32[T ~int | ~int64](n T) uint32 {
	return uint32(min(max(0, int64(n)), math.MaxUint32))
}

// Count converts a number of things, such as tokens, rounded down. NaN is converted
// to zero.
func Count(n float64) uint32 {
	switch {
	case math.IsNaN(n) || n <= 0:
		return 0
	case n >= math.MaxUint32:
		return math.MaxUint32
	}
	return uint32(n)
}
