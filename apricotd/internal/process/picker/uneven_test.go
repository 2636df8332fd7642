package picker

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/cost/gauger"
	"apricotrudder.dev/apricotd/internal/cost/scorer"
	"apricotrudder.dev/apricotd/version/lister"
)

// Policies of the model.
const (
	byUtilisation = "utilisation"
	byCompletion  = "completion"
	optimum       = "optimum" // exact knowledge of all servers and service times
)

type (
	// A pool is a model of the servers of one pool and of the nodes that send to it, in
	// virtual time.
	pool struct {
		policy  string
		load    func(at time.Duration) float64 // relative to the capacity
		fault   func(s *modelServer, at time.Duration)
		rng     *rand.Rand
		list    []*lister.Server
		servers []*modelServer
		pickers []*Picker
		events  eventQueue
		now     time.Duration
		result  poolResult
	}

	modelServer struct {
		id        int
		speed     float64
		neighbour bool // a neighbour slows the machine
		stated    func(percent float64) string
		factor    float64 // service time relative to the usual one, by a fault
		replaced  bool    // by another server with another id, once
		running   int
		queue     []*modelRequest
		ends      []time.Duration // of the running requests, for the optimum
		gauger    *gauger.Gauger
	}

	modelRequest struct {
		kind      int
		sentAt    time.Duration
		service   time.Duration // at usual speed 1
		choice    *Choice
		work      *gauger.Work
		server    *modelServer
		travel    time.Duration
		picker    *Picker
		startedAt time.Duration
	}

	modelKind struct {
		share, spread                   float64
		mean, target, deadline, maxWait time.Duration
	}

	event struct {
		at time.Duration
		do func()
	}

	eventQueue []event

	modelChoice struct {
		at     time.Duration
		server int
	}

	poolResult struct {
		sent, good               int
		perSecond                map[int][2]int // sent and in time
		latencies                []time.Duration
		ages                     []time.Duration
		choices                  []modelChoice
		otherCentre, otherRegion int
	}
)

const (
	unevenSlots = 34
	unevenTime  = 8 * time.Second
	modelWarmUp = 2 * time.Second
	// A neighbour is busy 15 % of the time, for 600 ms each time.
	neighbourTime     = 600 * time.Millisecond
	neighbourFraction = 0.15
	neighbourSlowdown = 2.5
)

var (
	modelSpeeds  = []float64{0.5, 1, 1, 1.5}
	modelCentres = []string{"a1", "b1", "a2", "b2"}
	modelTravel  = [distanceLevels]time.Duration{0, 2 * time.Millisecond, 24 * time.Millisecond}
	modelKinds   = []modelKind{
		{share: 0.9, spread: 0.5, mean: 55 * time.Millisecond, target: 300 * time.Millisecond, deadline: 700 * time.Millisecond, maxWait: 350 * time.Millisecond},
		{share: 0.1, spread: 0.8, mean: 500 * time.Millisecond, target: 2 * time.Second, deadline: 5 * time.Second, maxWait: 250 * time.Millisecond},
	}
)

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// runPool plays a pool of 16 servers with 32 nodes.
func runPool(t *testing.T, policy string, seed uint64, load func(time.Duration) float64, fault func(*modelServer, time.Duration)) *pool {
	p := &pool{policy: policy, load: load, fault: fault, rng: rand.New(rand.NewPCG(seed, 1))}
	p.result.perSecond = make(map[int][2]int)
	synctest.Test(t, func(t *testing.T) {
		capacity := 0.0
		for i := range 16 {
			centre := modelCentres[i%len(modelCentres)]
			p.list = append(p.list, &lister.Server{ID: fmt.Sprint(i), DataCentre: centre, Region: centre[:1], Slots: unevenSlots})
			s := &modelServer{id: i, speed: modelSpeeds[i/len(modelCentres)%len(modelSpeeds)], factor: 1, gauger: &gauger.Gauger{}}
			s.stated = func(percent float64) string { return fmt.Sprintf("1,0,%d,%.0f", unevenSlots, percent) }
			p.servers = append(p.servers, s)
			capacity += unevenSlots * s.speed / (1 + neighbourFraction*(neighbourSlowdown-1))
			p.at(0, func() { p.switchNeighbour(s) })
		}
		for i := range 32 {
			centre := modelCentres[i%len(modelCentres)]
			p.pickers = append(p.pickers, &Picker{DataCentre: centre, Region: centre[:1], ByCompletion: policy == byCompletion})
		}
		work := 0.0
		for _, k := range modelKinds {
			work += k.share * k.mean.Seconds()
		}
		p.arrive(capacity / work)
		for len(p.events) > 0 {
			e := heap.Pop(&p.events).(event)
			time.Sleep(e.at - p.now)
			p.now = e.at
			e.do()
		}
	})
	return p
}

