// Package noticer tracks what backend servers state about themselves in their
// responses: the rate of requests that they accept, and that they are leaving.
//
// A Noticer holds the state of the local backend server. It guarantees that a
// notice is in force from the first response that carries it until a request
// that was sent later is answered without it. Responses that arrive out of order
// therefore end no notice, and a server that restarts under its id is usable
// again after its first response. A rate that cannot be read leaves the rate
// that is in force unchanged.
//
// # Usage
//
//	n := &noticer.Noticer{Names: names, Log: log, SetRate: admitter.SetRate, OnChange: announce}
//	n.Observe(server, response.Fields, sentAt, response.ReceivedAt)
//	if n.Notice(server).Leaving { ... }
//
// A Directory holds the notices that other nodes have passed on with their
// responses. A node that restarts has forgotten the notice of its server, so the
// others send what they know along with their requests, and Adopt applies it
// until the first response.
//
// An observation takes constant time and allocates nothing while no notice is
// in force.
package noticer

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// logInterval bounds how often changes and malformed notices are logged. A
	// server may change its notice with each response.
	logInterval = time.Second
	// maxLoggedValue bounds how much of a malformed value is logged, in bytes.
	maxLoggedValue = 64
	// rateCharacters are the characters of a decimal number. They exclude the
	// hexadecimal numbers, infinities and separators that strconv accepts.
	rateCharacters = "0123456789.+-eE"
)

type (
	// A Notice is what a backend server states about itself.
	Notice struct {
		// Limited reports whether Rate applies.
		Limited bool
		// Rate is the number of requests per second that the server accepts from
		// all nodes together.
		Rate float64
		// Leaving reports that the server accepts no new requests.
		Leaving bool
	}

	// A Noticer tracks the notices of the local backend server. Its exported
	// fields must be set before use.
	Noticer struct {
		Names *namer.Names
		Log   logrus.FieldLogger
		// OnChange is called after a notice has come into force or has ended. It
		// may be nil.
		OnChange func()
		// SetRate is called whenever the rate changes, with limited false when a
		// limit has ended. It must not call the Noticer. It may be nil.
		SetRate func(limited bool, rate float64)

		mu         sync.Mutex
		server     string // id of the server that the notice is from
		notice     Notice
		observedAt time.Time // arrival of the newest response; zero: none
		limitedAt  time.Time // arrival of the newest response with a rate
		leavingAt  time.Time // arrival of the newest response that says that the server is leaving
		process    uint64    // identifies this Noticer; random
		sequence   uint64    // incremented with each change of the notice
		changedAt  time.Time // last time that a notice came into force or ended
		malformed  uint64
		loggedAt   time.Time // last change that was logged
		warnedAt   time.Time // last malformed notice that was logged
	}
)

// Notice returns the notice that is in force for a server.
func (n *Noticer) Notice(server string) Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if server != n.server {
		return Notice{}
	}
	return n.notice
}

// Message returns the current notice for other nodes. It returns nil before the
// first response of the server.
func (n *Noticer) Message() *linkwire.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.observedAt.IsZero() {
		return nil
	}
	return &linkwire.Notice{
		Server:   strings.ToValidUTF8(n.server, "?"),
		Limited:  n.notice.Limited,
		Rate:     n.notice.Rate,
		Leaving:  n.notice.Leaving,
		Process:  n.process,
		Sequence: n.sequence,
	}
}

// ChangedWithin reports whether a notice is in force, or ended less than a time
// ago.
func (n *Noticer) ChangedWithin(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notice != Notice{} || time.Since(n.changedAt) < d
}

// NeedsProbe reports whether a notice is in force that no response has confirmed
// for a time. The server may then have to be asked whether it still applies.
func (n *Noticer) NeedsProbe(after time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notice != Notice{} && time.Since(n.observedAt) > after
}

// Adopt applies another node's notice of the server, unless the server itself has
// responded to this node. Of several notices the most restrictive applies.
func (n *Noticer) Adopt(server string, m *linkwire.Notice) {
	if m == nil || m.Server != server || server == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if server != n.server {
		n.reset(server)
	}
	if !n.observedAt.IsZero() {
		return
	}
	old, now := n.notice, time.Now()
	if m.Leaving {
		n.notice.Leaving, n.leavingAt = true, now
	}
	if m.Limited && (!n.notice.Limited || m.Rate < n.notice.Rate) && m.Rate >= 0 {
		n.notice.Limited, n.notice.Rate, n.limitedAt = true, m.Rate, now
	}
	if n.notice != old {
		n.applyRate(old)
		n.logChange(old, now)
	}
}

// Current returns the notice in force and the server that it is from, which is
// empty if nothing is known.
func (n *Noticer) Current() (server string, notice Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server, n.notice
}

// Malformed returns the number of responses with a rate that could not be read.
func (n *Noticer) Malformed() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.malformed
}

