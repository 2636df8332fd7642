package loadgen

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"
)

// A Summary aggregates outcomes.
type Summary struct {
	Total    int
	Answered int
	Reasons  map[string]int
	P50, P99 time.Duration // latency of answered requests
}

// Summarise aggregates the outcomes for which include returns true.
func Summarise(outcomes []Outcome, include func(Outcome) bool) Summary {
	s := Summary{Reasons: make(map[string]int)}
	var latencies []time.Duration
	for _, o := range outcomes {
		if !include(o) {
			continue
		}
		s.Total++
		s.Reasons[o.Reason]++
		if o.Reason == Answered {
			s.Answered++
			latencies = append(latencies, o.Latency)
		}
	}
	slices.Sort(latencies)
	s.P50 = quantile(latencies, 0.50)
	s.P99 = quantile(latencies, 0.99)
	return s
}

// Print writes the totals, one table by kind of request and one by organisation,
// and the number of unanswered requests for each reason.
func Print(w io.Writer, outcomes []Outcome, elapsed time.Duration) {
	all := Summarise(outcomes, func(Outcome) bool { return true })
	fmt.Fprintf(w, "goodput %.1f/s: %d of %d requests answered in full, p50 %v, p99 %v\n",
		float64(all.Answered)/elapsed.Seconds(), all.Answered, all.Total, all.P50.Round(10*time.Microsecond), all.P99.Round(10*time.Microsecond))
	printGroups(w, "request", outcomes, func(o Outcome) string { return o.Kind })
	printGroups(w, "organisation", outcomes, func(o Outcome) string { return o.Organisation })
	for _, reason := range sortedKeys(all.Reasons) {
		if reason != Answered {
			fmt.Fprintf(w, "  not answered: %-40s %d\n", reason, all.Reasons[reason])
		}
	}
}

func printGroups(w io.Writer, title string, outcomes []Outcome, group func(Outcome) string) {
	names := make(map[string]int)
	for _, o := range outcomes {
		names[group(o)]++
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "  %s\tsent\tanswered\tp50\tp99\n", title)
	for _, name := range sortedKeys(names) {
		s := Summarise(outcomes, func(o Outcome) bool { return group(o) == name })
		fmt.Fprintf(t, "  %s\t%d\t%d\t%v\t%v\n", name, s.Total, s.Answered, s.P50.Round(10*time.Microsecond), s.P99.Round(10*time.Microsecond))
	}
	// Write errors are left to the owner of w.
	_ = t.Flush()
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
