package node

import (
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// TestContext checks that a backend server's call needs the context of a
// request that is running now: without one, with a forged one, and with that of
// a request that has ended it is refused.
func TestContext(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		const id = "r1-d1-catalogue-1"
		m := f.machine[id]
		call := func(token string) string {
			request, err := http.NewRequest("GET", "http://"+netip.AddrPortFrom(m.address, backendPort).String()+"/catalogue/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			if token != "" {
				request.Header.Set("Apricot-Context", token)
			}
			response, err := f.client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			return response.Header.Get("Proxy-Status")
		}
		const refusal = `apricotrudder; error=http_request_denied; details=`
		if got := call(""); got != refusal+`"contextMissing"` {
			t.Errorf("without context: got %q, want contextMissing", got)
		}
		if got := call("forged"); got != refusal+`"contextUnknown"` {
			t.Errorf("forged: got %q, want contextUnknown", got)
		}
		for range 20 {
			f.send(id, "GET", "/catalogue/1", "agency-key", "", nil)
		}
		token := m.backend.LastContext()
		if token == "" {
			t.Fatal("got no context at the backend server, want one")
		}
		time.Sleep(time.Second)
		if got := call(token); got != refusal+`"contextUnknown"` {
			t.Errorf("ended: got %q, want contextUnknown", got)
		}
		if m.backend.Leaks() > 0 {
			t.Errorf("got %d requests with a key at the backend server, want 0", m.backend.Leaks())
		}
	})
}
