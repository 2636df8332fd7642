// Package scorer predicts when a request would be completed at each backend server of a
// pool, and draws one of the best.
//
// The prediction is the expected wait for a slot, the expected service time at the
// server's present speed, the travel, and the price of distance. What is known of a server
// loses weight with age: its occupancy tends to the mean of the pool, and the uncertainty
// of the occupancy grows, so that a server is avoided before it is certainly full. A
// server of which nothing is known is taken to be like the mean of its pool.
//
// The draw keeps the nodes of a fleet, which see the same old figures, from sending to the
// same server: candidates whose predictions differ by little share the requests in
// proportion to their free slots. One request in ExploreEvery is drawn among all candidates
// at the distance of the best, so that a server that is fast again is found.
//
// # Usage
//
//	for _, v := range views {
//		pool.Add(v)
//	}
//	for i, v := range views {
//		scores[i] = scorer.Evaluate(v, rq, &pool)
//	}
//	i := scorer.Draw(scores, rand.Float64(), explore)
//
// No function allocates or has side effects beyond its receiver; a score takes less than a microsecond.
package scorer

import (
	"math"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// Distances of a server.
	LocalDataCentre = 0
	LocalRegion     = 1
	OtherRegion     = 2
	Distances       = 3
	// ExploreEvery is the number of requests of which one ignores the predictions within
	// the distance of the best server.
	ExploreEvery = 50
	// OccupancyHalfLife is the half-life of the difference between the occupancy of a
	// server and that of its pool.
	OccupancyHalfLife = 500 * time.Millisecond
	// slowdownHalfLife is the half-life of a slowdown, which lasts for some hundred
	// milliseconds if a neighbour on the same machine causes it.
	slowdownHalfLife = 300 * time.Millisecond
	// ratioHalfLife is the half-life of what is known of the usual speed of a server.
	ratioHalfLife = 20 * time.Second
	// MaxRatio bounds the service time of a server relative to the mean of its pool, and
	// 1/MaxRatio the inverse.
	MaxRatio = 8.0
	// A report may change the predicted speed at most by these factors, whatever a faulty
	// server states.
	minSlowdown, maxSlowdown = 0.5, 8.0
	// defaultTargetFactor is the target latency of a route without one, in expected
	// service times.
	defaultTargetFactor = 4
	// defaultExpected is the service time of a request of which nothing is known.
	defaultExpected = 100 * time.Millisecond
	// failureCost is the cost of a certain failure, in target latencies: the attempt and
	// the time that the repeat takes.
	failureCost = 2
	// fullCost is the cost of a full server, in target latencies. It is 0 up to the
	// utilisation busyFrom and grows with the square of what exceeds it. It exceeds the price
	// of any distance, and grows before a server is full: callers' requests are throttled by
	// the excess that the servers report which they use, so at high load all servers must
	// be about equally utilised, or slow ones with room would not be heard.
	fullCost = 1
	busyFrom = 0.7
	// refusalCost is the cost of a wait as long as the request may wait, in target
	// latencies.
	refusalCost = 0.5
	// toleranceRatio is the difference between predictions, relative to the best one, that
	// reduces the share of a server by a factor of e.
	toleranceRatio  = 0.2
	exploreFraction = 1.0 / ExploreEvery
	minVariance     = 1.0 // requests squared
)

// distancePrice is the time, as a fraction of the target latency, by which a server must
// complete a request earlier to be worth the traffic.
var distancePrice = [Distances]float64{0, 1.0 / 4, 1.0 / 2}

type (
	// A Request is what the prediction depends on.
	Request struct {
		// Expected is the expected service time at a server of mean speed; 0 if unknown.
		Expected time.Duration
		// Target is the latency that the route aims at; 0 if it has none.
		Target time.Duration
		// MaxWait is how long the request may wait for a slot; 0 if that is not limited.
		MaxWait time.Duration
	}

	// A View is what a node knows of one server.
	View struct {
		Occupied float64 // running and waiting requests in the last report
		Slots    float64
		SentLate float64 // requests that this node has sent since the report
		InFlight float64 // requests of this node in progress
		// Age is the time since the report; negative if there was none.
		Age time.Duration
		// Backlog is the remaining work of the occupying requests; 0 if unknown.
		Backlog time.Duration
		// Ratio is the usual service time relative to the mean of the pool; 0 if unknown.
		Ratio float64
		// Slowdown is the service time at the report relative to the usual one; 0 if
		// unknown.
		Slowdown    float64
		FailureRate float64
		Distance    int
		Travel      time.Duration // there and back
	}

	// A Pool is the mean of what is known of the servers that are compared.
	Pool struct {
		utilisations, weights float64
		ratios, known         float64
	}

	// A Score is the predicted completion in seconds, with its parts.
	Score struct {
		Wait     float64
		Service  float64
		Travel   float64
		Penalty  float64 // price of distance, expected cost of failure and of refusal
		Free     float64 // expected number of free slots
		Distance int
	}
)

// Total returns the prediction by which servers are compared, in seconds.
func (s Score) Total() float64 { return s.Wait + s.Service + s.Travel + s.Penalty }

// Add adds a server to the mean. Its utilisation has the less weight the older it is.
func (p *Pool) Add(v *View) {
	if v.Age < 0 || v.Slots <= 0 {
		return
	}
	fresh := decayer.Factor(v.Age, OccupancyHalfLife)
	p.utilisations += v.Occupied * fresh
	p.weights += v.Slots * fresh
	if v.Ratio > 0 {
		p.ratios += clampRatio(v.Ratio)
		p.known++
	}
}

