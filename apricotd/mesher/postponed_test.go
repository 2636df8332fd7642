package mesher

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against running orders in vain while all servers of stock reject most calls
// although slots are free: callers must be told to return in time for the latency target,
// those who return must be let in, and nobody may be refused once calls are accepted again.
func TestOrdersArePostponedWhileCallsAreRejected(t *testing.T) {
	runFleet(t, callChainVMs, func(f *fleet) {
		f.raiseRateLimit()
		if _, order := runCallChains(f, 40, 40, 4*time.Second); order.served < order.sent {
			t.Fatalf("orders served before any rejection: got %d of %d", order.served, order.sent)
		}
		order := func(i int) string {
			return f.requestText("POST", "shop.example", fmt.Sprintf("/order/%d", i), "x")
		}
		reject := func(ratio float64) {
			for _, name := range []string{"e", "f"} {
				f.vms[name].worker.queueLimit = 100
			}
			f.setShedRatio(ratio, "e", "f")
		}
		reject(0.95)
		next := 0
		sent, postponed := 0, 0
		for start := time.Now(); time.Since(start) < 4*time.Second; next++ {
			name := string(rune('a' + next%2))
			r := f.send(name, order(next))
			if time.Since(start) > 2*time.Second {
				sent++
			}
			if !strings.HasPrefix(r.body, "postponed") {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			if time.Since(start) > 2*time.Second {
				postponed++
			}
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			if err != nil || r.status != 503 || seconds < 0.1 || seconds > 0.8 {
				t.Errorf("postponed order: got status %d, Retry-After %q, want 503 and a time within the target of 0.8 s", r.status, r.header.Get("Retry-After"))
			}
			if again := f.send(name, order(next)); again.status == 503 {
				t.Errorf("order that has returned: got status 503 (%s), want it to run", again.body)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if postponed < sent/2 {
			t.Errorf("orders postponed in the last 2 s: got %d of %d, want at least half", postponed, sent)
		}
		reject(0)
		for range 10 { // returning callers show that calls are accepted
			f.send("a", order(next-1))
			f.send("b", order(next-2))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		for range 20 {
			next++
			if r := f.send("a", order(next)); r.status != 200 {
				t.Errorf("order after the rejections: got status %d (%s), want 200", r.status, r.body)
			}
		}
	})
}
