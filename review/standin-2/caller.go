package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// settingsLead is how long before the start of an instance of another service the
	// settings file of its machine names that service.
	settingsLead = 300 * time.Millisecond
)

// playCaller: instances end, their nodes get SIGTERM, and ReuseAfterS later the addresses
// go to instances of another service, which the settings files name by then. The nodes still
// serve clients at that time.
func playCaller(path string) (string, error) {
	f, err := newFleet(path, map[string]string{"bud-a": "budapest", "bud-b": "budapest"})
	if err != nil {
		return "", err
	}
	defer f.close()
	services := []string{"orders", "orders", "orders", "orders", "stock", "stock", "catalog", "catalog", "catalog"}
	for n, s := range services {
		if _, err := f.addMachine(n+1, []string{"bud-a", "bud-b"}[n%2], s, 10*time.Millisecond); err != nil {
			return "", err
		}
	}
	f.putConfig(3, map[string]any{
		"r-1": route("/browse/", "idempotent", "catalog", true), "r-2": route("/place/", "non_idempotent", "orders", true),
		"r-3": route("/check/", "idempotent", "stock", true),
	}, map[string]any{"catalog": service(), "orders": service(), "stock": service()}, nil)
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(contactS)
	var wg sync.WaitGroup
	errs := make(chan error, 8)
	for n, m := range f.machines[:3] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 700 * time.Millisecond)
			i := m.current()
			f.record.add("instance %s beside %s reports that it drains", i.id, m.name)
			i.leaving.Store(true)
			i.publish("draining")
			time.Sleep(drainS + 500*time.Millisecond)
			f.store.remove("servers/" + i.id)
			i.end()
			ended := time.Now()
			m.signal(syscall.SIGTERM)
			f.record.add("the node of %s gets SIGTERM", m.name)
			next := "orders"
			if hasTrouble() {
				next = "stock"
			}
			time.Sleep(time.Until(ended.Add(reuseAfterS - settingsLead)))
			m.service = next
			if err := m.writeSettings(); err != nil {
				errs <- err
				return
			}
			f.record.add("the settings file of %s names %s", m.name, next)
			time.Sleep(time.Until(ended.Add(reuseAfterS + 20*time.Millisecond)))
			if err := m.startInstance(next, 10*time.Millisecond); err != nil {
				errs <- err
				return
			}
			// The platform starts the node again with the settings in effect.
			restarted := make(chan error, 1)
			go func() {
				<-m.ended
				f.record.add("the node of %s has ended and is started again", m.name)
				time.Sleep(100 * time.Millisecond)
				restarted <- m.start()
			}()
			// From here on the instance, and the clients beside it, send requests.
			stop := make(chan struct{})
			m.load(&wg, stop, 20, "GET", "/browse/1", "")
			time.Sleep(6 * time.Second)
			close(stop)
			if err := <-restarted; err != nil {
				errs <- err
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return "", err
	default:
	}
	return f.checkCallers(), nil
}

// checkCallers finds runs whose caller is not the service of the machine where the request
// began.
func (f *fleet) checkCallers() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	wrong := 0
	for _, r := range f.runs {
		s := f.sent[r.id]
		if r.caller == s.service {
			continue
		}
		wrong++
		if wrong <= 20 {
			f.record.add("WRONG: request %s, sent at %.4f beside the instance of %s on %s, runs at %s with the caller %q", r.id, f.record.at(s.at), s.service, s.machine.name, r.instance.id, r.caller)
		}
	}
	f.record.add("sent %d, run %d, with a wrong caller %d; answers: %s", len(f.sent), len(f.runs), wrong, f.statusesLocked())
	if wrong == 0 {
		return ""
	}
	return fmt.Sprintf("UNASKED: %d of %d requests ran with a caller that is not the service of the machine where they began", wrong, len(f.runs))
}
