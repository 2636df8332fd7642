package mesher

import (
	"encoding/json"
	"net/http"
	"time"

	"apricotrudder.dev/apricotd/observer"
	"apricotrudder.dev/apricotd/version/lister"
)

// maxFreshAge is the age up to which the status calls the published state fresh. Readers
// report several times a second that the store answers them.
const maxFreshAge = 2 * time.Second

// evacuations returns the evacuations in force, as far as this node knows.
func (n *Node) evacuations() []lister.Evacuation {
	list := n.syncer.List()
	if list == nil {
		return nil
	}
	return list.Evacuations()
}

// serveStatus serves the status of this node as JSON.
func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// There is nothing to do about a client that has disconnected.
	_ = json.NewEncoder(w).Encode(n.status())
}

func (n *Node) status() observer.Status {
	v := n.syncer.Versions()
	load := n.invoker.Load()
	_, current := n.syncer.StateAge()
	identity, ok := n.identifier.Identify()
	s := observer.Status{
		VM:            n.Settings.VM,
		Pool:          identity.Pool,
		DataCentre:    n.Settings.DataCentre,
		ConfigVersion: v.Tables,
		VMsVersion:    v.Servers.Revision,
		Ready:         n.isReady(),
		Fresh:         current > 0 && current < maxFreshAge,
		AgeMs:         current.Milliseconds(),
		Leaving:       n.leaving.Load() || n.stopping.Load(),
		BackendDown:   !ok,
		InFlight:      int(load.Running),
		Limit:         int(load.Slots),
	}
	for _, e := range n.evacuations() {
		s.Evacuations = append(s.Evacuations, observer.Evacuation{
			DataCentre: e.DataCentre, Era: e.Era, Revision: e.Revision, SinceMs: time.Since(e.Since).Milliseconds(),
			Missing: e.Era < v.Servers.Era,
		})
	}
	return s
}
