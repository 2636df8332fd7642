package inheritor

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/process/estimator"
	"apricotrudder.dev/apricotd/internal/process/throttler"
)

const (
	step        = 10 * time.Millisecond
	duration    = 20 * time.Second
	window      = 2 * time.Second
	callTime    = 75 * time.Millisecond // between the calls of a tree
	slots       = 40
	serviceTime = 40 * time.Millisecond
	maxQueue    = 40
	roots       = 24
	mids        = 8
)

type (
	// A kind of request: a call tree whose root server makes the calls, or, without
	// any, a request that the deepest pool serves itself.
	kind struct {
		name      string
		rank      int
		calls     int
		perSecond float64
	}

	// A run is one request after its admission.
	run struct {
		kind      *kind
		root, mid int
		tree      Tree
		left      int // calls
		end       func()
	}

	// A chain is a model of call trees over two pools, of which the deeper one is
	// short of room. All state but that of the estimator, throttlers and inheritors
	// is events by time step.
	chain struct {
		inherit    bool // whether calls state what applied at their roots
		weigh      bool // whether reports tell how many calls a run makes
		estimator  *estimator.Estimator
		roots      [roots]throttler.Throttler
		mids       [mids]throttler.Throttler
		inheritors [mids]*Inheritor
		queue      float64
		due        map[int][]func()
		now        int
		served     []float64 // capacity used by requests that came through, by window
	}
)

// Guards against a pool that is overloaded and idle by turns while it is short of room for
// many seconds: trees are refused at roots two hops away, which hear of the excess late, and
// some requests take four times as much of the room as others.
// Load: a burst of 2.5 times the usual, with calls of trees of two ranks and less urgent
// direct requests, where refused callers return once.
func TestSustainedOverloadTwoHopsAway(t *testing.T) {
	policies := []*chain{{}, {inherit: true}, {weigh: true}, {inherit: true, weigh: true}}
	var worst, mean []float64
	for _, policy := range policies {
		synctest.Test(t, func(t *testing.T) {
			w, m := policy.play()
			worst, mean = append(worst, w), append(mean, m)
		})
		t.Logf("inherited %v, weighed %v: capacity used by what came through %.3f, in the worst window %.3f", policy.inherit, policy.weigh, mean[len(mean)-1], worst[len(worst)-1])
	}
	before, now := 0, len(policies)-1
	if got, want := mean[now], mean[before]+(1-mean[before])/2; got < want {
		t.Errorf("capacity used: got %.3f, want at least %.3f, half of what the baseline loses", got, want)
	}
	if got, want := worst[now], worst[before]+(1-worst[before])/2; got < want {
		t.Errorf("capacity used in the worst window: got %.3f, want at least %.3f, half of what the baseline loses", got, want)
	}
}

// Guards against a peer that states an impossible fraction: it outlasted its runs.
func TestImpossibleFractionsAreBounded(t *testing.T) {
	i := &Inheritor{PerRun: func(string, string) float64 { return 2 }}
	endUsual := i.Begin("order", Tree{Excess: 0.4, Bottleneck: "stock"})
	defer endUsual()
	for _, stated := range []float64{math.MaxFloat64, 1e18, -math.MaxFloat64} {
		impossible := Tree{Refused: stated, Excess: stated, Bottleneck: "stock"}
		end := []func(){i.Begin("order", impossible), i.Begin("order", impossible)}
		if got, ok := i.Inherit("read", "stock"); !ok || got.Refused < 0 || got.Refused > 1 || got.Excess < 0 || got.Excess > 1 {
			t.Errorf("while two runs state %v: got %v, %v, want fractions from 0 to 1", stated, got, ok)
		}
		for _, e := range end {
			e()
		}
		if got, ok := i.Inherit("read", "stock"); !ok || math.Abs(got.Refused-0.4) > 1e-9 || math.Abs(got.Excess-0.4) > 1e-9 {
			t.Errorf("after two runs that stated %v: got %v, %v, want 0.4", stated, got, ok)
		}
	}
}

// Guards against a pool with room that takes its demand for several times too high, because
// requests of its route state the excess of a deeper pool although all refusals there fall
// on others.
// Load: urgent trees pass a pool to one that is short of room, where less urgent direct
// requests are refused.
func TestOnlyTheBottleneckCountsItsExcess(t *testing.T) {
	i := &Inheritor{PerRun: func(_, call string) float64 {
		return map[string]float64{"read": 4, "price": 1}[call]
	}}
	if _, ok := i.Inherit("read", "stock"); ok {
		t.Error("a call without any run has inherited")
	}
	for range 3 {
		defer i.Begin("order", Tree{Excess: 0.7, Bottleneck: "stock"})()
	}
	defer i.Begin("search", Tree{Refused: 0.4})()
	for _, c := range []struct {
		call, pool string
		want       float64
	}{{"read", "stock", 0.625}, {"price", "prices", 0.1}} {
		got, ok := i.Inherit(c.call, c.pool)
		if !ok || math.Abs(got.Refused-c.want) > 1e-9 || got.Bottleneck != "stock" || math.Abs(got.Excess-0.7) > 1e-9 {
			t.Errorf("call %s to pool %s: got %+v, %v, want %.3f refused and the excess of stock", c.call, c.pool, got, ok, c.want)
		}
	}
}