func (p *Pool) utilisation() float64 {
	if p.weights <= 0 {
		return 0
	}
	return p.utilisations / p.weights
}

func (p *Pool) ratio() float64 {
	if p.known == 0 {
		return 1
	}
	return p.ratios / p.known
}

func clampRatio(r float64) float64 { return max(1/MaxRatio, min(MaxRatio, r)) }

// Evaluate predicts the completion of a request at a server of a pool.
func Evaluate(v *View, rq Request, pool *Pool) Score {
	expected := rq.Expected.Seconds()
	if expected <= 0 {
		expected = defaultExpected.Seconds()
	}
	target := rq.Target.Seconds()
	if target <= 0 {
		target = defaultTargetFactor * expected
	}
	speed := v.ratio(pool.ratio()) * v.slowdown()
	n, variance := v.occupancy(pool.utilisation())
	excess := meanExcess(n-v.Slots+1, math.Sqrt(variance))
	interval := v.workPerRequest(expected*speed) / max(1, v.Slots)
	s := Score{
		Wait:     excess * interval,
		Service:  expected * speed,
		Travel:   v.Travel.Seconds(),
		Free:     max(0, v.Slots-n),
		Distance: v.Distance,
	}
	s.Penalty = target * (distancePrice[v.Distance] + failureCost*v.FailureRate + fullCost*v.pressure(n))
	if rq.MaxWait > 0 {
		refused := min(1, s.Wait/rq.MaxWait.Seconds())
		s.Penalty += target * refusalCost * refused * refused
	}
	return s
}

// Best returns the index of the server with the least prediction, or -1 if there is none.
func Best(scores []Score) int {
	best := -1
	for i := range scores {
		if best < 0 || scores[i].Total() < scores[best].Total() {
			best = i
		}
	}
	return best
}

// Draw returns the index of the server to use, or -1 if there is none. x is a random number
// in [0, 1). If explore is set, the predictions are ignored within the distance of the best
// server.
func Draw(scores []Score, x float64, explore bool) int {
	best := Best(scores)
	if best < 0 {
		return -1
	}
	sum := 0.0
	for i := range scores {
		sum += weight(&scores[i], &scores[best], explore)
	}
	left := x * sum
	for i := range scores {
		if left -= weight(&scores[i], &scores[best], explore); left < 0 {
			return i
		}
	}
	return best
}

// Shares returns the part of the requests for which Draw returns each index. If explored is
// not negative, the requests that ignore the predictions all go to that index.
func Shares(scores []Score, explored int) []float64 {
	out := make([]float64, len(scores))
	if len(scores) == 0 {
		return out
	}
	best := &scores[Best(scores)]
	add := func(part float64, explore bool) {
		sum := 0.0
		for i := range scores {
			sum += weight(&scores[i], best, explore)
		}
		for i := range scores {
			out[i] += part * weight(&scores[i], best, explore) / sum
		}
	}
	add(1-exploreFraction, false)
	if explored >= 0 {
		out[explored] += exploreFraction
	} else {
		add(exploreFraction, true)
	}
	return out
}

func weight(s, best *Score, explore bool) float64 {
	if explore {
		if s.Distance != best.Distance {
			return 0
		}
		return 1 + s.Free
	}
	b := best.Total()
	return (1 + s.Free) * math.Exp(-(s.Total()-b)/(toleranceRatio*b))
}

// occupancy returns the mean and the variance of the number of requests at the server.
func (v *View) occupancy(poolUtilisation float64) (mean, variance float64) {
	typical := poolUtilisation * v.Slots
	if v.Age < 0 {
		return max(typical, v.InFlight), max(minVariance, typical)
	}
	fresh := decayer.Factor(v.Age, OccupancyHalfLife)
	mean = typical + (v.Occupied-typical)*fresh + v.SentLate*fresh
	mean = max(mean, v.InFlight)
	return mean, max(minVariance, mean*(1-fresh*fresh))
}

// pressure returns 0 for a server with a utilisation up to busyFrom and 1 for a full one.
func (v *View) pressure(n float64) float64 {
	p := max(0, min(1, (n/max(1, v.Slots)-busyFrom)/(1-busyFrom)))
	return p * p
}

// ratio returns the usual service time relative to the expected one; mean is that of the
// pool.
func (v *View) ratio(mean float64) float64 {
	if !(v.Ratio > 0) || v.Age < 0 {
		return mean
	}
	return mean + (clampRatio(v.Ratio)-mean)*decayer.Factor(v.Age, ratioHalfLife)
}

func (v *View) slowdown() float64 {
	if !(v.Slowdown > 0) || v.Age < 0 {
		return 1
	}
	s := max(minSlowdown, min(maxSlowdown, v.Slowdown))
	return 1 + (s-1)*decayer.Factor(v.Age, slowdownHalfLife)
}

// workPerRequest returns the remaining work of each request at the server, in seconds. It
// is bounded around the service time of the request to place, since a faulty node may
// state anything.
func (v *View) workPerRequest(service float64) float64 {
	if !(v.Backlog > 0) || v.Occupied < 1 {
		return service
	}
	return max(service/MaxRatio, min(service*MaxRatio, v.Backlog.Seconds()/v.Occupied))
}

// meanExcess returns the mean of the positive part of a normally distributed number.
func meanExcess(mean, deviation float64) float64 {
	z := mean / deviation
	switch {
	case z < -4:
		return 0
	case z > 4:
		return mean
	}
	return mean*0.5*math.Erfc(-z/math.Sqrt2) + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}
