package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	quotaRate      = 300.0
	quotaBurst     = 30.0
	quotaOvershoot = 0.25
	quotaSlack     = 20.0
	quotaWindow    = 5 * time.Second
	usualRate      = 200.0 // requests per second that the tenant usually sends, in one zone
	hotTimes       = 8.0
)

// playQuota: a tenant that sends in one region suddenly sends many times its usual, in all
// regions.
func playQuota(path string) (string, error) {
	zones := map[string]string{"bud-a": "budapest", "deb-a": "debrecen", "sze-a": "szeged"}
	f, err := newFleet(path, zones)
	if err != nil {
		return "", err
	}
	defer f.close()
	for n, zone := range []string{"bud-a", "bud-a", "bud-a", "deb-a", "deb-a", "deb-a", "sze-a", "sze-a", "sze-a"} {
		if _, err := f.addMachine(n+1, zone, "catalog", 2*time.Millisecond); err != nil {
			return "", err
		}
	}
	f.putConfig(3, map[string]any{"r-1": route("/browse/", "idempotent", "catalog", false)}, map[string]any{"catalog": service()},
		map[string]any{"t-1": map[string]any{"ApiKeys": []string{"key-1"}, "Priority": 1, "RatePerS": quotaRate, "Burst": quotaBurst}})
	if err := f.startAll(); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range f.machines[:3] {
		m.load(&wg, stop, usualRate/3, "GET", "/browse/1", "key-1")
	}
	time.Sleep(6 * time.Second)
	if hasTrouble() {
		f.record.add("the tenant sends %.0f times its usual, in all zones (hot_tenant)", hotTimes)
		for _, m := range f.machines {
			m.load(&wg, stop, usualRate*(hotTimes-1)/float64(len(f.machines)), "GET", "/browse/1", "key-1")
		}
	}
	time.Sleep(6500 * time.Millisecond)
	close(stop)
	wg.Wait()
	return f.checkQuota(), nil
}

// checkQuota counts, in each window, the requests that were both sent in it and arrived in
// it at an instance that ran them.
func (f *fleet) checkQuota() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	type request struct{ sent, ran time.Time }
	first := map[string]time.Time{}
	for _, r := range f.runs {
		if at, ok := first[r.id]; !ok || r.at.Before(at) {
			first[r.id] = r.at
		}
	}
	var requests []request
	for id, at := range first {
		requests = append(requests, request{f.sent[id].at, at})
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].sent.Before(requests[j].sent) })
	most, begin := 0, time.Time{}
	for i := range requests {
		n, end := 0, requests[i].sent.Add(quotaWindow)
		for _, r := range requests[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, begin = n, requests[i].sent
		}
	}
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	f.record.add("sent %d, run %d; answers: %s", len(f.sent), len(first), f.statusesLocked())
	f.record.add("most in %v: %d, from %.4f on; allowed are %.0f", quotaWindow, most, f.record.at(begin), limit)
	for t := 0.0; t < 14; t += 0.5 {
		n := 0
		for _, r := range requests {
			if at := f.record.at(r.ran); at >= t && at < t+0.5 {
				n++
			}
		}
		f.record.add("run from %.1f to %.1f s: %d", t, t+0.5, n)
	}
	if float64(most) <= limit {
		return ""
	}
	return fmt.Sprintf("QUOTA: %d requests of the tenant ran in %v, %.0f are allowed", most, quotaWindow, limit)
}
