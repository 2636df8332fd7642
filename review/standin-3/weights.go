package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	changes        = 60
	changeEvery    = time.Second
	splitGap       = 240 * time.Millisecond // between two requests, of all machines together
	minorityWeight = 35
	majorityWeight = 65
	maxOff         = 0.2 // by how much CONFIG lets a share differ from its weight
	minRequests    = 200
)

// playWeights publishes a configuration that splits a route between two services, and then
// further ones that leave the route as it is.
func playWeights(c *trial) (isBroken bool, err error) {
	f, err := newFleet(c.program, c.dir, c.out, slices.Repeat([]string{"catalogue", "catalogue", "catalogue", "catalogue", "licensing", "licensing", "licensing", "licensing"}, 2))
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	split := map[string]any{
		"Host": host, "Prefix": "/grant/", "Kind": "non_idempotent", "TimeoutS": 2, "TargetLatencyS": 1.5, "Priority": 0, "MaxAttempts": 2, "Public": false,
		"WeightedServices": []map[string]any{{"Service": "catalogue", "Weight": majorityWeight}, {"Service": "licensing", "Weight": minorityWeight}},
	}
	services := []string{"catalogue", "licensing"}
	publish := func(n int) {
		other := map[string]any{
			"Host": host, "Prefix": "/search/", "Kind": "idempotent", "TimeoutS": 2 + float64(n%5)/10, "TargetLatencyS": 1.5, "Priority": 1,
			"Service": "catalogue", "MaxAttempts": 2, "Public": false,
		}
		f.publish(7+3*n, map[string]any{"r-grant": split, "r-search": other}, services)
	}
	publish(0)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	served, sent := make(map[string]int), 0
	start := time.Now()
	for n := 1; n <= changes; n++ {
		if c.trouble {
			publish(n)
			f.record("version %d is published; the route that is split stays as it was", 7+3*n)
		}
		for time.Since(start) < time.Duration(n)*changeEvery {
			m, attempt := f.machines[rand.N(len(f.machines))], f.newID("b-")
			sent++
			wg.Go(func() {
				r := m.send(http.MethodPost, "/grant/"+attempt, attempt, 5*time.Second)
				runs := f.runsOf(attempt)
				mu.Lock()
				defer mu.Unlock()
				if r.status == http.StatusOK && len(runs) == 1 {
					served[runs[0].machine.service]++
				} else {
					f.record("client on %s gets %d %q (%v) for %s", m.name, r.status, r.body, r.err, attempt)
				}
			})
			time.Sleep(splitGap)
		}
	}
	wg.Wait()
	total := served["catalogue"] + served["licensing"]
	if total < minRequests {
		return false, fmt.Errorf("%d of %d requests were served, want %d or more", total, sent, minRequests)
	}
	share := float64(served["licensing"]) / float64(total)
	want := float64(minorityWeight) / (minorityWeight + majorityWeight)
	f.record("of %d requests, all served, licensing got %d, a share of %.2f; its weight says %.2f", total, served["licensing"], share, want)
	return want-share > maxOff, nil
}
