package main

import (
	"sync"
	"time"
)

const (
	lateCycles = 4
	heartbeatS = 1500 * time.Millisecond
	// lostTime is how long answers of the store are lost, and lateAfter how much later one
	// of the writes in that time is done.
	lostTime  = 4500 * time.Millisecond
	lateAfter = 5800 * time.Millisecond
)

// playLate: while answers of the store are lost, one write of an instance, a heartbeat in
// state ready, is not answered and done some seconds later. The instance has written again
// meanwhile, and has reported that it drains.
func playLate(path string) (string, error) {
	f, err := newFleet(path, map[string]string{"bud-a": "budapest", "deb-a": "debrecen"})
	if err != nil {
		return "", err
	}
	defer f.close()
	for n := range 6 {
		if _, err := f.addMachine(n+1, []string{"bud-a", "deb-a"}[n%2], "catalog", 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	f.putConfig(3, map[string]any{"r-1": route("/browse/", "idempotent", "catalog", true)}, map[string]any{"catalog": service()}, nil)
	if err := f.startAll(); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range f.machines {
		m.load(&wg, stop, 40, "GET", "/browse/1", "")
	}
	time.Sleep(contactS + time.Second)
	var leaves []leave
	for n := range lateCycles {
		m := f.machines[n%len(f.machines)]
		i := m.current()
		begin := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
		f.record.add("answers of the store are lost from here on, for %v (platform_lost, late)", lostTime)
		// The heartbeat in this time whose answer is lost. Its entry says what the store
		// has already, but for Seq.
		at(lostTime - 200*time.Millisecond)
		i.seq++
		old := i.entry("ready")
		f.record.add("instance %s writes its heartbeat with Seq %d, state ready; no answer", i.id, i.seq)
		wrote := time.Now()
		// It writes again at once, on a new connection, and is answered.
		at(lostTime + 100*time.Millisecond)
		i.seq++
		f.record.add("instance %s writes again, Seq %d, state ready; acknowledged", i.id, i.seq)
		// The store has been without impairment for ContactS.
		at(lostTime + contactS + 200*time.Millisecond)
		i.leaving.Store(true)
		ack := i.publish("draining")
		f.record.add("instance %s reports that it drains, Seq %d (acknowledged at %.4f)", i.id, i.seq, f.record.at(ack))
		leaves = append(leaves, leave{i, ack})
		if hasTrouble() {
			time.Sleep(time.Until(wrote.Add(lateAfter)))
			done := f.store.put("servers/"+i.id, old)
			f.record.add("the write with Seq %d, state ready, is done, %.1f s after it was sent", i.seq-2, done.Sub(wrote).Seconds())
		}
		// The next heartbeat after that corrects the entry.
		time.Sleep(time.Until(ack.Add(2 * heartbeatS)))
		i.seq++
		if hasTrouble() {
			f.store.put("servers/"+i.id, i.entry("draining"))
			f.record.add("instance %s writes its heartbeat with Seq %d, state draining; acknowledged", i.id, i.seq)
		}
		time.Sleep(time.Until(ack.Add(drainS + 3*time.Second)))
		f.store.remove("servers/" + i.id)
		i.end()
		time.Sleep(reuseAfterS)
		if err := m.startInstance("catalog", 20*time.Millisecond); err != nil {
			return "", err
		}
		time.Sleep(contactS)
	}
	close(stop)
	wg.Wait()
	return f.checkDrain(leaves, nil), nil
}
