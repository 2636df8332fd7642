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
	// endedMessage marks the log lines that end a request.
	endedMessage = "request ended"
	// logLineBytes bounds one log line.
	logLineBytes = 1 << 20
	// storyTime is the format of times in a story.
	storyTime = "15:04:05.000"
)

type (
	explainCommand struct {
		Args struct {
			ID    string   `positional-arg-name:"ID" required:"yes" description:"id of the request"`
			Files []string `positional-arg-name:"FILE" description:"logs of nodes; none: standard input"`
		} `positional-args:"true"`
	}

	// An ending is a log line that ends a request. Before the JSON there may
	// be the words of whoever gathered the lines, such as the node's name.
	ending struct {
		gathered string

		Time     time.Time `json:"time"`
		Message  string    `json:"msg"`
		Request  string    `json:"request"`
		Route    string    `json:"route"`
		Pool     string    `json:"pool"`
		Rank     int       `json:"rank"`
		Version  uint64    `json:"version"`
		Call     bool      `json:"call"`
		Tries    int       `json:"tries"`
		Arrivals int       `json:"arrivals"`
		Server   string    `json:"server"`
		TookMs   int64     `json:"tookMs"`
		Outcome  string    `json:"outcome"`
		Detail   string    `json:"detail"`
	}
)

// Execute prints the story of one request over all nodes, and of the calls
// whose ids begin with its own, in the order of time.
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
	var story []ending
	for _, log := range logs {
		found, err := endingsOf(id, log)
		if err != nil {
			return err
		}
		story = append(story, found...)
	}
	if len(story) == 0 {
		return errors.Errorf("got no line on request %q, want at least one; it may have been left out (log lines left out)", id)
	}
	slices.SortStableFunc(story, func(a, b ending) int { return a.Time.Compare(b.Time) })
	for _, e := range story {
		fmt.Fprintln(out, e.sentence())
	}
	return nil
}

func endingsOf(id string, log io.Reader) ([]ending, error) {
	var out []ending
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, logLineBytes)
	for lines.Scan() {
		gathered, text, ok := strings.Cut(lines.Text(), "{")
		if !ok || !strings.Contains(text, id) {
			continue
		}
		e := ending{gathered: strings.TrimSpace(gathered)}
		if err := json.Unmarshal([]byte("{"+text), &e); err != nil {
			continue // a line of something else
		}
		if e.Message == endedMessage && (e.Request == id || strings.HasPrefix(e.Request, id+".")) {
			out = append(out, e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

func (e *ending) sentence() string {
	what := "request"
	if e.Call {
		what = "call"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s", e.Time.Format(storyTime))
	if e.gathered != "" {
		fmt.Fprintf(&b, " [%s]", e.gathered)
	}
	fmt.Fprintf(&b, " %s %s on route %s (rank %d, tables %d): %s after %d ms", what, e.Request, e.Route, e.Rank, e.Version, e.Outcome, e.TookMs)
	fmt.Fprintf(&b, "; asked %d nodes of pool %s", e.Tries, e.Pool)
	if e.Server != "" {
		fmt.Fprintf(&b, ", %s last", e.Server)
	}
	fmt.Fprintf(&b, "; reached %d backend servers", e.Arrivals)
	if e.Detail != "" {
		fmt.Fprintf(&b, "; %s", e.Detail)
	}
	return b.String()
}
