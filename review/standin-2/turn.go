package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	turnCycles = 3
	turnGap    = 2 * time.Second // between two stops; gap_s of the site's day trouble-2
	// turnWork is how long an order takes, turnBudget the time that its client has.
	turnWork   = 5700 * time.Millisecond
	turnBudget = 10 * time.Second
	grace      = graceS * time.Second
)

// An order is a request that must not be repeated, and what became of it.
type order struct {
	id, stamp    string
	status       int
	sent, ended  time.Time
	taker, runAt *machine
}

// playTurn: machines are stopped and started in turn. An order runs beside the machine that
// is stopped first and was taken by the machine that is stopped next.
func playTurn(path string) (string, error) {
	f, err := newFleet(path, map[string]string{"bud-a": "budapest", "bud-b": "budapest"})
	if err != nil {
		return "", err
	}
	defer f.close()
	f.ends = map[string]time.Time{}
	services := []string{"orders", "catalog", "orders", "catalog", "catalog", "catalog"}
	for n, s := range services {
		work := 20 * time.Millisecond
		if s == "orders" {
			work = turnWork
		}
		if _, err := f.addMachine(n+1, []string{"bud-a", "bud-b"}[n%2], s, work); err != nil {
			return "", err
		}
	}
	place := route("/place/", "non_idempotent", "orders", true)
	place["TimeoutS"], place["TargetLatencyS"] = turnBudget.Seconds(), turnBudget.Seconds()
	f.putConfig(3, map[string]any{"r-1": route("/browse/", "idempotent", "catalog", true), "r-2": place},
		map[string]any{"catalog": service(), "orders": service()}, nil)
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(contactS + time.Second)
	var orders []*order
	stops := map[*order]time.Time{} // of the machine that took it
	for n := range turnCycles {
		first, taker := f.machines[0], f.machines[1+2*(n%2)]
		var wg sync.WaitGroup
		var mu sync.Mutex
		var placed []*order
		for range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				o := &order{taker: taker, sent: time.Now()}
				o.id, o.status, o.stamp = taker.send("POST", "/place/1", "", turnBudget)
				o.ended = time.Now()
				mu.Lock()
				defer mu.Unlock()
				placed = append(placed, o)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		var stoppedAt time.Time
		var restart sync.WaitGroup
		if hasTrouble() {
			for k, m := range []*machine{first, taker} {
				if k > 0 {
					time.Sleep(turnGap)
				}
				f.record.add("the node of %s gets SIGTERM (roll_term)", m.name)
				stoppedAt = time.Now()
				m.signal(syscall.SIGTERM)
				restart.Add(1)
				go func() {
					defer restart.Done()
					select {
					case <-m.ended:
					case <-time.After(grace):
						_ = m.command.Process.Kill()
						<-m.ended
					}
					f.record.add("the node of %s has ended and is started again", m.name)
					_ = m.start()
				}()
			}
		}
		wg.Wait()
		restart.Wait()
		for _, o := range placed {
			stops[o] = stoppedAt
		}
		orders = append(orders, placed...)
		for _, m := range f.machines {
			if err := m.awaitReady(); err != nil {
				return "", err
			}
		}
		time.Sleep(contactS + time.Second)
	}
	return f.checkTurn(orders, stops), nil
}

// checkTurn finds orders whose instance was at work, that got no complete answer of it while
// the machine that took them was stopped as planned, and that the rule does not excuse.
func (f *fleet) checkTurn(orders []*order, stops map[*order]time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := 0
	for _, o := range orders {
		var ran *run
		for i := range f.runs {
			if f.runs[i].id == o.id {
				ran = &f.runs[i]
			}
		}
		if ran == nil {
			f.record.add("order %s taken by %s: %d, not run", o.id, o.taker.name, o.status)
			continue
		}
		worked := f.ends[o.id]
		note := ""
		stop := stops[o]
		hasAnswer := o.status == 200 && o.stamp != ""
		isPlanned := !stop.IsZero() && o.ended.After(stop) && o.ended.Before(stop.Add(grace+time.Second))
		isExcused := o.ended.Sub(o.sent) >= turnBudget-100*time.Millisecond || // time budget or timeout reached
			!worked.Before(stop.Add(grace-grace/6)) && o.sent.Before(stop.Add(3*time.Second))
		if !hasAnswer && isPlanned && !isExcused {
			lost++
			note = fmt.Sprintf("  LOST: %.2f s after the SIGTERM of %s", o.ended.Sub(stop).Seconds(), o.taker.name)
		}
		f.record.add("order %s taken by %s at %.4f, run by %s beside %s from %.4f to %.4f, ended with %d, stamp %q, after %.3f s%s",
			o.id, o.taker.name, f.record.at(o.sent), ran.instance.id, ran.instance.machine.name, f.record.at(ran.at), f.record.at(worked), o.status, o.stamp, o.ended.Sub(o.sent).Seconds(), note)
	}
	if lost == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d orders were broken off at work and answered by the system", lost, len(orders))
}
