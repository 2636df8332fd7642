package warmer

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

// What happens next in a script.
const (
	burst      = iota // requests arrive at once
	newServer         // another server starts at the address, cold
	chill             // the server becomes cold again
	newNode           // the node is killed and starts again
	unreached         // a connection fails
	evacuation        // the data centre is evacuated, or taken back with its server cold
	kinds
)

const (
	testColdStart = 3 * time.Second
	tick          = 5 * time.Millisecond
	nodeStart     = 50 * time.Millisecond // least time in which a node starts
)

type (
	event struct {
		after    time.Duration
		kind     int
		requests int
	}

	// A script is drawn before it is played in virtual time.
	script struct {
		coldRate, overshoot, slack float64
		steadyRate                 float64 // requests per second that arrive all the time
		events                     []event
	}

	// A model is a server that counts what it gets while it is cold, behind a Warmer.
	model struct {
		script
		warmer    *Warmer
		id        string
		coldUntil time.Time
		evacuated bool
		waiting   float64
		arrivals  []time.Time // while it is cold
		proved    bool        // the last health check since the last doubt found it warm
		believed  []time.Time // those of arrivals that came while it was proved
	}
)

func drawScript(t *rapid.T) script {
	s := script{
		coldRate:   rapid.SampledFrom([]float64{6, 13, 60}).Draw(t, "coldRate"),
		overshoot:  rapid.SampledFrom([]float64{0, 1, 1.5, 3}).Draw(t, "overshoot"),
		slack:      rapid.SampledFrom([]float64{6, 8, 30}).Draw(t, "slack"),
		steadyRate: rapid.SampledFrom([]float64{0, 5, 40, 400}).Draw(t, "steadyRate"),
	}
	for range rapid.IntRange(1, 25).Draw(t, "events") {
		s.events = append(s.events, event{
			after:    time.Duration(rapid.IntRange(0, 1500).Draw(t, "afterMs")) * time.Millisecond,
			kind:     rapid.IntRange(0, kinds-1).Draw(t, "kind"),
			requests: rapid.IntRange(0, 100).Draw(t, "requests"),
		})
	}
	return s
}

func (m *model) startNode() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m.warmer = &Warmer{Overshoot: m.overshoot, Slack: m.slack, Log: log}
	m.warmer.SetPool(testColdStart, m.coldRate)
	m.warmer.SetEvacuated(m.evacuated)
}

func (m *model) arrive() {
	now := time.Now()
	if now.Before(m.coldUntil) {
		m.arrivals = append(m.arrivals, now)
		if m.proved {
			m.believed = append(m.believed, now)
		}
	}
}

// step plays one tick: the health check that is due, and the requests that may start.
func (m *model) step() {
	if d, ok := m.warmer.UntilProbe(); ok && d == 0 {
		p := m.warmer.BeginProbe()
		m.arrive()
		left := max(0, time.Until(m.coldUntil))
		time.Sleep(time.Millisecond)
		m.warmer.Observe(p, m.id, Statement{Left: left})
		m.proved = left == 0 && !m.evacuated
	}
	m.waiting = min(300, m.waiting+m.steadyRate*tick.Seconds())
	for m.waiting >= 1 && m.warmer.Wait(time.Now(), 1) == 0 && !m.evacuated {
		m.warmer.Take(time.Now())
		m.arrive()
		m.waiting--
	}
}

func (m *model) apply(e event) {
	m.proved = m.proved && (e.kind == burst || e.kind == chill)
	switch e.kind {
	case burst:
		m.waiting = min(300, m.waiting+float64(e.requests))
	case newServer:
		m.id += "x"
		m.coldUntil = time.Now().Add(testColdStart)
		m.arrivals, m.believed = nil, nil
		m.warmer.SetServer(m.id) // by its answer to a request for the old one
	case chill:
		m.coldUntil = time.Now().Add(testColdStart)
	case newNode:
		time.Sleep(nodeStart)
		m.startNode()
	case unreached:
		m.warmer.Doubt("unreachable")
	case evacuation:
		m.evacuated = !m.evacuated
		m.coldUntil = time.Now().Add(testColdStart)
		m.warmer.SetEvacuated(m.evacuated)
	}
}

// check fails the test if the server got more in a second than its bound. Requests that
// were taken before a health check could tell that it had become cold may exceed it, in
// addition to those of a cold time that ended within the same second.
func (m *model) check(t *rapid.T) {
	const extraProbes = 2
	for i, first := range m.arrivals {
		allowed := m.warmer.Bound()
		if believed := countWithin(m.believed, first); believed > 0 {
			before := 0
			for _, at := range m.arrivals[i:] {
				if at.Before(firstSince(m.believed, first)) {
					before++
				}
			}
			allowed = float64(before) + max(allowed, float64(believed+extraProbes))
		}
		if n := countWithin(m.arrivals[i:], first); float64(n) > allowed {
			t.Fatalf("requests at the cold server in one second: got %d, want at most %v", n, allowed)
		}
	}
}

