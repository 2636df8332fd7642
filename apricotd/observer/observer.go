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
	"net/url"
	"strconv"
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
		// Missing reports that the store was restored from a copy and lacks the request. It
		// is in force until the operator writes it again and removes it.
		Missing bool `json:"missing,omitempty"`
	}

	// A WhereQuery describes a request that is not sent.
	WhereQuery struct {
		Host   string
		Target string // path and query
		// Organisation is the name of the organisation whose request it is. If it is empty,
		// none of an organisation's properties apply. It doesn't count on routes that need
		// no key. Keys are never sent to an operators' address.
		Organisation string
		// Call is true for a call of the node's own backend server.
		Call bool
	}

	// Where is the response of /v1/where: what a node would do with a request now, by its
	// own state. Rates, and requests that crash servers, are left out.
	Where struct {
		VM    string `json:"vm"`
		Route string `json:"route"`
		Rank  int    `json:"rank"` // 0 is the most urgent
		// TreeRank tells whether Rank is that of the call trees for which the node's own
		// backend server makes such calls. A call without it goes first.
		TreeRank bool     `json:"treeRank,omitempty"`
		Version  uint64   `json:"version"`
		AgeMs    int64    `json:"ageMs"` // time since the node last knew all published state
		Homes    []string `json:"homeRegions,omitempty"`
		// Refusal is why no such request would be sent at all.
		Refusal string `json:"refusal,omitempty"`
		// ThrottledRatio is the part, 0 to 1, of such requests that the node would refuse
		// for the excess of the bottleneck, as reported ReportAgeMs ago by Reporter.
		ThrottledRatio float64 `json:"throttledRatio"`
		Excess         float64 `json:"excess"`
		Bottleneck     string  `json:"bottleneck,omitempty"`
		Reporter       string  `json:"reporter,omitempty"`
		// OtherPools are the pools, besides Bottleneck, towards whose demand such
		// requests count.
		OtherPools  []string `json:"otherPools,omitempty"`
		ReportAgeMs int64    `json:"reportAgeMs,omitempty"`
		// LostRatio is the part of such requests that are lost to rejected calls.
		LostRatio float64 `json:"lostRatio"`
		// PostponedRatio is the part of first attempts that would be refused for this, if
		// their callers state enough time to return.
		PostponedRatio float64 `json:"postponedRatio,omitempty"`
		// ExpectedMs is the service time expected at a server of mean speed, estimated
		// by route, shape or organisation; 0 if unknown.
		ExpectedMs float64     `json:"expectedMs"`
		ExpectedBy string      `json:"expectedBy"`
		Pools      []WherePool `json:"pools"`
	}

	// A WherePool is a pool that may run the request.
	WherePool struct {
		Pool  string  `json:"pool"`
		Share float64 `json:"share"` // of the route's requests, by its weights
		// ByCompletion tells whether servers are compared by expected completion, or
		// else by utilisation.
		ByCompletion bool          `json:"byCompletion"`
		Servers      []WhereServer `json:"servers"`
	}

	// A WhereServer is a server of a pool.
	WhereServer struct {
		Server     string `json:"server"`
		DataCentre string `json:"dataCentre"`
		Region     string `json:"region"`
		// Share is the part of the requests to the pool that would go to it now.
		Share float64 `json:"share"`
		// Reason is why it can't be selected; empty if it can.
		Reason      string  `json:"reason,omitempty"`
		AgeMs       int64   `json:"ageMs"` // of what is known of its load; -1: nothing
		Utilisation float64 `json:"utilisation"`
		// The parts of the expected completion; 0 unless ByCompletion.
		WaitMs    float64 `json:"waitMs,omitempty"`
		ServiceMs float64 `json:"serviceMs,omitempty"`
		TravelMs  float64 `json:"travelMs,omitempty"`
		PenaltyMs float64 `json:"penaltyMs,omitempty"` // for distance, failures and pressure
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

// Where returns what a node would do with a request now, without sending it.
func (o *Observer) Where(ctx context.Context, node netip.AddrPort, q WhereQuery) (Where, error) {
	values := url.Values{"host": {q.Host}, "target": {q.Target}, "organisation": {q.Organisation}, "call": {strconv.FormatBool(q.Call)}}
	var w Where
	err := o.get(ctx, node, "/v1/where?"+values.Encode(), &w)
	return w, err
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
