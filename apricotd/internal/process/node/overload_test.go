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

// The overload experiment: a deep service slows down to a third while demand
// rises, and callers send again at once after every failure.
const (
	normalDemand  = 120.0 // requests per second, 60% of the deep service's capacity
	surgeDemand   = 600.0
	callerRetries = 3
	callerTimeout = 2 * time.Second
	calmFor       = 5 * time.Second
	surgeFor      = 15 * time.Second
	watchFor      = 15 * time.Second
	slowdown      = 3
	binWidth      = 500 * time.Millisecond
)

type (
	// A policy is one way of dealing with overload.
	policy struct {
		name   string
		slots  int     // per backend server, as the pools table states
		budget float64 // retries that one answer earns
	}

	// An experiment runs one policy and keeps account.
	experiment struct {
		f     *fleet
		begun time.Time

		mu   sync.Mutex
		done []sample
	}

	sample struct {
		at           time.Duration // of arrival
		organisation string
		critical     bool
		answered     bool
	}

	// A result is what the users measure.
	result struct {
		Policy            string  `json:"policy"`
		Goodput           float64 `json:"goodputPerSecond"` // while the trigger lasts
		CriticalWhole     float64 `json:"criticalWhole"`    // share of grants answered
		WorstOrganisation float64 `json:"worstOrganisation"`
		Wasted            float64 `json:"wastedRuns"` // share of deep runs without an answer
		RecoverySeconds   float64 `json:"recoverySeconds"`
		Calm              float64 `json:"calmAnswered"` // share answered before the trigger
	}
)

var onlyPolicy = flag.String("policy", "", "policy that TestMeasureOverload runs; all if empty")

// TestMeasureOverload compares the present policy with no control at all.
func TestMeasureOverload(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, p := range []policy{
		{name: "none", slots: 5000, budget: 1e9},
		{name: "limits only", slots: 2, budget: 1e9},
		{name: "present", slots: 2, budget: 0.1},
	} {
		if *onlyPolicy != "" && *onlyPolicy != p.name {
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
	f.prepare = func(id string, m *machine) {
		m.backend = &responder.Responder{Slots: 2, Connections: 10_000, ServiceTime: 40 * time.Millisecond}
		if strings.Contains(id, "catalogue") {
			m.backend = &responder.Responder{Slots: 200, Connections: 10_000, ServiceTime: 5 * time.Millisecond}
			m.backend.Handles = []responder.Handle{{Path: "/catalogue", Calls: []responder.Call{{Method: "GET", Path: "/licensing/terms"}}}}
		}
	}
	f.start([]string{"catalogue", "licensing"}, 1, tables)
	for _, m := range f.machine {
		m.node.router.Budget.Ratio, m.node.router.Budget.Max = p.budget, max(10, p.budget)
	}
	e := &experiment{f: f, begun: time.Now()}
	e.run()
	return e.judge(p)
}

func (e *experiment) run() {
	var wg sync.WaitGroup
	defer wg.Wait()
	r := rand.New(rand.NewPCG(1, 9))
	ids := e.f.ids()
	time.AfterFunc(calmFor, func() { e.slow(slowdown) })
	time.AfterFunc(calmFor+surgeFor, func() { e.slow(1) })
	for {
		at := time.Since(e.begun)
		if at > calmFor+surgeFor+watchFor {
			return
		}
		demand := normalDemand
		if at > calmFor && at < calmFor+surgeFor {
			demand = surgeDemand
		}
		time.Sleep(time.Duration(r.ExpFloat64() / demand * float64(time.Second)))
		s := sample{at: time.Since(e.begun), organisation: "o0", critical: r.IntN(10) == 0}
		if r.IntN(2) == 0 {
			s.organisation = fmt.Sprintf("o%d", 1+r.IntN(3))
		}
		via := ids[r.IntN(len(ids))]
		id := fmt.Sprintf("id-%d", s.at)
		wg.Go(func() { e.send(s, via, id) })
	}
}

func (e *experiment) slow(factor float64) {
	for id, m := range e.f.machine {
		if strings.Contains(id, "licensing") {
			m.backend.SlowDown(factor)
		}
	}
}

func (e *experiment) send(s sample, via, id string) {
	for range 1 + callerRetries {
		var a answer
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
	e.done = append(e.done, s)
}

func (e *experiment) judge(p policy) result {
	r := result{Policy: p.name, WorstOrganisation: 1}
	surge := func(s sample) bool { return s.at > calmFor && s.at < calmFor+surgeFor }
	share := func(keep func(sample) bool) (n, of float64) {
		for _, s := range e.done {
			if keep(s) {
				of++
				if s.answered {
					n++
				}
			}
		}
		return n, max(of, 1)
	}
	n, _ := share(surge)
	r.Goodput = n / surgeFor.Seconds()
	n, of := share(func(s sample) bool { return surge(s) && s.critical })
	r.CriticalWhole = n / of
	n, of = share(func(s sample) bool { return s.at < calmFor })
	r.Calm = n / of
	all, allOf := share(surge)
	for i := range 4 {
		n, of := share(func(s sample) bool { return surge(s) && s.organisation == fmt.Sprintf("o%d", i) })
		r.WorstOrganisation = min(r.WorstOrganisation, (n/of)/max(all/allOf, 1e-9))
	}
	runs, answered := 0, 0.0
	for id, m := range e.f.machine {
		if strings.Contains(id, "licensing") {
			runs += m.backend.Served()
		}
	}
	answered, _ = share(func(sample) bool { return true })
	r.Wasted = 1 - answered/float64(runs)
	r.RecoverySeconds = e.recovery()
	return r
}

// recovery is the time from the end of the trigger to the first moment after
// which 95% of the requests of every second are answered.
func (e *experiment) recovery() float64 {
	end := calmFor + surgeFor
	recovered := time.Duration(0)
	for at := time.Duration(0); at+time.Second <= watchFor; at += binWidth {
		n, of := 0.0, 0.0
		for _, s := range e.done {
			if s.at >= end+at && s.at < end+at+time.Second {
				of++
				if s.answered {
					n++
				}
			}
		}
		if n < 0.95*of {
			recovered = at + time.Second
		}
	}
	return recovered.Seconds()
}