func (p *pool) at(at time.Duration, do func()) { heap.Push(&p.events, event{at, do}) }

func (p *pool) arrive(rate float64) {
	if p.now >= unevenTime {
		return
	}
	for _, s := range p.servers {
		if p.fault != nil {
			p.fault(s, p.now)
		}
		if s.replaced {
			s.replaced = false
			p.replace(s)
		}
	}
	p.send()
	gap := p.rng.ExpFloat64() / (rate * p.load(p.now))
	p.at(p.now+time.Duration(gap*float64(time.Second)), func() { p.arrive(rate) })
}

// replace puts another server at the place of one, and another node at that of two nodes.
func (p *pool) replace(s *modelServer) {
	old := p.list[s.id]
	p.list[s.id] = &lister.Server{ID: old.ID + "-new", DataCentre: old.DataCentre, Region: old.Region, Slots: old.Slots}
	s.gauger = &gauger.Gauger{}
	for _, i := range []int{s.id, s.id + 16} {
		o := p.pickers[i]
		p.pickers[i] = &Picker{DataCentre: o.DataCentre, Region: o.Region, ByCompletion: o.ByCompletion}
	}
}

func (p *pool) send() {
	r := &modelRequest{sentAt: p.now, picker: p.pickers[p.rng.IntN(len(p.pickers))]}
	if p.rng.Float64() >= modelKinds[0].share {
		r.kind = 1
	}
	k := &modelKinds[r.kind]
	sigma := math.Sqrt(math.Log(1 + k.spread*k.spread))
	r.service = time.Duration(float64(k.mean) * math.Exp(sigma*p.rng.NormFloat64()-sigma*sigma/2))
	if p.policy == optimum {
		r.server = p.servers[p.exactBest(r)]
		r.travel = modelTravel[r.picker.distance(p.list[r.server.id])]
	} else {
		var ok bool
		if r.choice, ok = r.picker.Choose(p.list, nil, Request{Call: true, Cost: scorer.Request{Expected: k.mean, Target: k.target, MaxWait: k.maxWait}}); !ok {
			p.finish(r, false)
			return
		}
		if r.choice.Prediction.Candidates > 0 && r.choice.Prediction.Age >= 0 {
			p.result.ages = append(p.result.ages, r.choice.Prediction.Age)
		}
		for i, s := range p.list {
			if s == r.choice.Server {
				r.server = p.servers[i]
			}
		}
		r.travel = modelTravel[r.picker.distance(r.choice.Server)]
	}
	p.result.choices = append(p.result.choices, modelChoice{p.now, r.server.id})
	p.at(p.now+r.travel/2, func() { p.enter(r) })
}

// exactBest returns the server that completes the request first.
func (p *pool) exactBest(r *modelRequest) int {
	best, earliest := 0, time.Duration(math.MaxInt64)
	for i, s := range p.servers {
		start := p.now
		if s.running >= unevenSlots {
			ends := slices.Sorted(slices.Values(s.ends))
			for _, q := range s.queue {
				ends[0] += s.duration(q.service)
				slices.Sort(ends)
			}
			start = ends[0]
		}
		end := start + s.duration(r.service) + modelTravel[r.picker.distance(p.list[i])]
		if end < earliest {
			best, earliest = i, end
		}
	}
	return best
}

func (s *modelServer) slowdown() float64 {
	if s.neighbour {
		return neighbourSlowdown
	}
	return 1
}

func (s *modelServer) duration(service time.Duration) time.Duration {
	return time.Duration(float64(service) / s.speed * s.slowdown() * s.factor)
}

func (p *pool) switchNeighbour(s *modelServer) {
	if p.now >= unevenTime {
		return
	}
	s.neighbour = p.rng.Float64() < neighbourFraction
	p.at(p.now+neighbourTime/2+time.Duration(p.rng.Float64()*float64(neighbourTime)), func() { p.switchNeighbour(s) })
}

func (p *pool) enter(r *modelRequest) {
	r.work = r.server.gauger.Add(modelKinds[r.kind].mean)
	if r.server.running < unevenSlots {
		p.start(r)
		return
	}
	r.server.queue = append(r.server.queue, r)
	p.at(p.now+modelKinds[r.kind].maxWait, func() {
		if i := slices.Index(r.server.queue, r); i >= 0 {
			r.server.queue = slices.Delete(r.server.queue, i, i+1)
			r.work.End(false)
			p.at(p.now+r.travel/2, func() { p.finish(r, false) })
		}
	})
}

