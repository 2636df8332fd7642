// Package decayer computes exponential decay, by which observations lose weight
// as they age.
//
// # Usage
//
//	mean *= decayer.Left(now.Sub(observedAt), 2*time.Second)
package decayer

import (
	"math"
	"time"
)

// Left returns the decay factor for an observation of the given age: 1 at age
// 0, halved with each half-life.
func Left(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
