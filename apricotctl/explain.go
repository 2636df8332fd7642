package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// endedMessage is the message of the log entry that a node writes when a
	// request ends.
	endedMessage     = "request ended"
	maxLogLineBytes  = 1 << 20
	recordTimeFormat = "15:04:05.000"
)

type (
	explainCommand struct {
		Args struct {
			ID    string   `positional-arg-name:"ID" required:"yes" description:"id of the request"`
			Files []string `positional-arg-name:"FILE" description:"logs of nodes; none: standard input"`
		} `positional-args:"true"`
	}

	// A requestRecord is a node's log entry for an ended request.
	requestRecord struct {
		// prefix is the text before the JSON, such as a node name added by a
		// log collector.
		prefix string

		Time     time.Time `json:"time"`
		Message  string    `json:"msg"`
		Request  string    `json:"request"`
		Route    string    `json:"route"`
		Pool     string    `json:"pool"`
		Rank     int       `json:"rank"`
		TreeRank bool      `json:"treeRank"`
		Version  uint64    `json:"version"`
		Call     bool      `json:"call"`
		Tries    int       `json:"tries"`
		Arrivals int       `json:"arrivals"`
		Server   string    `json:"server"`
		TookMs   int64     `json:"tookMs"`
		Outcome  string    `json:"outcome"`
		Detail   string    `json:"detail"`
		// TablesAgeMs and StateAgeMs are set unless the request was answered: for how
		// long the tables had been in force, and the time since the node last knew
		// that it had all changes of the published state.
		TablesAgeMs int64 `json:"tablesAgeMs"`
		StateAgeMs  int64 `json:"stateAgeMs"`

		// Candidates is the number of servers that were compared by expected completion
		// for the last attempt; 0 if they were not. The others tell why it was selected.
		Candidates         int    `json:"candidates"`
		ExpectedMs         int64  `json:"expectedMs"`
		ExpectedBy         string `json:"expectedBy"`
		PredictedWaitMs    int64  `json:"predictedWaitMs"`
		PredictedServiceMs int64  `json:"predictedServiceMs"`
		PenaltyMs          int64  `json:"penaltyMs"`
		LoadAgeMs          *int64 `json:"loadAgeMs"`
		ServiceMs          int64  `json:"serviceMs"`
	}
)

// meanings explain the outcomes of requests other than answered.
var meanings = map[string]string{
	"starting":         "this node refused it, because it had just started and had no tables yet; no server was asked",
	"stopping":         "a node that is stopping refused it, because it could have ended before the answer; it has not run",
	"noRoute":          "this node refused it, because its tables have no route for the host and path",
	"keyUnknown":       "this node refused it, because its tables do not have the key",
	"rateExceeded":     "the owner of the organisation's bucket refused it, because the organisation had used up its rate; no server was asked",
	"throttled":        "this node refused it before it asked a server, because it believed that a pool which the request needs is overloaded",
	"postponed":        "this node refused it before it asked a server, because most requests of the route are lost to rejected calls; its caller can return and still be served on time",
	"noServer":         "this node refused it, because it knew no server of the pool that it could use",
	"noHome":           "this node refused it, because its route and its organisation have no home region in common; no server was asked",
	"noHomeServer":     "this node refused it, because no server in its home regions was usable; it is not sent elsewhere",
	"outsideHome":      "the node beside the server refused it, because by that node's tables its region is none of the home regions; it has not run",
	"overloaded":       "the node beside the server refused it, because no slot became free in time, or because its server was cold and had got as many requests as it tolerates (see the detail); it has not run",
	"leaving":          "the node beside the server refused it, because the server or that node accepts nothing new; it has not run",
	"wrongPool":        "the node beside the server refused it, because its server belongs to another pool; it has not run",
	"unidentified":     "the node beside the server refused it, because nothing showed yet to which pool its server belongs; it has not run",
	"evacuated":        "all servers that could run it are in data centres that the operator has evacuated, or the last node that was asked is in one; it has not run",
	"unreachable":      "the server or the node beside it could not be reached; it has not run",
	"shed":             "the server itself refused it and stated that it has not run it",
	"expired":          "its deadline passed before it was sent to a server; it has not run",
	"cancelled":        "its caller disconnected before it was sent to a server; it has not run",
	"quarantined":      "it was refused, because servers that ran the same request have crashed",
	"noMemory":         "the node beside the server refused it, because it had no memory left for it; it has not run",
	"lostUnknown":      "it was sent, and the connection to the server or to the node beside it ended without an answer; it may have run",
	"unclearUnknown":   "the server answered and contradicted itself, or did not tell whether it has run it; it may have run",
	"expiredUnknown":   "it was sent, and its deadline passed before the answer; it may have run",
	"cancelledUnknown": "its caller disconnected while it was running",
	"stoppingUnknown":  "this node ended while it was running; it may have run",
	"noMemoryUnknown":  "it was sent, and this node had no memory left for the answer; it may have run",
	"internalUnknown":  "a node's code failed while it was running; it may have run",
}