func (p *pool) start(r *modelRequest) {
	s := r.server
	s.running++
	r.work.Start()
	r.startedAt = p.now
	took := s.duration(r.service)
	end := p.now + took
	s.ends = append(s.ends, end)
	p.at(end, func() {
		s.running--
		s.ends = slices.Delete(s.ends, slices.Index(s.ends, end), slices.Index(s.ends, end)+1)
		r.work.End(true)
		s.gauger.Observe("i", s.stated(100*s.slowdown()), time.Now())
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			p.start(next)
		}
		reading := s.gauger.Read()
		report := Report{Result: Served, Running: s.running, Waiting: len(s.queue), Slots: unevenSlots, ServiceTime: took, Backlog: reading.Backlog, Ratio: reading.Ratio, Slowdown: reading.Slowdown}
		p.at(p.now+r.travel/2, func() {
			if r.choice != nil {
				r.choice.Done(report)
			}
			p.finish(r, true)
		})
	})
}

func (p *pool) finish(r *modelRequest, answered bool) {
	if !answered && r.choice != nil {
		r.choice.Done(Report{Result: Full, Running: r.server.running, Waiting: len(r.server.queue), Slots: unevenSlots})
	}
	if r.sentAt < modelWarmUp {
		return
	}
	took := p.now - r.sentAt
	second := p.result.perSecond[int(r.sentAt/time.Second)]
	p.result.sent++
	second[0]++
	if answered && took <= modelKinds[r.kind].target {
		p.result.good++
		second[1]++
	}
	p.result.perSecond[int(r.sentAt/time.Second)] = second
	if answered && r.kind == 0 {
		p.result.latencies = append(p.result.latencies, took)
	}
	if r.server != nil {
		switch r.picker.distance(p.list[r.server.id]) {
		case 1:
			p.result.otherCentre++
		case 2:
			p.result.otherRegion++
		}
	}
}

func (r *poolResult) goodput() float64 { return float64(r.good) / float64(r.sent) }

func (r *poolResult) worstSecond() float64 {
	worst := 1.0
	for _, s := range r.perSecond {
		worst = min(worst, float64(s[1])/float64(s[0]))
	}
	return worst
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[int(q*float64(len(d)-1))]
}

func (r *poolResult) String() string {
	return fmt.Sprintf("in time %.4f, worst second %.3f, p50 %v, p99 %v, other data centre %.3f, other region %.3f, age p50 %v p90 %v",
		r.goodput(), r.worstSecond(), quantile(r.latencies, 0.5).Round(time.Millisecond), quantile(r.latencies, 0.99).Round(time.Millisecond),
		float64(r.otherCentre)/float64(r.sent), float64(r.otherRegion)/float64(r.sent),
		quantile(r.ages, 0.5).Round(time.Millisecond), quantile(r.ages, 0.9).Round(time.Millisecond))
}

// share returns the part of the requests sent from one time to another that went to a server.
func (r *poolResult) share(server int, from, to time.Duration) float64 {
	n, all := 0, 0
	for _, c := range r.choices {
		if c.at >= from && c.at < to {
			all++
			if c.server == server {
				n++
			}
		}
	}
	return float64(n) / float64(max(1, all))
}

func runPolicies(t *testing.T, load func(time.Duration) float64, fault func(*modelServer, time.Duration)) map[string]*poolResult {
	out := make(map[string]*poolResult)
	for _, policy := range []string{byUtilisation, byCompletion, optimum} {
		out[policy] = &runPool(t, policy, 7, load, fault).result
		t.Logf("%-12s %v", policy, out[policy])
	}
	return out
}

