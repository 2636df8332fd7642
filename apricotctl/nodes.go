package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/observer"
)

const (
	requestTimeout = 2 * time.Second
	pollInterval   = 200 * time.Millisecond
	timeLayout     = "15:04:05.000"
)

type (
	// nodeOptions are common to all commands that query nodes.
	nodeOptions struct {
		Nodes []string `long:"node" required:"true" value-name:"IP:PORT" description:"operator address of a node; may be repeated"`
		JSON  bool     `long:"json" description:"print JSON"`
	}

	statusCommand struct {
		nodeOptions
	}

	auditCommand struct {
		nodeOptions
		Count int `long:"count" default:"20" description:"entries of each node"`
	}

	followCommand struct {
		nodeOptions
		Version uint64        `long:"version" required:"true" description:"version of the tables"`
		Timeout time.Duration `long:"timeout" default:"10s" description:"how long to wait"`
	}

	// nodeStatus is the status of a node, or the error that prevented reading
	// it.
	nodeStatus struct {
		Node   string           `json:"node"`
		Status *observer.Status `json:"status,omitempty"`
		Error  string           `json:"error,omitempty"`
	}

	nodeEntry struct {
		Node string `json:"node"`
		observer.Entry
	}
)

// Execute prints one line per node.
func (c *statusCommand) Execute([]string) error {
	statuses, err := c.statuses(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(statuses)
	}
	printStatuses(statuses)
	return nil
}

// Execute prints the merged audit trails of all nodes, newest entry first.
func (c *auditCommand) Execute([]string) error {
	entries, failures, err := c.entries()
	if err != nil {
		return err
	}
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Time.After(entries[j].Time) })
	if c.JSON {
		err = printJSON(entries)
	} else {
		printEntries(entries)
	}
	if len(failures) > 0 {
		return errors.Errorf("no response from %d nodes: %v", len(failures), failures)
	}
	return err
}

// Execute waits until all nodes have the version, or a later one, in force.
// After the timeout it prints the nodes that do not.
func (c *followCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := time.Now()
	for {
		statuses, err := c.statuses(ctx)
		if err != nil {
			return err
		}
		lagging := c.lagging(statuses)
		if len(lagging) == 0 {
			fmt.Printf("version %d is in force on all %d nodes (after %v)\n", c.Version, len(statuses), time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			printStatuses(lagging)
			return errors.Errorf("version %d is not in force on %d of %d nodes after %v", c.Version, len(lagging), len(statuses), c.Timeout)
		case <-time.After(pollInterval):
		}
	}
}

func (c *followCommand) lagging(statuses []nodeStatus) []nodeStatus {
	var out []nodeStatus
	for _, s := range statuses {
		if s.Status == nil || s.Status.ConfigVersion < c.Version {
			out = append(out, s)
		}
	}
	return out
}

func (o *nodeOptions) statuses(ctx context.Context) ([]nodeStatus, error) {
	addresses, err := o.addresses()
	if err != nil {
		return nil, err
	}
	client := newObserver()
	out := make([]nodeStatus, len(addresses))
	for i, a := range addresses {
		out[i].Node = a.String()
		s, err := client.Status(ctx, a)
		if err != nil {
			out[i].Error = err.Error()
			continue
		}
		out[i].Status = &s
	}
	return out, nil
}

func (c *auditCommand) entries() (entries []nodeEntry, failures []string, err error) {
	addresses, err := c.addresses()
	if err != nil {
		return nil, nil, err
	}
	client := newObserver()
	for _, a := range addresses {
		got, err := client.Audit(context.Background(), a, c.Count)
		if err != nil {
			failures = append(failures, a.String())
			continue
		}
		for _, e := range got {
			entries = append(entries, nodeEntry{a.String(), e})
		}
	}
	return entries, failures, nil
}

func (o *nodeOptions) addresses() ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, text := range o.Nodes {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--node: got %q, want an IP address and port: %w", text, err)
		}
		out = append(out, a)
	}
	return out, nil
}

func newObserver() *observer.Observer {
	return &observer.Observer{Client: &http.Client{Timeout: requestTimeout}}
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func printStatuses(statuses []nodeStatus) {
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tVM\tPOOL\tCONFIG\tVMS\tREADY\tFRESH\tLEAVING\tIN FLIGHT\tNOTE")
	for _, n := range statuses {
		s := n.Status
		if s == nil {
			fmt.Fprintf(t, "%s\t-\t-\t-\t-\t-\t-\t-\t-\t%s\n", n.Node, n.Error)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%t\t%t\t%t\t%d/%d\t%s\n",
			n.Node, s.VM, s.Pool, s.ConfigVersion, s.VMsVersion, s.Ready, s.Fresh, s.Leaving, s.InFlight, s.Limit, statusNote(s))
	}
	// There is nothing to do about a failed write to standard output.
	_ = t.Flush()
}

func statusNote(s *observer.Status) string {
	var notes []string
	switch {
	case s.BackendDown:
		notes = append(notes, "backend server down")
	case s.PlatformDown:
		notes = append(notes, "platform down for most data centres")
	}
	for _, e := range s.Evacuations {
		since := (time.Duration(e.SinceMs) * time.Millisecond).Round(100 * time.Millisecond)
		note := fmt.Sprintf("%s evacuated for %v (revision %d of era %d)", e.DataCentre, since, e.Revision, e.Era)
		if e.Missing {
			note += ", which the restored store lacks: write its key again, and remove it to take the data centre back"
		}
		if e.DataCentre == s.DataCentre {
			note += fmt.Sprintf(", %d still running here", s.InFlight)
		}
		notes = append(notes, note)
	}
	return strings.Join(notes, "; ")
}

func printEntries(entries []nodeEntry) {
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "TIME\tNODE\tKIND\tSUBJECT\tVERSION\tSOURCE\tDETAIL")
	for _, e := range entries {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n",
			e.Time.Format(timeLayout), e.Node, e.Kind, e.Subject, e.Version, e.Source, e.Detail)
	}
	_ = t.Flush()
}
