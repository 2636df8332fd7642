// Package returner decides when a caller should come back whose request was refused
// because its organisation had used up its rate.
//
// The bucket owner estimates when a token will be left for the caller. While an
// organisation sends several times its rate, that is later than the latency targets of
// its most urgent routes, and a caller who returns then is late even if it is let in.
// Its token is lost for a request that would have been on time. So no caller is told to
// return later than an answer after the usual time would meet the latency target.
//
// It is guaranteed that a caller is never told to return later than the bucket owner
// estimates, and that whether a request gets a token does not depend on its route.
//
// # Usage
//
//	r := &returner.Returner{}
//	delay, advanced := r.Delay(refusal.RetryAfter, latest)
package returner

import "time"

// minDelay is the least delay to which a return is advanced. After a shorter one the
// organisation's demand has hardly changed.
const minDelay = 100 * time.Millisecond

// A Returner determines when refused callers return. The zero value is ready to use.
type Returner struct {
	// Disabled makes all callers return when a token is likely.
	Disabled bool
}

// Delay returns after what time a caller should come back, if a token is likely after
// untilToken and an answer meets the latency target if the caller is back by latest. It
// reports whether the caller returns before a token is likely.
func (r *Returner) Delay(untilToken, latest time.Duration) (delay time.Duration, advanced bool) {
	earlier := max(minDelay, latest)
	if r.Disabled || latest <= 0 || untilToken <= earlier {
		return untilToken, false
	}
	return earlier, true
}
