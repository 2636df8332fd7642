package picker

import (
	"time"

	"apricotrudder.dev/apricotd/internal/cost/scorer"
	"apricotrudder.dev/apricotd/version/lister"
)

// An Explanation tells what speaks for or against the selection of one server.
type Explanation struct {
	Server *lister.Server
	// Reason is why the server can't be selected; empty if it can.
	Reason string
	// Share is the part, 0 to 1, of such requests for which Choose would select it now.
	Share float64
	// Age is the time since the load of the server was reported; negative if it never was.
	Age         time.Duration
	Utilisation float64
	// Score is set if servers are selected by expected completion.
	Score scorer.Score
}

// Explain returns what Choose would compare for a request, without selecting a server.
// byCompletion reports whether the servers that can be selected are compared by Score or by
// Utilisation.
func (p *Picker) Explain(servers []*lister.Server, tried map[string]bool, rq Request) (explanations []Explanation, byCompletion bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	byCompletion = p.ByCompletion && p.statesSlowdown(servers, now)
	preferred := p.preferSound(servers, tried, rq, now)
	p.evaluate(preferred, tried, rq, now)
	shares := scorer.Shares(p.scores, p.longestUnused(now))
	least := p.leastUtilised(preferred, tried, rq, now)
	scored := 0
	for _, s := range servers {
		e := Explanation{Server: s, Age: p.view(s, now).Age, Utilisation: p.utilisation(s, now)}
		isCandidate := scored < len(p.candidates) && p.candidates[scored].server == s
		switch {
		case !isCandidate:
			if e.Reason = p.reasonAgainst(s, tried, rq, now); e.Reason == usable {
				e.Reason = "fails many requests, or is full while another one does"
			}
		case byCompletion:
			e.Score, e.Share = p.scores[scored], shares[scored]
		case s == least:
			e.Share = 1
		}
		if isCandidate {
			scored++
		}
		explanations = append(explanations, e)
	}
	return explanations, byCompletion
}
