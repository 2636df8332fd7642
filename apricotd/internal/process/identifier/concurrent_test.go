package identifier

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/lister"
)

// Guards against races and against an id that is stated with the pool of another one,
// whatever the order of the calls.
func TestConcurrentCallsKeepIDAndPoolTogether(t *testing.T) {
	address := netip.MustParseAddrPort("10.1.1.1:7000")
	pool := func(id string) string { return "p-" + id }
	lists := make([]*lister.List, 64)
	for n := range lists {
		var servers []*lister.Server
		for k := range 20 {
			if rand.N(3) == 0 {
				id := fmt.Sprint(k)
				servers = append(servers, &lister.Server{ID: id, Pool: pool(id), Address: address})
			}
		}
		lists[n] = lister.New(uint64(n), servers)
	}
	i := &Identifier{
		Address: address, AddressReuse: 0, SettingsLag: time.Hour,
		Settings: func() (string, timekeeper.Instant) { return "settings", timekeeper.Now() },
		List:     func() *lister.List { return lists[rand.N(len(lists))] }, ListAge: func() time.Duration { return 0 },
		RemovedEntry: func(id string) (string, bool) { return pool(id), rand.N(4) == 0 },
	}
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			for range 20000 {
				id := fmt.Sprint(rand.N(20))
				switch rand.N(6) {
				case 0:
					i.SetReported(id, time.Now())
				case 1:
					i.Reset()
				case 2:
					i.Confirm(Identity{Server: id}, time.Now())
				case 3:
					i.AwaitsSettings()
					i.LastConfirmed()
				default:
					got, ok := i.Identify()
					if ok && (got.Server == "" || got.Pool != "" && got.Pool != pool(got.Server)) {
						t.Errorf("got %+v", got)
					}
					if ok && got.Pool != "" {
						i.Confirm(got, time.Now())
					}
				}
			}
		})
	}
	wg.Wait()
	if len(i.sightings) > maxSightings {
		t.Errorf("sightings: got %d, want at most %d", len(i.sightings), maxSightings)
	}
}
