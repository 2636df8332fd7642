// Package warmer limits the rate of requests to the local backend server while that is
// cold, and while it is not known whether it is.
//
// A cold server tolerates a low rate of requests and crashes well above it. All requests
// to the server pass the node beside it, so the limit is kept there. A Warmer guarantees
// that in any second no more requests are taken than Bound allows for a server that is
// not known to be warm, if each health check takes one too: also across the restart of
// the node within that second, since the tokens of a new Warmer start at none. A server
// that becomes cold while it is taken for warm may exceed the bound by the requests that
// are taken until the next health check, which is due after ProbeAfter requests.
//
// Only a health check shows that a server is warm, and only if it was sent after the last
// event that put this in doubt: a new id, a failed connection, an unanswered health check,
// or an evacuation of the data centre.
//
// # Usage
//
//	w := &warmer.Warmer{Overshoot: 1.5, Slack: 8, Log: log, OnChange: admit, Announce: announce}
//	w.SetPool(pool.ColdStart, pool.ColdRate)
//	probe := w.BeginProbe()
//	w.Observe(probe, server, warmer.ParseStatement(value))
//	if w.Wait(now, 1) == 0 { w.Take(now) }
//
// A Warmer with a cold rate of 0 limits nothing. All methods take constant time.
package warmer

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/wire/linkwire"
)

// States of the server.
const (
	Unknown State = iota
	Cold
	Warm
)

const (
	// window is the time in which requests are counted.
	window = time.Second
	// rateRatio and burstRatio are the parts of the bound that are used by the steady
	// rate and by a burst. The rest is a margin for requests that are delayed between
	// the node and the server.
	rateRatio  = 0.75
	burstRatio = 0.1
	// startDebt is the number of tokens missing at the start: the process before this one
	// may have taken them for health checks, which don't wait for tokens.
	startDebt = 2
	// probeRatio is the part of the bound after which a warm server is probed again.
	probeRatio = 0.6
	// minProbeGap is the least time between two probes of a warm server, and maxProbeGap
	// the greatest.
	minProbeGap = 50 * time.Millisecond
	maxProbeGap = time.Second
	// coldProbeGap is the time between two probes of a cold server, each of which takes
	// the place of a request.
	coldProbeGap = time.Second
	// unknownProbeGap is the time between two probes of a server of unknown state.
	unknownProbeGap = 200 * time.Millisecond
	// maxLeft bounds the cold time that a server may state.
	maxLeft = 24 * time.Hour
)

type (
	// A State is what is known about the temperature of the server.
	State int

	// A Statement is what a health response says about the server.
	Statement struct {
		// Left is the time until the server has warmed up; 0 if it is warm.
		Left time.Duration
		// Void reports that the response says nothing, as one that rejects the health
		// check.
		Void bool
	}

	// A Probe is a health check in progress.
	Probe struct {
		sentAt time.Time
		taken  uint64
	}

	// A Warmer limits the rate of requests to one backend server. Its exported fields
	// must be set before use.
	Warmer struct {
		// A cold server may get Overshoot times the rate that it tolerates, and Slack
		// requests, in each second.
		Overshoot float64
		Slack     float64
		Log       logrus.FieldLogger
		// OnChange is called after the limit has changed, and Announce after the server
		// has become cold, or warm when peers may take it for cold. Both are called with
		// no lock held and may be nil.
		OnChange func()
		Announce func()
		// WantProbe is called, with the lock held, when a health check is due because so
		// many requests have been taken, or because the state has been put in doubt. It
		// must not block or call the Warmer, and may be nil.
		WantProbe func()

		mu          sync.Mutex
		coldStart   time.Duration
		coldRate    float64 // requests per second; 0: no limit
		server      string
		state       State
		evidence    string
		coldUntil   time.Time // when Cold
		warmSince   time.Time // when Warm
		doubtedAt   time.Time // last event that put the state in doubt
		observedAt  time.Time // when the probe of the newest statement was sent
		wasObserved bool      // the server with this id has stated its state
		evacuated   bool
		tokens      float64
		refilledAt  time.Time
		taken       uint64 // requests and probes
		probedAt    time.Time
		inDoubt     bool   // no probe has begun since the state was put in doubt
		probeTaken  uint64 // value of taken at the last probe
		marked      bool   // a peer has been told that the server is cold
		announcedAt time.Time
	}
)

// Bound returns how many requests a cold server may get in a second; 0 if there is no
// bound.
func (w *Warmer) Bound() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bound()
}

func (w *Warmer) bound() float64 {
	if w.coldRate <= 0 {
		return 0
	}
	return w.coldRate*max(1, w.Overshoot) + w.Slack
}

// rate returns the rate of tokens, in requests per second.
func (w *Warmer) rate() float64 { return min(rateRatio*w.bound(), max(w.bound()-w.burst(), 0.1)) }

