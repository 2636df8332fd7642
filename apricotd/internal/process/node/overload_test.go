package node

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/standin/responder"
)

// Parameters of the overload experiment: the licensing service, which the
// catalogue service calls, slows down to a third of its speed while demand rises,
// and callers retry immediately after every failure.
const (
	normalDemand     = 120.0 // requests per second, 60% of the licensing service's capacity
	surgeDemand      = 600.0
	callerRetries    = 3
	callerTimeout    = 2 * time.Second
	baselineDuration = 5 * time.Second
	surgeDuration    = 15 * time.Second
	recoveryDuration = 15 * time.Second
	surgeSlowdown    = 3 // factor of the licensing service time
	recoveryStep     = 500 * time.Millisecond
)

type (
	// A policy is one configuration of overload control.
	policy struct {
		name       string
		slots      int     // per backend server, as set in the pools table
		retryRatio float64 // retries allowed per answered request
	}

	// An experiment runs one policy and records the result of every request.
	experiment struct {
		f     *fleet
		start time.Time

		mu      sync.Mutex
		samples []sample
	}

	sample struct {
		arrival      time.Duration // since the start of the experiment
		organisation string
		critical     bool
		answered     bool
	}

	// A result summarizes an experiment from the callers' point of view.
	result struct {
		Policy            string  `json:"policy"`
		Goodput           float64 `json:"goodputPerSecond"` // during the surge
		CriticalAnswered  float64 `json:"criticalWhole"`    // share of critical requests answered during the surge
		WorstOrganisation float64 `json:"worstOrganisation"`
		WastedRuns        float64 `json:"wastedRuns"` // share of licensing runs that did not lead to an answer
		RecoverySeconds   float64 `json:"recoverySeconds"`
		BaselineAnswered  float64 `json:"calmAnswered"` // share of requests answered before the surge
	}
)

var policyName = flag.String("policy", "", "policy that TestMeasureOverload runs; all if empty")

// TestMeasureOverload compares the current policy with concurrency limits alone
// and with no overload control.
func TestMeasureOverload(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, p := range []policy{
		{name: "none", slots: 5000, retryRatio: 1e9},
		{name: "limits only", slots: 2, retryRatio: 1e9},
		{name: "present", slots: 2, retryRatio: 0.1},
	} {
		if *policyName != "" && *policyName != p.name {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			data, err := json.Marshal(runExperiment(t, p))
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s", data)
		})
	}
}

func runExperiment(t *testing.T, p policy) result {
	f := newFleet(t)
	defer f.close()
	tables := defaultTables()
	tables["pools"] = fmt.Sprintf("[[pool]]\nname = \"catalogue\"\nslots = 200\nconnections = 10000\nqueueWait = \"50ms\"\n[[pool]]\nname = \"licensing\"\nslots = %d\nconnections = 10000\nqueueWait = \"50ms\"\n", p.slots)
	tables["routes"] = strings.ReplaceAll(tables["routes"], "timeout = \"3s\"", "timeout = \"2s\"") + `
[[route]]
name = "terms"
method = "GET"
path = "/licensing/terms"
pool = "licensing"
access = "internal"
class = "normal"
idempotent = true
timeout = "2s"
`
	tables["organisations"] = ""
	for i := range 4 {
		tables["organisations"] += fmt.Sprintf("[[organisation]]\nname = \"o%d\"\nrate = 5000\nburst = 5000\nkeys = [%q]\n", i, digestOf(fmt.Sprintf("o%d", i)))
	}
	f.setUpBackend = func(id string, m *machine) {
		m.backend = &responder.Responder{Slots: 2, Connections: 10_000, ServiceTime: 40 * time.Millisecond}
		if strings.Contains(id, "catalogue") {
			m.backend = &responder.Responder{Slots: 200, Connections: 10_000, ServiceTime: 5 * time.Millisecond}
			m.backend.Handles = []responder.Handle{{Path: "/catalogue", Calls: []responder.Call{{Method: "GET", Path: "/licensing/terms"}}}}
		}
	}
	f.start([]string{"catalogue", "licensing"}, 1, tables)
	for _, m := range f.machines {
		m.node.router.Budget.Ratio, m.node.router.Budget.Max = p.retryRatio, max(10, p.retryRatio)
	}
	e := &experiment{f: f, start: time.Now()}
	e.run()
	return e.evaluate(p)
}

