package main

import (
	"fmt"
	"sync"
	"time"
)

var cases = map[string]func(recordPath string) (broken string, err error){
	"drain":   playDrain,
	"caller":  playCaller,
	"config":  playConfig,
	"late":    playLate,
	"tenants": playTenants,
	"turn":    playTurn,
}

const (
	drainCycles = 8
	// cutTime is how long the machine is cut off from the store; less than the shortest
	// cut of the site file.
	cutTime = 1700 * time.Millisecond
	// leaveAfter is how long after the end of the cut, as the machine has noticed it, the
	// instances of two other machines leave.
	leaveAfter = 200 * time.Millisecond
	// servesFor is how long an instance goes on serving after its entry was removed.
	servesFor = drainS + 2*time.Second
)

// A leave is an instance that has left without reporting that it drains.
type leave struct {
	instance *instance
	ack      time.Time // of the removal of its entry
}

// playDrain: one machine, a reader of the store, is cut off from the store for a moment.
// Right after that the instances beside two other machines leave without reporting it:
// their entries are removed, and they go on serving for DrainS and a little longer.
func playDrain(path string) (string, error) {
	f, err := newFleet(path, map[string]string{"bud-a": "budapest", "bud-b": "budapest"})
	if err != nil {
		return "", err
	}
	defer f.close()
	lasts := []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	order := f.readerOrder(lasts)
	byLast := map[int]*machine{}
	for n, last := range lasts {
		zone := []string{"bud-a", "bud-b"}[n%2]
		m, err := f.addMachine(last, zone, "catalog", 20*time.Millisecond)
		if err != nil {
			return "", err
		}
		byLast[last] = m
	}
	f.putConfig(3, map[string]any{"r-1": route("/browse/", "idempotent", "catalog", true)}, map[string]any{"catalog": service()}, nil)
	if err := f.startAll(); err != nil {
		return "", err
	}
	reader := byLast[order[0]]
	f.record.add("%s is the first reader of the store in its region, %s the second", reader.name, byLast[order[1]].name)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range f.machines {
		m.load(&wg, stop, 40, "GET", "/browse/1", "")
	}
	time.Sleep(contactS + time.Second)
	var leaves []leave
	for n := range drainCycles {
		var leaving []*machine
		for k := range 2 {
			leaving = append(leaving, byLast[order[2+(2*n+k)%8]])
		}
		if hasTrouble() {
			f.record.add("%s is cut off from the store (core_cut, reset)", reader.name)
			reader.link.cut()
			time.Sleep(cutTime)
			healed := time.Now()
			reader.link.heal()
			for reader.link.lastAnswer().Before(healed) && time.Since(healed) < contactS {
				time.Sleep(time.Millisecond)
			}
			f.record.add("the cut has ended, and the store has answered %s", reader.name)
		} else {
			time.Sleep(cutTime)
		}
		time.Sleep(leaveAfter)
		for _, m := range leaving {
			i := m.current()
			i.leaving.Store(true)
			ack := f.store.remove("servers/" + i.id)
			f.record.add("instance %s beside %s leaves: its entry is removed (acknowledged at %.4f)", i.id, m.name, f.record.at(ack))
			leaves = append(leaves, leave{i, ack})
		}
		time.Sleep(servesFor)
		for _, m := range leaving {
			m.current().end()
		}
		time.Sleep(reuseAfterS)
		for _, m := range leaving {
			if err := m.startInstance("catalog", 20*time.Millisecond); err != nil {
				return "", err
			}
		}
		time.Sleep(contactS - reuseAfterS)
	}
	close(stop)
	wg.Wait()
	return f.checkDrain(leaves, reader), nil
}

// checkDrain finds runs at an instance later than DrainS after the removal of its entry was
// acknowledged, of requests that machines in touch took from clients. Both the machine that
// was cut off and what it sent on are left out.
func (f *fleet) checkDrain(leaves []leave, cutOff *machine) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	for _, l := range leaves {
		count, last := 0, time.Duration(0)
		after := 0
		for _, r := range f.runs {
			if r.instance != l.instance {
				continue
			}
			if r.at.After(l.ack) {
				after++
			}
			s := f.sent[r.id]
			if d := r.at.Sub(l.ack); d > drainS && s.machine != cutOff {
				count++
				last = max(last, d)
				if count <= 3 {
					f.record.add("LATE: request %s, taken by %s at %.4f, runs at %s at %.4f, %.3f s after the ack", r.id, s.machine.name, f.record.at(s.at), l.instance.id, f.record.at(r.at), d.Seconds())
				}
			}
		}
		f.record.add("instance %s: %d requests after the ack, %d of them later than %v, the last %.3f s after it", l.instance.id, after, count, drainS, last.Seconds())
		late += count
	}
	f.record.add("sent %d, run %d; answers: %s", len(f.sent), len(f.runs), f.statusesLocked())
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests ran at an instance later than %v after its leaving was acknowledged", late, drainS)
}
