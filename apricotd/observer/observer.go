// Package observer is a client for the operator endpoints of nodes. It also
// defines the types of their responses, which docs/PROTOCOL.md describes.
//
// # Usage
//
//	o := &observer.Observer{Client: http.DefaultClient}
//	status, err := o.Status(ctx, address)
package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

const maxResponseBytes = 4 << 20 // bytes

type (
	// Status is the response of /v1/status.
	Status struct {
		VM            string `json:"vm"`
		Pool          string `json:"pool"`
		DataCentre    string `json:"dataCentre"`
		Process       string `json:"process"` // changes at every restart
		Release       string `json:"release"`
		ConfigVersion uint64 `json:"configVersion"`
		VMsVersion    uint64 `json:"vmsVersion"`
		Ready         bool   `json:"ready"`
		Fresh         bool   `json:"fresh"`
		AgeMs         int64  `json:"ageMs"` // age of the latest confirmation, if Fresh
		PlatformDown  bool   `json:"platformDown"`
		Leaving       bool   `json:"leaving"`
		BackendDown   bool   `json:"backendDown"`
		InFlight      int    `json:"inFlight"`
		Limit         int    `json:"limit"`
		// Evacuations are those that the node knows to be in force.
		Evacuations []Evacuation `json:"evacuations,omitempty"`
	}

	// An Evacuation is an operator's request that the backend servers of a data centre
	// get no requests.
	Evacuation struct {
		DataCentre string `json:"dataCentre"`
		// Era and Revision are those of the request in the platform's store.
		Era      int64  `json:"era"`
		Revision uint64 `json:"revision"`
		// SinceMs is the time since the nodes learned of it.
		SinceMs int64 `json:"sinceMs"`
	}

	// An Entry is one entry of a node's audit trail, as returned by /v1/audit.
	Entry struct {
		Time    time.Time `json:"time"`
		Kind    string    `json:"kind"`
		Subject string    `json:"subject,omitempty"`
		Detail  string    `json:"detail,omitempty"`
		Version uint64    `json:"version,omitempty"`
		Source  string    `json:"source,omitempty"`
	}

	// An Observer queries the operator endpoints of nodes.
	Observer struct {
		Client *http.Client
	}
)

// Status returns the status of a node.
func (o *Observer) Status(ctx context.Context, node netip.AddrPort) (Status, error) {
	var s Status
	err := o.get(ctx, node, "/v1/status", &s)
	return s, err
}

// Audit returns up to count of a node's latest audit entries, newest first.
func (o *Observer) Audit(ctx context.Context, node netip.AddrPort, count int) ([]Entry, error) {
	var entries []Entry
	err := o.get(ctx, node, fmt.Sprintf("/v1/audit?count=%d", count), &entries)
	return entries, err
}

func (o *Observer) get(ctx context.Context, node netip.AddrPort, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+path, nil)
	if err != nil {
		return fmt.Errorf("query node %v: %w", node, err)
	}
	response, err := o.Client.Do(request)
	if err != nil {
		return fmt.Errorf("query node %v: %w", node, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response of node %v: %w", node, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("query node %v: got status %d: %s", node, response.StatusCode, body)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("decode response of node %v: %w", node, err)
	}
	return nil
}
