package mesher

import "testing"

// oddStatuses are no statuses of a final response.
var oddStatuses = []string{"000", "0", "00", "0000", "001", "099", "101", "600", "999", "1000", "2", "20", "+20", "-20", "2e2", "OK", ""}

// Guards against an answer whose status is 000, or another number that is no status, that
// reaches the caller as an answer, as a promise that the request has not run, or that
// makes the request run twice.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range oddStatuses {
		for _, fields := range [][]string{{"Receipt: r"}, {"Other: x"}, {"Notrun: 1"}, {"Receipt: r", "Notrun: 1"}} {
			runFleet(t, oneOrderServer, func(f *fleet) {
				f.vms["b"].worker.setScripted(status, fields, true)
				r := f.send("a", f.requestText("POST", "shop.example", "/order/1", "x"))
				if r.status != 502 || r.header.Get("Receipt") != "" {
					t.Errorf("server answers %q with %q: got status %d and receipt %q, want 502 without one", status, fields, r.status, r.header.Get("Receipt"))
				}
				if n := len(f.runsInPool("orders")); n != 1 {
					t.Errorf("server answers %q with %q: got %d runs, want 1", status, fields, n)
				}
			})
		}
	}
}

// Guards against an answer with an odd status that keeps an idempotent request from its
// second attempt, or spoils the request that follows on the connection.
func TestOddStatusIsTriedAgain(t *testing.T) {
	for _, status := range oddStatuses {
		runFleet(t, twoSearchServers, func(f *fleet) {
			f.vms["b"].worker.setScripted(status, []string{"Receipt: r"}, true)
			for range 4 {
				if r := f.send("a", f.getRequest("shop.example", "/search/x")); r.status != 200 || r.body != "ran /search/x " {
					t.Errorf("server answers %q: got status %d and body %q, want the answer of the other server", status, r.status, r.body)
				}
			}
			f.vms["b"].worker.setFault(noFault)
			for range 4 {
				if r := f.send("b", f.getRequest("shop.example", "/search/y")); r.status != 200 || r.body != "ran /search/y " {
					t.Errorf("server that answered %q before: got status %d and body %q, want its answer", status, r.status, r.body)
				}
			}
		})
	}
}
