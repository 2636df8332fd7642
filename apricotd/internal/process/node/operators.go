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

// operatorHandler serves the status, metrics and audit trail to operators and
// the platform. All endpoints are read-only: a node's behaviour is changed only
// through the published tables.
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
	freshness := n.spreader.Current()
	if !freshness.Ready || n.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, n.status())
}

func (n *Node) serveAudit(w http.ResponseWriter, r *http.Request) {
	count := defaultAuditEntries
	if value := r.URL.Query().Get("count"); value != "" {
		c, err := strconv.Atoi(value)
		if err != nil || c < 1 || c > maxAuditEntries {
			http.Error(w, fmt.Sprintf("count: got %q, want 1 to %d", value, maxAuditEntries), http.StatusBadRequest)
			return
		}
		count = c
	}
	writeJSON(w, n.audit.Entries(count))
}

func (n *Node) status() observer.Status {
	config, vms := n.spreader.Versions()
	inFlight, limit := n.admitter.Load()
	freshness := n.spreader.Current()
	s := observer.Status{
		VM:            n.Settings.VM,
		Pool:          n.Settings.Pool,
		DataCentre:    n.Settings.DataCentre,
		Process:       n.process,
		Release:       n.Version,
		ConfigVersion: config,
		VMsVersion:    vms,
		Ready:         freshness.Ready,
		Fresh:         freshness.Fresh,
		PlatformDown:  freshness.PlatformDown,
		Leaving:       n.isLeaving(),
		BackendDown:   n.prober.IsDown(),
		InFlight:      inFlight,
		Limit:         limit,
	}
	if freshness.Fresh {
		s.AgeMs = freshness.Age.Milliseconds()
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