func (m *chain) play() (worst, mean float64) {
	m.due = make(map[int][]func())
	m.estimator = &estimator.Estimator{Load: func() estimator.Load {
		return estimator.Load{Running: int(min(slots, m.queue)), Waiting: int(max(0, m.queue-slots)), Slots: slots, MeanServiceTime: serviceTime}
	}}
	for i := range m.inheritors {
		m.inheritors[i] = &Inheritor{PerRun: func(string, string) float64 { return 4 }}
	}
	kinds := []*kind{{"grant", 0, 4, 60}, {"search", 1, 4, 60}, {"check", 2, 0, 200}}
	for ; m.now < int(duration/step); m.now++ {
		for _, k := range kinds {
			for n := k.perSecond * step.Seconds() * 2.5; n > 0; n-- {
				if rand.Float64() < n {
					m.arrive(k, true)
				}
			}
		}
		events := m.due[m.now]
		delete(m.due, m.now)
		for _, event := range events {
			event()
		}
		m.queue = max(0, m.queue-slots*step.Seconds()/serviceTime.Seconds())
		if m.now%int(100*time.Millisecond/step) == 0 {
			m.estimator.Step(100 * time.Millisecond)
		}
		time.Sleep(step)
	}
	// The first windows belong to the onset.
	windows := m.served[2:]
	worst = 1
	for _, w := range windows {
		used := w / (slots * window.Seconds() / serviceTime.Seconds())
		worst = min(worst, used)
		mean += used / float64(len(windows))
	}
	return worst, mean
}

func (m *chain) after(d time.Duration, event func()) {
	at := m.now + max(1, int(d/step))
	m.due[at] = append(m.due[at], event)
}

func (m *chain) arrive(k *kind, first bool) {
	root := rand.N(roots)
	fraction, overload := m.roots[root].ThrottleFraction(k.name, k.rank)
	if rand.Float64() < fraction {
		if first {
			m.after(600*time.Millisecond+rand.N(300*time.Millisecond), func() { m.arrive(k, false) })
		}
		return
	}
	r := &run{kind: k, root: root, mid: rand.N(mids), left: max(1, k.calls)}
	r.tree = Tree{Refused: fraction, Excess: max(0, overload.Excess), Bottleneck: "stock"}
	if m.inherit && k.calls == 0 {
		r.tree.Refused = r.tree.Excess
	}
	if k.calls > 0 {
		r.end = m.inheritors[r.mid].Begin(k.name, r.tree)
	}
	m.call(r)
}

// call plays the next call of a run, or the run itself if it needs none.
func (m *chain) call(r *run) {
	refused := r.tree.Refused
	if r.kind.calls > 0 {
		refused = max(0, m.mids[r.mid].Estimate("read").Excess)
		if tree, ok := m.inheritors[r.mid].Inherit("read", "stock"); ok && m.inherit {
			refused = tree.Refused
		}
	}
	accepted := m.queue < slots+maxQueue
	if accepted {
		m.queue++
		m.estimator.RecordAdmitted(refused)
	} else {
		m.estimator.RecordRefused()
	}
	m.after(serviceTime, func() {
		o := throttler.Overload{Excess: m.estimator.Excess(), Bottleneck: "stock", Demand: m.estimator.Demand()}
		if r.kind.calls == 0 {
			m.finish(r, accepted, o)
			return
		}
		m.mids[r.mid].Observe("read", "stock", o)
		if r.left--; accepted && r.left > 0 {
			m.after(callTime-serviceTime, func() { m.call(r) })
			return
		}
		r.end()
		o.Excess = m.mids[r.mid].Estimate("read").Excess
		if m.weigh {
			o.RequestsPerRun = 4
		}
		m.finish(r, accepted, o)
	})
}

func (m *chain) finish(r *run, ok bool, o throttler.Overload) {
	m.roots[r.root].Observe(r.kind.name, fmt.Sprint(r.mid), o)
	i := int(time.Duration(m.now) * step / window)
	for len(m.served) <= i {
		m.served = append(m.served, 0)
	}
	if ok {
		m.served[i] += float64(max(1, r.kind.calls))
	}
}