func (e *experiment) run() {
	var wg sync.WaitGroup
	defer wg.Wait()
	r := rand.New(rand.NewPCG(1, 9))
	ids := e.f.ids()
	time.AfterFunc(baselineDuration, func() { e.slowDown(surgeSlowdown) })
	time.AfterFunc(baselineDuration+surgeDuration, func() { e.slowDown(1) })
	for {
		at := time.Since(e.start)
		if at > baselineDuration+surgeDuration+recoveryDuration {
			return
		}
		demand := normalDemand
		if at > baselineDuration && at < baselineDuration+surgeDuration {
			demand = surgeDemand
		}
		time.Sleep(time.Duration(r.ExpFloat64() / demand * float64(time.Second)))
		s := sample{arrival: time.Since(e.start), organisation: "o0", critical: r.IntN(10) == 0}
		if r.IntN(2) == 0 {
			s.organisation = fmt.Sprintf("o%d", 1+r.IntN(3))
		}
		via := ids[r.IntN(len(ids))]
		id := fmt.Sprintf("id-%d", s.arrival)
		wg.Go(func() { e.send(s, via, id) })
	}
}

func (e *experiment) slowDown(factor float64) {
	for id, m := range e.f.machines {
		if strings.Contains(id, "licensing") {
			m.backend.SlowDown(factor)
		}
	}
}

func (e *experiment) send(s sample, via, id string) {
	for range 1 + callerRetries {
		var a outcome
		if s.critical {
			a = e.f.send(via, "POST", "/licensing/grants", s.organisation, id, nil)
		} else {
			a = e.f.send(via, "GET", "/catalogue/1", s.organisation, "", nil)
		}
		if a.status == 200 {
			s.answered = true
			break
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = append(e.samples, s)
}

func (e *experiment) evaluate(p policy) result {
	r := result{Policy: p.name, WorstOrganisation: 1}
	inSurge := func(s sample) bool { return s.arrival > baselineDuration && s.arrival < baselineDuration+surgeDuration }
	countAnswered := func(include func(sample) bool) (answered, total float64) {
		for _, s := range e.samples {
			if include(s) {
				total++
				if s.answered {
					answered++
				}
			}
		}
		return answered, max(total, 1)
	}
	answered, _ := countAnswered(inSurge)
	r.Goodput = answered / surgeDuration.Seconds()
	answered, total := countAnswered(func(s sample) bool { return inSurge(s) && s.critical })
	r.CriticalAnswered = answered / total
	answered, total = countAnswered(func(s sample) bool { return s.arrival < baselineDuration })
	r.BaselineAnswered = answered / total
	surgeAnswered, surgeTotal := countAnswered(inSurge)
	for i := range 4 {
		answered, total := countAnswered(func(s sample) bool { return inSurge(s) && s.organisation == fmt.Sprintf("o%d", i) })
		r.WorstOrganisation = min(r.WorstOrganisation, (answered/total)/max(surgeAnswered/surgeTotal, 1e-9))
	}
	runs, answered := 0, 0.0
	for id, m := range e.f.machines {
		if strings.Contains(id, "licensing") {
			runs += m.backend.Served()
		}
	}
	answered, _ = countAnswered(func(sample) bool { return true })
	r.WastedRuns = 1 - answered/float64(runs)
	r.RecoverySeconds = e.recoveryTime()
	return r
}

// recoveryTime returns the seconds from the end of the surge until at least 95%
// of the requests in every later one-second window are answered.
func (e *experiment) recoveryTime() float64 {
	end := baselineDuration + surgeDuration
	recoveredAt := time.Duration(0)
	for offset := time.Duration(0); offset+time.Second <= recoveryDuration; offset += recoveryStep {
		answered, total := 0.0, 0.0
		for _, s := range e.samples {
			if s.arrival >= end+offset && s.arrival < end+offset+time.Second {
				total++
				if s.answered {
					answered++
				}
			}
		}
		if answered < 0.95*total {
			recoveredAt = offset + time.Second
		}
	}
	return recoveredAt.Seconds()
}
