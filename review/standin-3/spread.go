package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	spreadSends = 34
	loadPerS    = 20.0
)

// spreadNetworks are the first bytes of loopback addresses with which no node beside an
// instance of the service licensing is one of the four of its region that all others keep
// links to, as the nodes choose them by a hash of the address. Most fleets are so large
// that this is the rule; in one of 17 nodes it depends on the addresses.
var spreadNetworks = [][2]int{{44, 3}, {51, 2}, {54, 2}, {59, 5}}

// playSpread sends a request that crashes the instances which run it, from one machine
// after the other. Nothing else happens.
func playSpread(c *trial) (isBroken bool, err error) {
	names := []string{"catalogue", "licensing", "previews", "clearance"}
	var services []string
	for n := range 17 {
		services = append(services, names[n/4%4])
	}
	f, err := newFleet(c.program, c.dir, c.out, services, spreadNetworks...)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	f.crashes, f.work = c.trouble, orderWork
	routes := make(map[string]any)
	for _, s := range names {
		kind := "idempotent"
		if s == "licensing" {
			kind = "non_idempotent"
		}
		routes["r-"+s] = map[string]any{
			"Host": host, "Prefix": "/" + s + "/", "Kind": kind, "TimeoutS": 2, "TargetLatencyS": 1.5, "Priority": 1,
			"Service": s, "MaxAttempts": 2, "Public": false,
		}
	}
	f.publish(7, routes, names)
	if err := f.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.load(ctx, f.machines, http.MethodGet, "/catalogue/", loadPerS)
	go f.load(ctx, f.machines[:1], http.MethodPost, "/licensing/", loadPerS)
	time.Sleep(contactTime + 2*time.Second)

	reached, crashes, lostBefore := 0, 0, 0
	var third time.Time
	for n := range spreadSends {
		m := f.machines[n*5%len(f.machines)]
		attempt := fmt.Sprintf("crash-%d", n+1)
		sentAt := time.Now()
		r := m.send(http.MethodPost, "/licensing"+crashPath+"/1", attempt, 5*time.Second)
		f.record("client on %s gets %d %q (%v) for %s", m.name, r.status, r.body, r.err, attempt)
		runs := len(f.runsOf(attempt))
		if runs > 0 && !third.IsZero() && sentAt.Sub(third) > contactTime {
			reached++
		}
		if crashes += runs; c.trouble && crashes >= 3 && third.IsZero() {
			third = time.Now()
			f.record("the request has crashed the third instance")
			lostBefore = f.lostOrders()
		}
		time.Sleep(resendEvery)
	}
	f.record("orders of other clients that ran and were lost with an instance since then: %d", f.lostOrders()-lostBefore)
	f.record("retries that reached instances later than %v after the third crash: %d, at most %d are allowed", contactTime, reached, maxRetries)
	return reached > maxRetries, nil
}