func firstSince(times []time.Time, from time.Time) time.Time {
	for _, at := range times {
		if !at.Before(from) {
			return at
		}
	}
	return from
}

func countWithin(times []time.Time, first time.Time) int {
	n := 0
	for _, at := range times {
		if d := at.Sub(first); d >= 0 && d < time.Second {
			n++
		}
	}
	return n
}

// Guards against more requests in any second at a cold server than its bound, over drawn
// arrivals, restarts of server and node, doubts and evacuations.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{script: drawScript(r), id: "i"}
		synctest.Test(t, func(*testing.T) {
			m.coldUntil = time.Now().Add(testColdStart)
			m.startNode()
			for _, e := range m.events {
				for end := time.Now().Add(e.after); time.Now().Before(end); time.Sleep(tick) {
					m.step()
				}
				m.apply(e)
			}
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(tick) {
				m.step()
			}
		})
		m.check(r)
	})
}

// Guards against a limit that lasts longer than the server is cold, and against one so low
// that it wastes what a cold server takes.
func TestColdServerGetsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &model{script: script{coldRate: 13, overshoot: 1.5, slack: 8, steadyRate: 400}, id: "i"}
		m.coldUntil = time.Now().Add(testColdStart)
		m.startNode()
		start := time.Now()
		for m.warmer.IsLimited() || time.Since(start) < time.Second {
			if time.Since(start) > 2*testColdStart {
				t.Fatal("limit after the cold time: got one, want none")
			}
			m.step()
			time.Sleep(tick)
		}
		if got, want := time.Since(start), testColdStart+250*time.Millisecond; got > want {
			t.Errorf("limited: got %v, want at most %v", got, want)
		}
		if got, want := len(m.arrivals), int(0.7*27*testColdStart.Seconds()); got < want {
			t.Errorf("requests at the cold server: got %d, want at least %d", got, want)
		}
	})
}

// Guards against evidence that is older than what put the state in doubt.
func TestOldEvidenceIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name  string
		doubt func(w *Warmer)
	}{
		{"failed connection", func(w *Warmer) { w.Doubt("unreachable") }},
		{"new server", func(w *Warmer) { w.SetServer("new") }},
		{"evacuation", func(w *Warmer) { w.SetEvacuated(true) }},
		{"taken back", func(w *Warmer) { w.SetEvacuated(true); w.SetEvacuated(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &model{script: script{coldRate: 13}, id: "i"}
				m.startNode()
				w := m.warmer
				w.Observe(w.BeginProbe(), "i", Statement{})
				if w.IsLimited() {
					t.Fatal("warm server: got a limit, want none")
				}
				late := w.BeginProbe()
				time.Sleep(time.Millisecond)
				c.doubt(w)
				w.Observe(late, "i", Statement{})
				if !w.IsLimited() {
					t.Error("response to a health check from before: got no limit, want one")
				}
			})
		})
	}
}

// Guards against a warm server that gets almost nothing for a probe interval because one
// connection to it has failed, and against probing without a pause while it is down.
func TestDoubtIsClearedUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &model{script: script{coldRate: 13}, id: "i"}
		m.startNode()
		w, wanted := m.warmer, 0
		w.WantProbe = func() { wanted++ }
		w.Observe(w.BeginProbe(), "i", Statement{})
		w.Doubt("unreachable")
		w.Doubt("unreachable")
		if d, ok := w.UntilProbe(); !ok || d != 0 || wanted != 1 {
			t.Errorf("after a failed connection: got a health check in %v, asked for %d times, want one at once", d, wanted)
		}
		w.BeginProbe()
		w.Doubt("health check not answered")
		if d, ok := w.UntilProbe(); !ok || d != unknownProbeGap || wanted != 1 {
			t.Errorf("after an unanswered health check: got the next in %v, asked for %d times, want it after %v", d, wanted, unknownProbeGap)
		}
		if got := w.Left(); got > unknownProbeGap {
			t.Errorf("cold time left of a server in doubt: got %v, want at most the time until the next health check", got)
		}
		w.SetEvacuated(true)
		w.BeginProbe()
		if d, _ := w.UntilProbe(); d != maxProbeGap {
			t.Errorf("while evacuated: got the next health check in %v, want it after %v", d, maxProbeGap)
		}
		w.SetEvacuated(false)
		if d, _ := w.UntilProbe(); d != 0 || wanted != 2 {
			t.Errorf("taken back: got a health check in %v, asked for %d times, want one at once", d, wanted)
		}
	})
}

func TestParseStatement(t *testing.T) {
	for _, c := range []struct {
		value string
		want  Statement
	}{
		{"", Statement{}},
		{"0", Statement{}},
		{"1500", Statement{Left: 1500 * time.Millisecond}},
		{"-1", Statement{Void: true}},
		{"NaN", Statement{Void: true}},
		{"soon", Statement{Void: true}},
		{"1e300", Statement{Void: true}},
	} {
		if got := ParseStatement(c.value); got != c.want {
			t.Errorf("ParseStatement(%q): got %+v, want %+v", c.value, got, c.want)
		}
	}
}