// burst returns the number of tokens that accumulate while no requests start.
func (w *Warmer) burst() float64 { return max(1, burstRatio*w.bound()) }

// SetPool sets how long a server of the pool is cold after its start and which rate it
// tolerates while it is; a rate of 0 means any.
func (w *Warmer) SetPool(coldStart time.Duration, rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refilledAt.IsZero() {
		w.tokens, w.refilledAt = -startDebt, time.Now()
	}
	w.coldStart, w.coldRate = coldStart, rate
}

// SetServer tells that the server has an id. A new id is that of a server that has just
// started.
func (w *Warmer) SetServer(id string) {
	w.change(func(now time.Time) { w.setServer(id, now) })
}

func (w *Warmer) setServer(id string, now time.Time) {
	if id == "" || id == w.server {
		return
	}
	w.refill(now)
	w.tokens = min(0, w.tokens)
	w.server, w.wasObserved = id, false
	w.doubt("new server", now)
}

// Doubt tells that the server could not be reached or has not answered: it may have
// started again.
func (w *Warmer) Doubt(reason string) {
	w.change(func(now time.Time) { w.doubt(reason, now) })
}

func (w *Warmer) doubt(reason string, now time.Time) {
	w.doubtedAt = now
	if w.state == Unknown {
		return
	}
	w.state, w.evidence = Unknown, reason
	w.wantProbe()
}

// wantProbe asks for a health check at once.
func (w *Warmer) wantProbe() {
	w.inDoubt = true
	if w.coldRate > 0 && w.WantProbe != nil {
		w.WantProbe()
	}
}

// SetEvacuated tells whether the data centre of the server is evacuated. Its servers may
// be cold when it is taken back.
func (w *Warmer) SetEvacuated(evacuated bool) {
	w.change(func(now time.Time) {
		if w.evacuated == evacuated {
			return
		}
		w.evacuated = evacuated
		w.doubt("evacuation", now)
		if !evacuated {
			w.wantProbe()
		}
	})
}

// BeginProbe tells that a health check is about to be sent, which takes a token.
func (w *Warmer) BeginProbe() Probe {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.take(now)
	w.probedAt, w.probeTaken, w.inDoubt = now, w.taken, false
	return Probe{sentAt: now, taken: w.taken}
}

// Observe records what the server with an id has stated in response to a health check.
func (w *Warmer) Observe(p Probe, id string, s Statement) {
	if id == "" || s.Void {
		return
	}
	w.change(func(now time.Time) {
		isOlder := p.sentAt.Before(w.doubtedAt)
		if id != w.server && !isOlder {
			w.setServer(id, p.sentAt)
		}
		switch {
		case id != w.server || p.sentAt.Before(w.observedAt):
		case s.Left > 0:
			w.observedAt, w.wasObserved = p.sentAt, true
			w.coldUntil = now.Add(s.Left)
			w.state, w.evidence = Cold, "health check"
		case !isOlder && !w.evacuated:
			w.observedAt, w.wasObserved = p.sentAt, true
			if w.state != Warm {
				w.state, w.evidence, w.warmSince = Warm, "health check", now
			} else if now.Sub(w.warmSince) > window {
				// The server has been warm for all of the last window, so what was taken
				// before the probe doesn't count if it is cold from now on.
				w.tokens, w.refilledAt = w.burst()-float64(w.taken-p.taken), now
			}
		}
	})
}

// change applies a change and then logs and announces a new state.
func (w *Warmer) change(apply func(now time.Time)) {
	w.mu.Lock()
	now := time.Now()
	oldState, oldServer := w.state, w.server
	apply(now)
	isNew := w.coldRate > 0 && (w.state != oldState || w.server != oldServer)
	fields := logrus.Fields{
		"server":        w.server,
		"state":         w.state.String(),
		"oldState":      oldState.String(),
		"evidence":      w.evidence,
		"evidenceAgeMs": now.Sub(w.observedAt).Milliseconds(),
		"coldLeftMs":    w.left(now).Milliseconds(),
		"bound":         w.bound(),
	}
	if w.observedAt.IsZero() {
		delete(fields, "evidenceAgeMs")
	}
	announce := isNew && (w.state == Cold || w.state == Warm && w.marked)
	if w.state == Warm {
		w.marked = false
	}
	if announce {
		w.announcedAt = now
	}
	w.mu.Unlock()
	if !isNew {
		return
	}
	w.Log.WithFields(fields).Info("backend server changed its temperature")
	if w.OnChange != nil {
		w.OnChange()
	}
	if announce && w.Announce != nil {
		w.Announce()
	}
}

