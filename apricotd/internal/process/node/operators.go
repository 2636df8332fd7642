package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"apricotrudder.dev/apricotd/observer"
)

const (
	defaultAuditEntries = 100
	maxAuditEntries     = 1000
)

// operatorHandler serves what operators and the platform look at. Nothing here
// changes anything: the tables are the only means of control.
func (n *Node) operatorHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/live", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "live")
	})
	r.Get("/ready", n.serveReady)
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
	})
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, n.status())
	})
	r.Get("/v1/audit", n.serveAudit)
	return r
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	f := n.spreader.Current()
	if !f.Ready || n.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, n.status())
}

func (n *Node) serveAudit(w http.ResponseWriter, r *http.Request) {
	count := defaultAuditEntries
	if text := r.URL.Query().Get("count"); text != "" {
		c, err := strconv.Atoi(text)
		if err != nil || c < 1 || c > maxAuditEntries {
			http.Error(w, fmt.Sprintf("count: got %q, want 1 to %d", text, maxAuditEntries), http.StatusBadRequest)
			return
		}
		count = c
	}
	writeJSON(w, n.audit.Entries(count))
}

func (n *Node) status() observer.Status {
	config, vms := n.spreader.Versions()
	inFlight, limit := n.admitter.Load()
	f := n.spreader.Current()
	s := observer.Status{
		VM:            n.Settings.VM,
		Pool:          n.Settings.Pool,
		DataCentre:    n.Settings.DataCentre,
		Process:       n.process,
		Release:       n.Version,
		ConfigVersion: config,
		VMsVersion:    vms,
		Ready:         f.Ready,
		Fresh:         f.Fresh,
		PlatformDown:  f.PlatformDown,
		Leaving:       n.isLeaving(),
		BackendDown:   n.prober.IsDown(),
		InFlight:      inFlight,
		Limit:         limit,
	}
	if f.Fresh {
		s.AgeMs = f.Age.Milliseconds()
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(w).Encode(v)
}