// Observe records the header fields of a server's response. sentAt is when its
// request was sent, receivedAt when its head arrived.
func (n *Noticer) Observe(server string, fields parser.Fields, sentAt, receivedAt time.Time) {
	if server == "" {
		return
	}
	if n.observe(server, fields, sentAt, receivedAt) && n.OnChange != nil {
		n.OnChange()
	}
}

// observe reports whether a notice came into force or ended.
func (n *Noticer) observe(server string, fields parser.Fields, sentAt, receivedAt time.Time) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if server != n.server {
		n.reset(server)
	}
	old, first := n.notice, n.observedAt.IsZero()
	isNewest := !receivedAt.Before(n.observedAt)
	if isNewest {
		n.observedAt = receivedAt
	}
	n.observeLeaving(fields, sentAt, receivedAt)
	n.observeRate(fields, sentAt, receivedAt, isNewest)
	n.applyRate(old)
	if n.notice != old || first {
		n.sequence++
	}
	changed = first || old.Limited != n.notice.Limited || old.Leaving != n.notice.Leaving
	if changed {
		n.changedAt = time.Now()
	}
	if changed && (!first || n.notice != Notice{}) || old.Rate != n.notice.Rate {
		n.logChange(old, receivedAt)
	}
	return changed
}

func (n *Noticer) observeLeaving(fields parser.Fields, sentAt, receivedAt time.Time) {
	value := fields.Get(n.Names.Leaving)
	switch {
	case value != "" && value != "0":
		n.notice.Leaving = true
		n.leavingAt = later(n.leavingAt, receivedAt)
	case sentAt.After(n.leavingAt):
		n.notice.Leaving = false
	}
}

func (n *Noticer) observeRate(fields parser.Fields, sentAt, receivedAt time.Time, isNewest bool) {
	rate, stated, valid, err := parseRate(fields, n.Names.RateLimit)
	if err != nil {
		n.malformed++
		n.warn(err, receivedAt)
	}
	switch {
	case stated:
		n.limitedAt = later(n.limitedAt, receivedAt)
		if valid && (isNewest || !n.notice.Limited) {
			n.notice.Limited, n.notice.Rate = true, rate
		}
	case sentAt.After(n.limitedAt):
		n.notice.Limited, n.notice.Rate = false, 0
	}
}

// reset forgets the notice of the previous server. n.mu must be held.
func (n *Noticer) reset(server string) {
	old := n.notice
	n.server, n.notice = server, Notice{}
	n.observedAt, n.limitedAt, n.leavingAt = time.Time{}, time.Time{}, time.Time{}
	if n.process == 0 {
		n.process = rand.Uint64()
	}
	n.applyRate(old)
}

// applyRate passes the rate on if it differs from that of the old notice. n.mu
// must be held.
func (n *Noticer) applyRate(old Notice) {
	if n.SetRate != nil && (old.Limited != n.notice.Limited || old.Rate != n.notice.Rate) {
		n.SetRate(n.notice.Limited, n.notice.Rate)
	}
}

func (n *Noticer) logChange(old Notice, now time.Time) {
	if now.Sub(n.loggedAt) < logInterval {
		return
	}
	n.loggedAt = now
	n.Log.WithFields(logrus.Fields{
		"server":     n.server,
		"limited":    n.notice.Limited,
		"rate":       n.notice.Rate,
		"oldLimited": old.Limited,
		"oldRate":    old.Rate,
		"leaving":    n.notice.Leaving,
	}).Info("backend server changed its notice")
}

func (n *Noticer) warn(err error, now time.Time) {
	if now.Sub(n.warnedAt) < logInterval {
		return
	}
	n.warnedAt = now
	n.Log.WithError(err).WithFields(logrus.Fields{
		"server":  n.server,
		"limited": n.notice.Limited,
		"rate":    n.notice.Rate,
	}).Warn("backend server sent a malformed rate limit; keeping the current one")
}

// parseRate returns the lowest rate in the fields with the name. stated reports
// whether there is such a field and valid whether one of them could be read. The
// error is that of the first one that could not.
func parseRate(fields parser.Fields, name string) (rate float64, stated, valid bool, err error) {
	if name == "" {
		return 0, false, false, nil
	}
	for _, f := range fields {
		if f.Name != name {
			continue
		}
		stated = true
		v, ok := parseNumber(f.Value)
		switch {
		case !ok:
			if err == nil {
				err = errors.Errorf("got rate %q, want a decimal number of at least 0", f.Value[:min(len(f.Value), maxLoggedValue)])
			}
		case !valid || v < rate:
			rate, valid = v, true
		}
	}
	return rate, stated, valid, err
}

func parseNumber(s string) (float64, bool) {
	if s == "" || strings.Trim(s, rateCharacters) != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