// Wait returns the time until n more requests may have been taken; 0 if at once.
func (w *Warmer) Wait(now time.Time, n int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isLimited() {
		return 0
	}
	w.refill(now)
	return admitter.UntilTokens(float64(n)-w.tokens, w.rate())
}

// Take takes a token for a request.
func (w *Warmer) Take(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.take(now)
}

func (w *Warmer) take(now time.Time) {
	if w.coldRate <= 0 {
		return
	}
	w.refill(now)
	w.taken++
	if w.state == Warm && w.WantProbe != nil && w.needsProbeAfter(w.taken) && !w.needsProbeAfter(w.taken-1) {
		w.WantProbe()
	}
	// Requests of more than a second ago count no more, whatever their number.
	w.tokens = max(w.tokens-1, -w.rate())
}

func (w *Warmer) refill(now time.Time) {
	w.tokens = min(w.burst(), w.tokens+w.rate()*max(0, now.Sub(w.refilledAt).Seconds()))
	w.refilledAt = now
}

// Utilisation returns the utilisation of the cold rate, with a number of requests that
// wait: 1 if no further request may start now, 0 if the rate is not limited.
func (w *Warmer) Utilisation(now time.Time, waiting int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isLimited() {
		return 0
	}
	w.refill(now)
	capacity := w.burst()
	used := (capacity - w.tokens + float64(waiting)) / capacity
	if w.tokens < 1-admitter.TokenTolerance {
		return max(1, used)
	}
	return used
}

// Rate returns the rate of requests that the server may get. limited is false if it may
// get any.
func (w *Warmer) Rate() (rate float64, limited bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isLimited() {
		return 0, false
	}
	return w.rate(), true
}

// IsLimited reports whether the server is not known to be warm.
func (w *Warmer) IsLimited() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isLimited()
}

func (w *Warmer) isLimited() bool { return w.coldRate > 0 && w.state != Warm }

// Left returns the time until the server is likely to have warmed up; 0 if it is warm.
func (w *Warmer) Left() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left(time.Now())
}

func (w *Warmer) left(now time.Time) time.Duration {
	switch {
	case !w.isLimited():
		return 0
	case w.state == Cold:
		return max(time.Millisecond, w.coldUntil.Sub(now))
	}
	if w.wasObserved { // the next health check tells
		return min(w.coldStart, unknownProbeGap)
	}
	return max(time.Millisecond, w.coldStart)
}

// UntilProbe returns the time until the next health check is due. ok is false if none is
// needed.
func (w *Warmer) UntilProbe() (d time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.coldRate <= 0 {
		return 0, false
	}
	now := time.Now()
	since := now.Sub(w.probedAt)
	var gap time.Duration
	switch w.state {
	case Warm:
		gap = maxProbeGap
		if w.needsProbeAfter(w.taken) {
			gap = minProbeGap
		}
		return max(0, gap-since), true
	case Cold:
		gap = coldProbeGap
		if left := w.coldUntil.Sub(w.probedAt); left > 0 {
			gap = min(gap, left)
		} else {
			gap = unknownProbeGap
		}
	default:
		gap = unknownProbeGap
		switch {
		case w.inDoubt:
			gap = 0
		case w.evacuated: // no response changes that
			gap = maxProbeGap
		}
	}
	return max(0, gap-since), true
}

// AnnouncedWithin reports whether Announce was called less than a time ago.
func (w *Warmer) AnnouncedWithin(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.announcedAt.IsZero() && time.Since(w.announcedAt) < d
}

// needsProbeAfter reports whether a warm server is to be probed once a number of requests
// have been taken.
func (w *Warmer) needsProbeAfter(taken uint64) bool {
	return float64(taken-w.probeTaken) >= probeRatio*w.bound()
}

// Mark adds the cold time to what the node tells peers about the server. m may be nil,
// and is returned unchanged if the server is warm, or was warm until its state was put in
// doubt, which the next health check clears up.
func (w *Warmer) Mark(m *linkwire.Notice) *linkwire.Notice {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.left(time.Now())
	if left == 0 || w.server == "" || w.state == Unknown && w.wasObserved {
		return m
	}
	w.marked = true
	if m == nil {
		m = &linkwire.Notice{Server: w.server}
	}
	if m.Server == w.server {
		m.ColdMs = uint32(min(left, maxLeft).Milliseconds())
	}
	return m
}

// ParseStatement parses the field of a health response in which a server states how long
// it stays cold, in milliseconds. An empty value is that of a warm server.
func ParseStatement(value string) Statement {
	if value == "" {
		return Statement{}
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0 && ms <= float64(maxLeft.Milliseconds())) {
		return Statement{Void: true}
	}
	return Statement{Left: time.Duration(ms * float64(time.Millisecond))}
}

func (s State) String() string {
	switch s {
	case Cold:
		return "cold"
	case Warm:
		return "warm"
	}
	return "unknown"
}
