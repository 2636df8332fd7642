package syncer

import "time"

// minOutageDivisor is the divisor of the lifetime of an entry that gives the shortest
// outage in which entries can expire. Servers renew their entries three times in a
// lifetime, so an entry has more than half of it left when an outage begins.
const minOutageDivisor = 2

// availability is what a node knows of when the store answered anybody: the node itself
// or a peer that has told so. A store that does not answer this node alone is available,
// since servers can renew their entries.
type availability struct {
	knownSince time.Time // the first answer known
	answeredAt time.Time // the last answer known
	recovered  time.Time // the first answer after the last outage; zero if none is known
	noticed    time.Time // when that outage was noticed
}

// record records that the store answered at a time. If entries can have expired between
// the last answer before and this one, that time was an outage, whose length is returned.
func (a *availability) record(at time.Time, entryLifetime time.Duration) (outage time.Duration) {
	if a.knownSince.IsZero() {
		a.knownSince, a.answeredAt = at, at
		return 0
	}
	if gap := at.Sub(a.answeredAt); gap > entryLifetime/minOutageDivisor {
		a.recordOutage(at)
		outage = gap
	}
	if at.After(a.answeredAt) {
		a.answeredAt = at
	}
	return outage
}

// recordOutage records an outage that ended at a time.
func (a *availability) recordOutage(end time.Time) {
	a.recovered, a.noticed = end, time.Now()
}

// graceEnd returns until when an entry that is removed now stays in use, since its server
// may register again. told is what a peer has stated. The peer may have taken an outage
// of its own for one of the store, so it is believed only about outages that ended before
// this node knew of any answer.
func (a *availability) graceEnd(now, told time.Time) time.Time {
	limit := now
	if !a.knownSince.IsZero() {
		limit = a.knownSince
	}
	if limit = limit.Add(recoveryGrace); told.After(limit) {
		told = limit
	}
	if end := a.recovered.Add(recoveryGrace); end.After(told) {
		return end
	}
	return told
}
