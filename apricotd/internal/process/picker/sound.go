package picker

import (
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

const (
	// maxSoundFailureRate is the failure rate up to which a server counts as sound.
	maxSoundFailureRate = 0.1
	// minSoundFraction is the fraction of the servers that must be sound for these to be
	// preferred. If most servers fail requests, for lack of room, the few others would not
	// bear the requests of all nodes.
	minSoundFraction = 0.5
	// repeatMargin is the number of repeats that the retry budget must cover beyond the
	// failures to be expected.
	repeatMargin = 5
	// soundUtilisation is the utilisation up to which a sound server is preferred to one
	// that probably fails the request, and soundCallUtilisation the same for calls of
	// backend servers, which may wait longer for a slot.
	soundUtilisation     = 1.0
	soundCallUtilisation = 3.0
)

// preferSound returns the eligible servers that are sound and have room if these are to be
// preferred, or else all servers.
func (p *Picker) preferSound(servers []*lister.Server, tried map[string]bool, rq Request, now time.Time) []*lister.Server {
	room := p.soundRoom(servers, rq, now)
	if room == 0 {
		return servers
	}
	p.sound = p.sound[:0]
	eligible, sound := 0, 0
	for _, s := range servers {
		if !p.maySelect(s, tried, rq, now) {
			continue
		}
		eligible++
		if r := p.records[s.ID]; r != nil && r.recentFailureRate(now) > maxSoundFailureRate {
			continue
		}
		sound++
		if p.utilisation(s, now) < room {
			p.sound = append(p.sound, s)
		}
	}
	if len(p.sound) == 0 || float64(sound) < minSoundFraction*float64(eligible) {
		return servers
	}
	return p.sound
}

// soundRoom returns the utilisation up to which sound servers are preferred, or 0 if the
// retry budget covers the failures to be expected of this node's requests in progress.
func (p *Picker) soundRoom(servers []*lister.Server, rq Request, now time.Time) float64 {
	expected, isEachSound := 0.0, true
	for _, s := range servers {
		if r := p.records[s.ID]; r != nil {
			rate := r.recentFailureRate(now)
			expected += rate * float64(r.inFlight)
			isEachSound = isEachSound && rate <= maxSoundFailureRate
		}
	}
	switch {
	case isEachSound || p.CoversRepeats == nil || p.CoversRepeats(servers[0].Pool, rq.Call, expected+repeatMargin):
		return 0
	case rq.Call:
		return soundCallUtilisation
	}
	return soundUtilisation
}
