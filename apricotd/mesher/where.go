package mesher

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/request/proxier"
	"apricotrudder.dev/apricotd/observer"
)

// serveWhere serves what this node would do with a request now, as JSON.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	where, err := n.proxier.Where(observer.WhereQuery{
		Host: q.Get("host"), Target: q.Get("target"), Organisation: q.Get("organisation"), Call: q.Get("call") == "true",
	})
	switch {
	case errors.Is(err, proxier.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	where.VM = n.Settings.VM
	w.Header().Set("Content-Type", "application/json")
	// There is nothing to do about a client that has disconnected.
	_ = json.NewEncoder(w).Encode(where)
}
