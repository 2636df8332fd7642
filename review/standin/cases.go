package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// hup stops a node as the platform does, and tells it during the grace time that its
// settings file has changed. Requests that the node had passed on must be answered.
func hup(log *record, trouble bool) (broken int) {
	f := newFleet(log, []string{"catalogue", "licensing"}, map[string]any{
		"r-grant": route("/grant/", "non_idempotent", "licensing"),
	})
	front := f.machines[0]
	const clients, work = 8, 2500 * time.Millisecond
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range clients {
		c := dial(log, fmt.Sprintf("c%d", i), front.callers)
		// A first request, so that the connection is a kept one.
		id, err := c.send(http.MethodPost, "/grant/20/400", 5*time.Second, 4000)
		if err != nil {
			fail("send: %v", err)
		}
		if a := c.read(id, http.MethodPost, 0); a.err != nil || a.status != http.StatusOK {
			fail("the first request was not served: %+v", a)
		}
		if id, err = c.send(http.MethodPost, fmt.Sprintf("/grant/%d/400", work.Milliseconds()), 5*time.Second, 4000); err != nil {
			fail("send: %v", err)
		}
		wg.Go(func() {
			a := c.read(id, http.MethodPost, 0)
			if a.err != nil && log.runsOf(id) > 0 {
				mu.Lock()
				broken++
				mu.Unlock()
				log.add("LOST: %s was read and passed on to its instance, and its connection ends without an answer", id)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.signal(front, syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.writeSettings(front)
		f.signal(front, syscall.SIGHUP)
	}
	wg.Wait()
	return broken
}

// pipeline stops a node while it writes a long answer to a client that has sent a
// further request meanwhile. A request that has been passed on must be answered.
func pipeline(log *record, trouble bool) (broken int) {
	f := newFleet(log, []string{"catalogue", "previews"}, map[string]any{
		"r-cue": route("/cue/", "idempotent", "previews"),
	})
	front := f.machines[0]
	c := dial(log, "c", front.callers)
	_ = c.nc.SetReadBuffer(64 << 10)
	id, err := c.send(http.MethodGet, "/cue/20/6000", 6*time.Second, 0)
	if err != nil {
		fail("send: %v", err)
	}
	if a := c.read(id, http.MethodGet, 0); a.err != nil || a.status != http.StatusOK {
		fail("the first request was not served: %+v", a)
	}
	first, err := c.send(http.MethodGet, "/cue/800/8000000", 6*time.Second, 0)
	if err != nil {
		fail("send: %v", err)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.signal(front, syscall.SIGTERM)
	}
	time.Sleep(600 * time.Millisecond) // the answer has begun to arrive; the client has read nothing
	second, err := c.send(http.MethodGet, "/cue/300/6000", 6*time.Second, 0)
	if err != nil {
		fail("send: %v", err)
	}
	time.Sleep(200 * time.Millisecond)
	if a := c.read(first, http.MethodGet, 200*time.Microsecond); a.err != nil {
		broken++
		log.add("LOST: the answer to %s is not complete", first)
	}
	a := c.read(second, http.MethodGet, 0)
	if a.err != nil && log.runsOf(second) > 0 {
		broken++
		log.add("LOST: %s was read and passed on to its instance, and its connection ends without an answer", second)
	}
	return broken
}

// others are clients whose requests have nothing to do with the disruption. They use
// kept connections, and send one request after the other. The first request of a
// connection does not count.
type others struct {
	log     *record
	mu      sync.Mutex
	lost    int
	served  int
	stopped bool
	wg      sync.WaitGroup
}

func startOthers(log *record, address string, n int) *others {
	o := &others{log: log}
	for i := range n {
		c := dial(log, fmt.Sprintf("other%d", i), address)
		o.wg.Go(func() {
			for !o.isStopped() {
				id, err := c.send(http.MethodPost, "/grant/300/400", 5*time.Second, 400)
				if err != nil {
					return // it was not read
				}
				a := c.read(id, http.MethodPost, 0)
				if c.sent > 1 {
					o.count(id, a)
				}
				if a.err != nil || a.closes {
					return
				}
			}
		})
	}
	return o
}

func (o *others) isStopped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped
}

func (o *others) count(id string, a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case a.err == nil:
		o.served++
	case o.log.runsOf(id) > 0:
		o.lost++
		o.log.add("LOST: %s was passed on from a kept connection to a sound instance, and the connection ends without an answer", id)
	}
}

func (o *others) stop() (served, lost int) {
	o.mu.Lock()
	o.stopped = true
	o.mu.Unlock()
	o.wg.Wait()
	return o.served, o.lost
}

// lostMost is how many times LOST bears it that a machine in touch closes a kept
// connection without an answer.
const lostMost = 3

// slowRead lets clients read their answers slowly.
func slowRead(log *record, trouble bool) (broken int) {
	f := newFleet(log, []string{"catalogue", "previews", "licensing"}, map[string]any{
		"r-cue":   route("/cue/", "idempotent", "previews"),
		"r-grant": route("/grant/", "non_idempotent", "licensing"),
	})
	front := f.machines[0]
	peak := f.limitMemory(front)
	o := startOthers(log, front.callers, 8)
	time.Sleep(time.Second)
	const clients, requests, bytes, interval = 30, 16, 1_000_000, 200 * time.Millisecond
	pause := time.Duration(0)
	if trouble {
		pause = 100 * time.Millisecond // after each 16 KB at most
	}
	var wg sync.WaitGroup
	for i := range clients {
		c := dial(log, fmt.Sprintf("slow%d", i), front.callers)
		wg.Go(func() {
			defer c.nc.Close()
			ids := make(chan string, requests)
			go func() {
				defer close(ids)
				time.Sleep(time.Duration(i) * interval / clients)
				for range requests {
					id, err := c.send(http.MethodGet, fmt.Sprintf("/cue/50/%d", bytes), 6*time.Second, 0)
					if err != nil {
						return
					}
					ids <- id
					time.Sleep(interval)
				}
			}()
			_ = c.nc.SetReadDeadline(time.Now().Add(7 * time.Second))
			for id := range ids {
				if a := c.read(id, http.MethodGet, pause); a.err != nil {
					break
				}
			}
		})
	}
	wg.Wait()
	served, lost := o.stop()
	log.add("peak memory of the node: %.0f MB of %d; killed for it: %v; other clients: %d served, %d lost", peak(), memoryMB, front.killed, served, lost)
	if lost > lostMost {
		return lost
	}
	return 0
}

// upload lets clients send long bodies, each no longer than MaxBodyBytes.
func upload(log *record, trouble bool) (broken int) {
	f := newFleet(log, []string{"catalogue", "licensing"}, map[string]any{
		"r-upload": route("/upload/", "non_idempotent", "catalogue"),
		"r-grant":  route("/grant/", "non_idempotent", "licensing"),
	})
	front := f.machines[0]
	peak := f.limitMemory(front)
	o := startOthers(log, front.callers, 8)
	time.Sleep(time.Second)
	const clients = 5
	size := 64_000_000
	if !trouble {
		size = 64_000
	}
	var wg sync.WaitGroup
	for i := range clients {
		c := dial(log, fmt.Sprintf("long%d", i), front.callers)
		wg.Go(func() {
			_ = c.nc.SetDeadline(time.Now().Add(6 * time.Second))
			id, err := c.send(http.MethodPost, "/upload/200/400", 6*time.Second, size)
			if err != nil {
				log.add("client %s could not send %s: %v", c.name, id, err)
				return
			}
			c.read(id, http.MethodPost, 0)
		})
	}
	wg.Wait()
	served, lost := o.stop()
	log.add("peak memory of the node: %.0f MB of %d; killed for it: %v; other clients: %d served, %d lost", peak(), memoryMB, front.killed, served, lost)
	if lost > lostMost {
		return lost
	}
	return 0
}

// lateCall stops a node. The instance next to it, still at work, makes a call during
// the grace time. A call that has been passed on must be answered.
func lateCall(log *record, trouble bool) (broken int) {
	f := newFleet(log, []string{"catalogue", "licensing"}, map[string]any{
		"r-search": route("/search/", "idempotent", "catalogue"),
		"r-holder": publicRoute("/holder/", "idempotent", "licensing"),
	})
	front := f.machines[0]
	var mu sync.Mutex
	front.instance.onCall = func(id string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.err != nil && log.runsOf(id) > 0 {
			broken++
			log.add("LOST: call %s was read and passed on to its instance, and its connection ends without an answer", id)
		}
	}
	if trouble {
		f.signal(front, syscall.SIGTERM)
	}
	time.Sleep(time.Second)
	// The request is sent 1 s after the SIGTERM, and its call 4.5 s after it.
	c := dial(log, "c", front.callers)
	id, err := c.send(http.MethodGet, "/search/3500/1500/holder/1300", 6*time.Second, 0)
	if err != nil {
		fail("send: %v", err)
	}
	c.read(id, http.MethodGet, 0)
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	return broken
}

// regionsApart cuts the two regions off from each other, while a tenant sends more than
// its rate in both.
func regionsApart(log *record, trouble bool) (broken int) {
	const rate, burst, window, overshoot, slack = 100.0, 50.0, 5.0, 0.25, 20.0
	const limit = (rate*window+burst)*(1+overshoot) + slack
	f := newFleetOf(log, []string{"catalogue", "catalogue", "catalogue", "catalogue"}, map[int]bool{2: true, 3: true}, map[string]any{
		"r-search": route("/search/", "idempotent", "catalogue"),
	}, map[string]any{"t-hot": map[string]any{"ApiKeys": []string{"k1"}, "Priority": 1, "RatePerS": rate, "Burst": burst}})
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i, m := range f.machines {
		for j := range 8 {
			wg.Go(func() { flood(log, fmt.Sprintf("hot%d.%d", i+1, j), m.callers, stop) })
		}
	}
	time.Sleep(8 * time.Second)
	if trouble {
		log.add("the regions are cut off from each other")
		f.cut.inForce.Store(true)
	}
	time.Sleep(20 * time.Second)
	if trouble {
		log.add("the cut ends")
		f.cut.inForce.Store(false)
	}
	close(stop)
	wg.Wait()
	most, at := log.mostRuns(window)
	log.add("most runs of the tenant in %.0f s: %d (to %.3f s); allowed: %.1f", window, most, at, limit)
	if float64(most) > limit {
		log.add("QUOTA: more requests of the tenant arrived and ran than its usage cap allows")
		return 1
	}
	return 0
}

// flood sends requests of the tenant on kept connections, about 17 a second each.
func flood(log *record, name, address string, stop <-chan struct{}) {
	c := dial(log, name, address)
	c.key = "k1"
	_ = c.nc.SetDeadline(time.Now().Add(60 * time.Second))
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id, err := c.send(http.MethodGet, "/search/5/400", 2*time.Second, 0)
		if err != nil {
			log.add("client %s: %v", name, err)
			return
		}
		if a := c.read(id, http.MethodGet, 0); a.err != nil || a.closes {
			return
		}
	}
}