// Execute prints the log entries of all nodes for a request and for its calls,
// in chronological order, with what the outcome means. The ids of calls start with
// the id of the request.
func (c *explainCommand) Execute([]string) error {
	if len(c.Args.Files) == 0 {
		return explain(os.Stdout, c.Args.ID, os.Stdin)
	}
	var readers []io.Reader
	for _, path := range c.Args.Files {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return explain(os.Stdout, c.Args.ID, readers...)
}

func explain(out io.Writer, id string, logs ...io.Reader) error {
	var records []requestRecord
	for _, log := range logs {
		found, err := readRecords(id, log)
		if err != nil {
			return err
		}
		records = append(records, found...)
	}
	if len(records) == 0 {
		return errors.Errorf("no log entry found for request %q; its node may have been killed while the request was running, or may have dropped the entry to limit its log (see the message \"log lines left out\")", id)
	}
	slices.SortStableFunc(records, func(a, b requestRecord) int { return a.Time.Compare(b.Time) })
	for _, r := range records {
		fmt.Fprintln(out, r.summary())
	}
	return nil
}

func readRecords(id string, log io.Reader) ([]requestRecord, error) {
	var records []requestRecord
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		prefix, text, ok := strings.Cut(lines.Text(), "{")
		if !ok || !strings.Contains(text, id) {
			continue
		}
		r := requestRecord{prefix: strings.TrimSpace(prefix)}
		if err := json.Unmarshal([]byte("{"+text), &r); err != nil {
			continue // not a log entry for a request
		}
		if r.Message == endedMessage && (r.Request == id || strings.HasPrefix(r.Request, id+".")) {
			records = append(records, r)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return records, nil
}

// rankBasis says whose rank a call has.
func rankBasis(isTreeRank bool) string {
	if isTreeRank {
		return " of its call tree"
	}
	return ""
}

func (r *requestRecord) summary() string {
	what := "request"
	if r.Call {
		what = "call"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s", r.Time.Format(recordTimeFormat))
	if r.prefix != "" {
		fmt.Fprintf(&b, " [%s]", r.prefix)
	}
	fmt.Fprintf(&b, " %s %s on route %s (rank %d%s, tables %d): %s after %d ms", what, r.Request, r.Route, r.Rank, rankBasis(r.TreeRank), r.Version, r.Outcome, r.TookMs)
	fmt.Fprintf(&b, "; asked %d nodes of pool %s", r.Tries, r.Pool)
	if r.Server != "" {
		fmt.Fprintf(&b, ", %s last", r.Server)
	}
	fmt.Fprintf(&b, "; reached %d backend servers", r.Arrivals)
	if r.Detail != "" {
		fmt.Fprintf(&b, "; %s", r.Detail)
	}
	if meaning := meanings[r.Outcome]; meaning != "" {
		fmt.Fprintf(&b, "\n    %s", meaning)
	}
	if age := time.Duration(r.TablesAgeMs) * time.Millisecond; age > 0 {
		fmt.Fprintf(&b, "\n    the node went by tables %d, in force for %v, and last knew that it had all changes %v before",
			r.Version, age, time.Duration(r.StateAgeMs)*time.Millisecond)
	}
	if r.Candidates > 0 {
		b.WriteString("\n    " + r.selection())
	}
	return b.String()
}

// selection says why the last server was selected by expected completion.
func (r *requestRecord) selection() string {
	known := "nothing was known of its load"
	if r.LoadAgeMs != nil {
		known = fmt.Sprintf("its load was reported %d ms before", *r.LoadAgeMs)
	}
	took := ""
	if r.ServiceMs > 0 {
		took = fmt.Sprintf("; its service took %d ms", r.ServiceMs)
	}
	return fmt.Sprintf("the last server was selected of %d: %d ms of wait and %d ms of service were expected there (%d ms at a server of mean speed, learned by %s), with a penalty of %d ms; %s%s",
		r.Candidates, r.PredictedWaitMs, r.PredictedServiceMs, r.ExpectedMs, r.ExpectedBy, r.PenaltyMs, known, took)
}
