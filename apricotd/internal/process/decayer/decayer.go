// Package decayer computes exponential decay, by which observations lose weight
// as they age.
//
// # Usage
//
//	mean *= decayer.Factor(now.Sub(observedAt), 2*time.Second)
package decayer

import (
	"math"
	"time"
)

// Factor returns the decay factor for an observation of the given age: 1 at age
// 0, halved with each half-life.
func Factor(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
