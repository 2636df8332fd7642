package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	rolls       = 3
	rollGap     = time.Second
	resendEvery = 1500 * time.Millisecond
	resends     = 4
	maxRetries  = 3 // that may reach instances, as BUDGET says
	orderWork   = 300 * time.Millisecond
)

// playQuarantine sends a request that crashes the instances which run it, as often as its
// caller repeats it, and has the nodes stopped and started in turn in between.
func playQuarantine(c *trial) (isBroken bool, err error) {
	f, err := newFleet(c.program, c.dir, c.out, []string{"search", "front", "search", "front", "search", "front", "search", "search"})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	f.crashes = true
	f.work = orderWork
	f.publish(7, map[string]any{
		"r-search": map[string]any{
			"Host": host, "Prefix": "/search/", "Kind": "idempotent", "TimeoutS": 2, "TargetLatencyS": 1.5, "Priority": 1,
			"Service": "search", "MaxAttempts": 2, "Public": false,
		},
		"r-order": map[string]any{
			"Host": host, "Prefix": "/order/", "Kind": "non_idempotent", "TimeoutS": 2, "TargetLatencyS": 1.5, "Priority": 0,
			"Service": "search", "MaxAttempts": 2, "Public": false,
		},
	}, []string{"search", "front"})
	if err := f.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.load(ctx, f.machines, http.MethodPost, "/order/", 40)
	time.Sleep(contactTime + 2*time.Second)

	sent, reached := 0, 0
	send := func() int {
		m := f.machines[sent%len(f.machines)]
		sent++
		attempt := fmt.Sprintf("crash-%d", sent)
		f.record("client on %s sends %s", m.name, attempt)
		r := m.send(http.MethodGet, "/search"+crashPath+"/1", attempt, 5*time.Second)
		f.record("client on %s gets %d %q (%v) for %s", m.name, r.status, r.body, r.err, attempt)
		return len(f.runsOf(attempt))
	}
	crashed := 0
	for crashed < 3 && sent < 6 {
		crashed += send()
		time.Sleep(resendEvery)
	}
	if crashed < 3 {
		return false, fmt.Errorf("the request has crashed %d instances, want 3", crashed)
	}
	f.record("the request has crashed the third instance")
	lostBefore := f.lostOrders()
	time.Sleep(contactTime)
	for range rolls {
		if err := f.rollNodes(c.trouble); err != nil {
			return false, err
		}
		time.Sleep(contactTime + time.Second)
		for range resends {
			if send() > 0 {
				reached++
			}
			time.Sleep(resendEvery)
		}
	}
	f.record("orders of other clients that ran and were lost with an instance since then: %d", f.lostOrders()-lostBefore)
	f.record("retries that reached instances after the third crash: %d, at most %d are allowed", reached, maxRetries)
	return reached > maxRetries, nil
}

// rollNodes stops and starts all nodes in turn, rollGap apart.
func (f *fleet) rollNodes(trouble bool) error {
	var wg sync.WaitGroup
	failures := make(chan error, len(f.machines))
	for _, m := range f.machines {
		if trouble {
			wg.Go(func() {
				if err := m.restartNode(); err != nil {
					failures <- err
				}
			})
		}
		time.Sleep(rollGap)
	}
	wg.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

// lostOrders returns the number of orders that instances began to run and whose clients
// got no success.
func (f *fleet) lostOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runs {
		if status, isKnown := f.statuses[r.attempt]; isKnown && status != http.StatusOK {
			n++
		}
	}
	return n
}
