package proxier

import (
	"fmt"
	"net/http"

	"apricotrudder.dev/apricotd/internal/request/invoker"
	"apricotrudder.dev/apricotd/internal/request/trier"
)

// try refuses a caller's request whose pool is cold while others of its route try out
// whether they are served as a whole.
func (p *Proxier) try(rq *request) outcome {
	if rq.isCall {
		return nil
	}
	left := p.coldLeft(rq.pool)
	if left == 0 {
		return nil
	}
	end, wait := p.trier.Begin(rq.route.Name, left)
	if wait > 0 {
		return refused{
			reason:     reasonThrottled,
			detail:     fmt.Sprintf("pool %s is cold for %d ms, and as many requests as it may serve as a whole have begun", rq.pool, left.Milliseconds()),
			retryAfter: wait,
		}
	}
	rq.endTrial = end
	return nil
}

func trialResult(o outcome) trier.Result {
	switch o := o.(type) {
	case answered:
		if o.Status < http.StatusInternalServerError {
			return trier.Served
		}
		return trier.Broken
	case unknown:
		if o.reason != invoker.Cancelled {
			return trier.Broken
		}
	}
	return trier.NotRun
}
