package picker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

const (
	modelNodes    = 16 // half of them in each region
	modelServers  = 8
	modelSlots    = 10
	modelService  = 100 * time.Millisecond // mean
	modelPatience = 60 * time.Millisecond
	modelDistance = 12 * time.Millisecond // one way between regions
	modelTime     = 40 * time.Second
	modelTries    = 3
)

type (
	// A model is one pool of two regions, a and b, with servers that refuse requests
	// which find no slot in time.
	model struct {
		servers []*lister.Server

		mu      sync.Mutex
		running []int // by index of the server
		waiting []int
	}

	modelCount struct{ asked, refused, crossed atomic.Int64 }
)

func (m *model) run(i int, service time.Duration) Report {
	start := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[i]++
	for m.running[i] >= modelSlots && time.Since(start) < modelPatience {
		m.sleep(2 * time.Millisecond)
	}
	m.waiting[i]--
	report := Report{Result: Full, Slots: modelSlots}
	if m.running[i] < modelSlots {
		m.running[i]++
		m.sleep(service)
		m.running[i]--
		report.Result = Served
	}
	report.Running, report.Waiting = m.running[i], m.waiting[i]
	return report
}

// sleep sleeps without m.mu, which must be held.
func (m *model) sleep(d time.Duration) {
	m.mu.Unlock()
	time.Sleep(d)
	m.mu.Lock()
}

// send sends one request from a node until a server runs it.
func (m *model) send(p *Picker, rq Request, count *modelCount) {
	count.asked.Add(1)
	tried := make(map[string]bool)
	for range modelTries {
		c, ok := p.Choose(m.servers, tried, rq)
		if !ok {
			break
		}
		tried[c.Server.ID] = true
		var way time.Duration
		if c.Server.Region != p.Region {
			way = modelDistance
			count.crossed.Add(1)
		}
		time.Sleep(way)
		var i int
		_, _ = fmt.Sscan(c.Server.ID, &i)
		report := m.run(i, time.Duration(rand.ExpFloat64()*float64(modelService)))
		time.Sleep(way)
		c.Done(report)
		if report.Result == Served {
			return
		}
	}
	count.refused.Add(1)
}

// runModel sends requests that are bound to region a from both regions, and free ones
// from each, at rates in requests per second.
func runModel(t *testing.T, reserve, boundRate, freeRateA, freeRateB float64) (bound, free *modelCount) {
	t.Helper()
	bound, free = &modelCount{}, &modelCount{}
	synctest.Test(t, func(*testing.T) {
		m := &model{running: make([]int, modelServers), waiting: make([]int, modelServers)}
		place := func(i int) (dataCentre, region string) {
			region = []string{"a", "b"}[i%2]
			return fmt.Sprint(region, i/2%2), region
		}
		for i := range modelServers {
			dataCentre, region := place(i)
			m.servers = append(m.servers, &lister.Server{ID: fmt.Sprint(i), Pool: "p", DataCentre: dataCentre, Region: region, Slots: modelSlots})
		}
		var wg sync.WaitGroup
		for i := range modelNodes {
			p := &Picker{HomeReserve: reserve}
			p.DataCentre, p.Region = place(i)
			start := func(rate float64, rq Request, count *modelCount) {
				wg.Go(func() {
					for end := time.Now().Add(modelTime); time.Now().Before(end); {
						time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
						wg.Go(func() { m.send(p, rq, count) })
					}
				})
			}
			start(boundRate/modelNodes, Request{Rank: 1, Regions: []string{"a"}}, bound)
			start([]float64{freeRateA, freeRateB}[i%2]/(modelNodes/2), Request{Rank: 1}, free)
		}
		wg.Wait()
	})
	return bound, free
}

func (c *modelCount) refusedFraction() float64 {
	return float64(c.refused.Load()) / float64(c.asked.Load())
}

func (c *modelCount) String() string {
	n := float64(c.asked.Load())
	return fmt.Sprintf("%.0f asked, refused %.4f, to the other region %.3f", n, c.refusedFraction(), float64(c.crossed.Load())/n)
}

// The load: requests that may only be served in a region use three quarters of its
// slots, those of its own callers that may go anywhere another 0.4, and the region beside
// it has half of its slots free for them. There is room for all, so the optimum is that
// nothing is refused. Without a reserve, requests that may go anywhere fill the home
// region to its limit, and bound ones are refused.
func TestHomeReserve(t *testing.T) {
	bound, free := runModel(t, 0, 300, 150, 60)
	boundNow, freeNow := runModel(t, 0.35, 300, 150, 60)
	t.Logf("no reserve: bound %v; free %v", bound, free)
	t.Logf("a reserve: bound %v; free %v", boundNow, freeNow)
	if got, limit := boundNow.refusedFraction(), 0.8*bound.refusedFraction(); got > limit {
		t.Errorf("bound requests refused: got %.4f, want at most %.4f, four fifths of those without a reserve", got, limit)
	}
	if got, limit := freeNow.refusedFraction(), free.refusedFraction(); got > limit {
		t.Errorf("free requests refused: got %.4f, want at most %.4f, as without a reserve", got, limit)
	}
}

// Guards against a reserve where nothing is bound to the region, and against counts that
// are kept for pools without homes.
func TestHomeReserveWithoutHomes(t *testing.T) {
	p := &Picker{DataCentre: "a1", Region: "a", HomeReserve: 0.35}
	list := servers("a1", "b1")
	for _, rq := range []Request{{}, {Regions: []string{"a", "b"}}} {
		c, _ := p.Choose(list, nil, rq)
		c.Done(Report{})
	}
	if len(p.homes) != 0 {
		t.Errorf("pools with counts: got %d, want 0", len(p.homes))
	}
	c, _ := p.Choose(list, nil, Request{Regions: []string{"b"}})
	c.Done(Report{})
	now := time.Now()
	if got := p.spilloverFor(list[1], Request{}, now); got.local != regionSpillover || got.other >= crossRegionLimit {
		t.Errorf("limits while requests are bound to the other region: got %+v, want %v here and less than %v there", got, regionSpillover, crossRegionLimit)
	}
	if got, want := p.spilloverFor(list[1], Request{Regions: []string{"b"}}, now), (spillover{regionSpillover, crossRegionLimit}); got != want {
		t.Errorf("limits of a bound request: got %+v, want %+v", got, want)
	}
	p.pruneHomes(now.Add(time.Minute))
	if len(p.homes) != 0 {
		t.Errorf("pools with counts after a minute without requests: got %d, want 0", len(p.homes))
	}
}
