package mesher

import (
	"bufio"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// stopCaller sends requests one after the other on kept connections until the node
// is gone. It returns the ids of the requests that got no complete response.
func (f *fleet) stopCaller(name string, end time.Time, newRequest func() string) (unanswered []string) {
	for time.Now().Before(end) {
		nc, err := f.network.Dial(f.t.Context(), f.vms[name].address, f.vms[name].node.Settings.Listen.Callers)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		br := bufio.NewReader(nc)
		for time.Now().Before(end) {
			request := newRequest()
			if _, err := io.WriteString(nc, request); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
			r := readResponse(br, strings.Fields(request)[0])
			if r.err != nil {
				_, after, _ := strings.Cut(request, "\r\nId: ")
				id, _, _ := strings.Cut(after, "\r\n")
				unanswered = append(unanswered, id)
				break
			}
			if r.closesConn {
				break
			}
		}
		_ = nc.Close()
	}
	return unanswered
}

// Guards against a planned stop under load that cuts off requests which the node
// has accepted. Callers ignore that the node is not ready and go on until it is
// gone.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	runFleet(t, oneLimitedServer, func(f *fleet) {
		f.raiseRateLimit()
		f.vms["b"].worker.slots, f.vms["b"].worker.serviceTime = 100, 150*time.Millisecond
		f.publishServer("b", 0)
		end := time.Now().Add(10 * time.Second)
		var mu sync.Mutex
		unanswered := make(map[string]bool)
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				ids := f.stopCaller("a", end, f.newSearch)
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids {
					unanswered[id] = true
				}
			})
		}
		time.Sleep(time.Second)
		f.vms["a"].cancel()
		wg.Wait()
		<-f.vms["a"].done
		for _, run := range f.runsInPool("search") {
			if unanswered[run.id] {
				t.Errorf("request %s ran and got no response", run.id)
			}
		}
		for line := range strings.Lines(f.vms["a"].log.String()) {
			_, after, ok := strings.Cut(line, `request=`)
			if !ok || !strings.Contains(line, "request ended") {
				continue
			}
			if id, _, _ := strings.Cut(after, " "); unanswered[id] {
				t.Errorf("request %s was accepted and got no response: %s", id, line)
			}
		}
		t.Logf("requests without a response: %d", len(unanswered))
	})
}

// Guards against a short grace time in which requests are broken off before its last
// sixth, which alone excuses that they are not answered.
func TestStopPlanBreaksOffInLastSixth(t *testing.T) {
	start := time.Now()
	for _, within := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		p := newStopPlan(start, within)
		end := start.Add(within)
		if !p.last.Before(p.breakOff) || !p.breakOff.Before(p.end) || !p.end.Before(end) {
			t.Errorf("plan for %v: got steps at %v, %v and %v, want them in this order before the end", within, p.last.Sub(start), p.breakOff.Sub(start), p.end.Sub(start))
		}
		if p.breakOff.Before(start.Add(within * 5 / 6)) {
			t.Errorf("plan for %v: requests are broken off at %v, want the last sixth", within, p.breakOff.Sub(start))
		}
	}
}
