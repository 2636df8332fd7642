package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	configCycles = 9
	// silenceTime is how long the machines are cut off from the store.
	silenceTime = 4 * time.Second
	// changeAfter is how long after the begin of the cut the configuration changes.
	changeAfter = 20 * time.Millisecond
)

// A change is a version that moved the route to another service.
type change struct {
	service string
	ack     time.Time
}

// playConfig: the two machines that read the store for a region are cut off from the store,
// silently. Meanwhile the operator moves a route to another service.
func playConfig(path string) (string, error) {
	f, err := newFleet(path, map[string]string{"bud-a": "budapest", "bud-b": "budapest"})
	if err != nil {
		return "", err
	}
	defer f.close()
	lasts := []int{1, 2, 3, 4, 5, 6, 7, 8}
	order := f.readerOrder(lasts)
	byLast := map[int]*machine{}
	for n, last := range lasts {
		m, err := f.addMachine(last, []string{"bud-a", "bud-b"}[n%2], []string{"catalog", "catalog", "stock", "stock"}[n%4], 20*time.Millisecond)
		if err != nil {
			return "", err
		}
		byLast[last] = m
	}
	version := 3
	services := map[string]any{"catalog": service(), "stock": service()}
	move := func(to string) change {
		version += 2
		return change{to, f.putConfig(version, map[string]any{"r-1": route("/browse/", "idempotent", to, true)}, services, nil)}
	}
	changes := []change{move("catalog")}
	if err := f.startAll(); err != nil {
		return "", err
	}
	readers := []*machine{byLast[order[0]], byLast[order[1]]}
	f.record.add("%s and %s read the store for their region", readers[0].name, readers[1].name)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range f.machines {
		m.load(&wg, stop, 40, "GET", "/browse/1", "")
	}
	time.Sleep(contactS + time.Second)
	for n := range configCycles {
		// An instance of a third machine is being replaced: the readers hear that it drains.
		leaving := byLast[order[2+n%6]]
		old := leaving.current()
		old.leaving.Store(true)
		old.publish("draining")
		f.record.add("instance %s beside %s reports that it drains", old.id, leaving.name)
		time.Sleep(30 * time.Millisecond)
		if hasTrouble() {
			f.record.add("%s and %s are cut off from the store (core_cut, silent)", readers[0].name, readers[1].name)
			for _, m := range readers {
				m.link.silence()
			}
		}
		begin := time.Now()
		time.Sleep(changeAfter)
		changes = append(changes, move([]string{"stock", "catalog"}[n%2]))
		time.Sleep(drainS + time.Second - time.Since(begin))
		f.store.remove("servers/" + old.id)
		old.end()
		if err := leaving.startInstance(old.service, 20*time.Millisecond); err != nil {
			return "", err
		}
		time.Sleep(silenceTime - time.Since(begin))
		for _, m := range readers {
			m.link.heal()
		}
		f.record.add("the cuts have ended")
		time.Sleep(contactS + 2*time.Second)
	}
	close(stop)
	wg.Wait()
	return f.checkConfig(changes, readers), nil
}

// checkConfig finds requests sent later than ConfigApplyS after the ack of a version, to
// machines in touch, that were run by the service of the version before.
func (f *fleet) checkConfig(changes []change, cutOff []*machine) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	stale := 0
	for n, c := range changes[1:] {
		count, last := 0, time.Duration(0)
		for _, r := range f.runs {
			s := f.sent[r.id]
			d := s.at.Sub(c.ack)
			isNext := n+2 < len(changes) && !s.at.Before(changes[n+2].ack)
			if d <= configS || isNext || r.instance.service == c.service || s.machine == cutOff[0] || s.machine == cutOff[1] {
				continue
			}
			count++
			last = max(last, d)
			if count <= 3 {
				f.record.add("STALE: request %s, sent to %s at %.4f, %.3f s after the ack, runs at %s of %s", r.id, s.machine.name, f.record.at(s.at), d.Seconds(), r.instance.id, r.instance.service)
			}
		}
		f.record.add("move to %s, acknowledged at %.4f: %d requests sent later than %v after it ran at the old service, the last sent %.3f s after it", c.service, f.record.at(c.ack), count, configS, last.Seconds())
		stale += count
	}
	f.record.add("sent %d, run %d; answers: %s", len(f.sent), len(f.runs), f.statusesLocked())
	if stale == 0 {
		return ""
	}
	return fmt.Sprintf("CONFIG: %d requests sent later than %v after the ack of a version were run by the old service", stale, configS)
}
