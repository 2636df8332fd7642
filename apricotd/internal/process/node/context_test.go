package node

import (
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// TestContext checks that a backend server can make calls only on behalf of a
// running request: a call with a missing or forged context, or with the context
// of a finished request, is rejected.
func TestContext(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		const id = "r1-d1-catalogue-1"
		m := f.machines[id]
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
		const statusPrefix = `apricotrudder; error=http_request_denied; details=`
		if got := call(""); got != statusPrefix+`"contextMissing"` {
			t.Errorf("call without context: got %q, want contextMissing", got)
		}
		if got := call("forged"); got != statusPrefix+`"contextUnknown"` {
			t.Errorf("call with forged context: got %q, want contextUnknown", got)
		}
		for range 20 {
			f.send(id, "GET", "/catalogue/1", "agency-key", "", nil)
		}
		token := m.backend.LastContext()
		if token == "" {
			t.Fatal("no request with a context reached the backend server")
		}
		time.Sleep(time.Second)
		if got := call(token); got != statusPrefix+`"contextUnknown"` {
			t.Errorf("call with context of finished request: got %q, want contextUnknown", got)
		}
		if m.backend.Leaks() > 0 {
			t.Errorf("got %d requests with an API key at the backend server, want 0", m.backend.Leaks())
		}
	})
}