// checkGain requires that selection by completion closes at least half of the distance
// between selection by utilisation and the optimum, over all and in the worst second.
func checkGain(t *testing.T, results map[string]*poolResult) {
	t.Helper()
	before, after, best := results[byUtilisation], results[byCompletion], results[optimum]
	if got, want := after.goodput(), (before.goodput()+best.goodput())/2; got < want {
		t.Errorf("in time by completion: got %.4f, want at least %.4f", got, want)
	}
	if got, want := after.worstSecond(), (before.worstSecond()+best.worstSecond())/2; got < want {
		t.Errorf("worst second by completion: got %.4f, want at least %.4f", got, want)
	}
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// Load: a pool whose servers differ in speed by a factor of three and are slowed by
// neighbours for 600 ms at a time, at 0.6 of its capacity.
func TestUnevenServersAt60Percent(t *testing.T) { checkGain(t, runPolicies(t, steady(0.6), nil)) }

// Load: the same at 0.85 of the capacity.
func TestUnevenServersAt85Percent(t *testing.T) { checkGain(t, runPolicies(t, steady(0.85), nil)) }

// Load: the same with a burst of 1.1 times the capacity for 2 s.
func TestUnevenServersBurst(t *testing.T) {
	checkGain(t, runPolicies(t, func(at time.Duration) float64 {
		if at > 4*time.Second && at < 6*time.Second {
			return 1.1
		}
		return 0.7
	}, nil))
}

// Load: 0.7 of the capacity; from 3 s to 5 s one server takes five times as long and states
// that it is as fast as can be. It must not draw more work than a sound server of its
// speed, and must get work again when it has recovered.
func TestSlowServerThatStatesToBeFast(t *testing.T) {
	const liar = 4
	peers := []int{5, 6, 7} // of the same speed
	slowed := func(s *modelServer, at time.Duration) {
		if s.id == liar {
			s.factor, s.stated = 1, statement("100")
			if at > 3*time.Second && at < 5*time.Second {
				s.factor, s.stated = 5, statement("1")
			}
		}
	}
	var slow, slowPeer, recovered, recoveredPeer float64
	for seed := range uint64(4) {
		r := &runPool(t, byCompletion, seed, steady(0.7), slowed).result
		t.Log(r)
		slow += r.share(liar, 4*time.Second, 5*time.Second)
		recovered += r.share(liar, 6*time.Second, unevenTime)
		for _, id := range peers {
			slowPeer += r.share(id, 4*time.Second, 5*time.Second) / float64(len(peers))
			recoveredPeer += r.share(id, 6*time.Second, unevenTime) / float64(len(peers))
		}
	}
	t.Logf("shares while it is slow: %.4f, of sound servers %.4f; from 1 s after its recovery: %.4f, %.4f", slow/4, slowPeer/4, recovered/4, recoveredPeer/4)
	if slow > slowPeer {
		t.Error("the slow server drew more work than sound ones")
	}
	if recovered < recoveredPeer/4 {
		t.Error("the recovered server got less than a quarter of the work of sound ones")
	}
}

// Load: 0.7 of the capacity; every third server belongs to a node of a version that tells
// nothing but the counts of requests.
func TestNodesOfTwoVersions(t *testing.T) {
	old := func(s *modelServer, _ time.Duration) {
		if s.id%3 == 0 {
			s.stated = statement("")
		}
	}
	results := runPolicies(t, steady(0.7), old)
	if got, want := results[byCompletion].goodput(), results[byUtilisation].goodput(); got < want {
		t.Errorf("in time: got %.4f, want at least that by utilisation, %.4f", got, want)
	}
	for id := 0; id < 16; id += 3 {
		if got := results[byCompletion].share(id, modelWarmUp, unevenTime); got < 0.01 {
			t.Errorf("share of server %d of the earlier version: got %.4f, want at least 0.01 of 16 servers", id, got)
		}
	}
}

// Load: 0.7 of the capacity; at 4 s a third of the servers and of the nodes are replaced, so
// that nothing is known of them or by them.
func TestThirdOfTheFleetReplaced(t *testing.T) {
	replaced := make(map[int]bool)
	replace := func(s *modelServer, at time.Duration) {
		if s.id%3 == 0 && at > 4*time.Second && !replaced[s.id] {
			replaced[s.id], s.replaced = true, true
		}
	}
	results := make(map[string]*poolResult)
	for _, policy := range []string{byUtilisation, byCompletion} {
		clear(replaced)
		results[policy] = &runPool(t, policy, 7, steady(0.7), replace).result
		t.Logf("%-12s %v", policy, results[policy])
	}
	if got, want := results[byCompletion].worstSecond(), results[byUtilisation].worstSecond(); got < want {
		t.Errorf("worst second: got %.4f, want at least that by utilisation, %.4f", got, want)
	}
}

// statement returns a load field with a fourth figure, or without one if it is empty.
func statement(figure string) func(float64) string {
	return func(float64) string {
		if figure == "" {
			return "1,0,34"
		}
		return "1,0,34," + figure
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, by := range []string{byUtilisation, byCompletion} {
		b.Run(by, func(b *testing.B) {
			p := &Picker{DataCentre: "a1", Region: "a", ByCompletion: by == byCompletion}
			var list []*lister.Server
			for i := range 33 {
				centre := modelCentres[i%len(modelCentres)]
				s := &lister.Server{ID: fmt.Sprint(i), DataCentre: centre, Region: centre[:1], Slots: unevenSlots}
				list = append(list, s)
				choice, _ := p.Choose([]*lister.Server{s}, nil, Request{})
				choice.Done(Report{Result: Served, Running: 10, Slots: unevenSlots, Backlog: time.Second, Ratio: 1, Slowdown: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := p.Choose(list, nil, Request{Cost: scorer.Request{Expected: 100 * time.Millisecond, Target: time.Second}})
				choice.Done(Report{Result: Served, Running: 10, Slots: unevenSlots, Backlog: time.Second, Ratio: 1, Slowdown: 1})
			}
		})
	}
}
