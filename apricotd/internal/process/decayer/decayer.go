// Package decayer weighs what was seen by its age.
//
// # Usage
//
//	mean *= decayer.Left(now.Sub(seen), 2*time.Second)
package decayer

import (
	"math"
	"time"
)

// Left returns the part that is left of a weight of one after a time: a half
// after each half-life.
func Left(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
