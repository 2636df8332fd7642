// Package repeater calls a function at regular intervals.
//
// # Usage
//
//	repeater.Run(ctx, time.Second, func(now time.Time) { sweep(now) })
//
// Calls do not overlap. An interval that ends during a call is made up for at once,
// but only one.
package repeater

import (
	"context"
	"time"
)

// Run calls f at each end of an interval, until ctx is done.
func Run(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
