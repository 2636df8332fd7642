package converter

import (
	"math"
	"testing"
	"time"
)

// Guards against waits and counts that overflow, with another result on each kind of
// processor.
func TestNumbersOutOfRange(t *testing.T) {
	for _, c := range []struct {
		seconds  float64
		duration time.Duration
		count    uint32
	}{
		{0, 0, 0},
		{1.5, 1500 * time.Millisecond, 1},
		{-2, -2 * time.Second, 0},
		{1e10, math.MaxInt64, math.MaxUint32},
		{9.3e9, math.MaxInt64, math.MaxUint32},
		{9e9, 9e18, math.MaxUint32},
		{-1e300, math.MinInt64, 0},
		{1e300, math.MaxInt64, math.MaxUint32},
		{math.Inf(1), math.MaxInt64, math.MaxUint32},
		{math.Inf(-1), math.MinInt64, 0},
		{math.NaN(), 0, 0},
	} {
		if got := Seconds(c.seconds); got != c.duration {
			t.Errorf("Seconds(%v): got %v, want %v", c.seconds, got, c.duration)
		}
		if got := Count(c.seconds); got != c.count {
			t.Errorf("Count(%v): got %v, want %v", c.seconds, got, c.count)
		}
	}
	for n, want := range map[int]uint32{-1: 0, 7: 7, math.MaxUint32 + 1: math.MaxUint32, math.MaxInt: math.MaxUint32, math.MinInt: 0} {
		if got := Uint32(n); got != want {
			t.Errorf("Uint32(%d): got %d, want %d", n, got, want)
		}
	}
}
