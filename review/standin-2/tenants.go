package main

import (
	"fmt"
	"time"
)

// playTenants: the operator removes tenants, one after the other, also the last one.
func playTenants(path string) (string, error) {
	f, err := newFleet(path, map[string]string{"bud-a": "budapest", "deb-a": "debrecen"})
	if err != nil {
		return "", err
	}
	defer f.close()
	for n := range 4 {
		if _, err := f.addMachine(n+1, []string{"bud-a", "deb-a"}[n%2], "catalog", 5*time.Millisecond); err != nil {
			return "", err
		}
	}
	routes := map[string]any{"r-1": route("/browse/", "idempotent", "catalog", false)}
	services := map[string]any{"catalog": service()}
	tenant := func(key string) map[string]any {
		return map[string]any{"ApiKeys": []string{key}, "Priority": 1, "RatePerS": 40, "Burst": 40}
	}
	f.putConfig(3, routes, services, map[string]any{"t-1": tenant("key-1"), "t-2": tenant("key-2")})
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(contactS)
	broken := 0
	// ask sends requests that no configuration in force allows, or that one does.
	ask := func(what, key string, isAllowed bool) {
		for _, m := range f.machines {
			id, status, stamp := m.send("GET", "/browse/1", key, 3*time.Second)
			note := ""
			if !isAllowed && stamp != "" {
				note = "  WRONG: it ran"
				broken++
			}
			f.record.add("request %s to %s with %s: %d, stamp %q%s", id, m.name, what, status, stamp, note)
		}
	}
	ask("the key of t-1", "key-1", true)
	ask("a key that no configuration held", "key-9", false)
	f.putConfig(5, routes, services, map[string]any{"t-1": tenant("key-1")})
	time.Sleep(configS + 100*time.Millisecond)
	ask("the key of t-2, which is removed", "key-2", false)
	if hasTrouble() {
		f.putConfig(8, routes, services, map[string]any{})
		f.record.add("its table Tenants has no row left")
		time.Sleep(configS + 100*time.Millisecond)
		ask("the key of t-1, which is removed", "key-1", false)
	}
	ask("the key of t-2, which is removed", "key-2", false)
	ask("a key that no configuration held", "key-9", false)
	ask("no key", "", false)
	if broken == 0 {
		return "", nil
	}
	return fmt.Sprintf("ROUTE and CONFIG: %d requests ran with a key that was dropped or that no configuration held, or with none", broken), nil
}
