// Package plotter renders the results of experiments as a Markdown page with a
// table, and as one SVG plot for each load pattern.
//
// # Usage
//
//	err := plotter.Write(results, "docs") // docs/EXPERIMENTS.md, docs/experiments/NAME.svg
//
// The output depends on the results only and is deterministic.
package plotter

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"
)

type (
	// A Result is the outcome of one policy under one load pattern. Fractions
	// are between 0 and 1. An order has the weight of three searches.
	Result struct {
		Name    string `json:"name"`
		Pattern string `json:"pattern"`
		Policy  string `json:"policy"`
		// Worth is the weighted fraction of requests served while the pattern
		// lasted.
		Worth float64 `json:"worth"`
		// Optimum is the worth that a policy with complete information would
		// achieve.
		Optimum  float64 `json:"optimum"`
		Searches float64 `json:"searches"` // fraction served
		Orders   float64 `json:"orders"`   // fraction served
		// WorstOrganisation and WorstDataCentre are the lowest worth of any
		// organisation and of any data centre.
		WorstOrganisation float64 `json:"worstOrganisation"`
		WorstDataCentre   float64 `json:"worstDataCentre"`
		// RecoverySeconds is the time from the end of the pattern to the first
		// second with a worth of at least 0.9. It is negative if the
		// experiment ended first.
		RecoverySeconds float64 `json:"recoverySeconds"`
		// WastedWork is the fraction of the searches and orders run whose callers
		// received no successful response.
		WastedWork float64 `json:"wastedWork"`
		// Repeats is the number of repeated reads per distinct read.
		Repeats float64 `json:"repeats"`
		// Timeline is the worth of each second. From and To are the start and the
		// end of the pattern in seconds.
		Timeline []float64 `json:"timeline"`
		From     float64   `json:"from"`
		To       float64   `json:"to"`
	}

	// A chart is the template data of one plot.
	chart struct {
		Pattern        string
		Lines          []line
		BandX, BandW   float64
		Width, Height  int
		Left, Top      int
		Bottom, Right  int
		Seconds, Ticks []tick
	}

	line struct{ Policy, Colour, Points string }

	tick struct {
		At    float64
		Label string
	}
)

// Dimensions of a plot in pixels.
const (
	width  = 640
	height = 240
	margin = 40
)

// colours are assigned to the policies in order of appearance.
var colours = []string{"#b33", "#06c", "#393", "#888"}

var chartTemplate = template.Must(template.New("chart").Parse(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {{.Width}} {{.Height}}" font-family="sans-serif" font-size="11">
<rect width="{{.Width}}" height="{{.Height}}" fill="white"/>
<rect x="{{printf "%.1f" .BandX}}" y="{{.Top}}" width="{{printf "%.1f" .BandW}}" height="{{.Bottom}}" fill="#eee"/>
<text x="{{.Left}}" y="16">{{html .Pattern}}: worth served in each second</text>
{{range .Ticks}}<line x1="{{$.Left}}" x2="{{$.Right}}" y1="{{printf "%.1f" .At}}" y2="{{printf "%.1f" .At}}" stroke="#ccc"/><text x="8" y="{{printf "%.1f" .At}}">{{.Label}}</text>
{{end}}{{range .Seconds}}<text x="{{printf "%.1f" .At}}" y="{{$.Height}}" dy="-8">{{.Label}} s</text>
{{end}}{{range $i, $l := .Lines}}<polyline points="{{$l.Points}}" fill="none" stroke="{{$l.Colour}}" stroke-width="2"/><text x="{{$.Right}}" y="16" dx="-{{$i}}00" text-anchor="end" fill="{{$l.Colour}}">{{$l.Policy}}</text>
{{end}}</svg>
`))

// Write writes the page and its plots to a folder.
func Write(results []Result, folder string) error {
	plotFolder := filepath.Join(folder, "experiments")
	if err := os.MkdirAll(plotFolder, 0o755); err != nil {
		return fmt.Errorf("create plot folder: %w", err)
	}
	names, byName := groupByName(results)
	for _, name := range names {
		var out bytes.Buffer
		if err := chartTemplate.Execute(&out, newChart(byName[name])); err != nil {
			return fmt.Errorf("draw %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(plotFolder, name+".svg"), out.Bytes(), 0o644); err != nil {
			return fmt.Errorf("write plot: %w", err)
		}
	}
	if err := os.WriteFile(filepath.Join(folder, "EXPERIMENTS.md"), renderPage(names, byName), 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// groupByName groups the results by name. The names are in order of appearance.
func groupByName(results []Result) (names []string, byName map[string][]Result) {
	byName = make(map[string][]Result)
	for _, r := range results {
		if len(byName[r.Name]) == 0 {
			names = append(names, r.Name)
		}
		byName[r.Name] = append(byName[r.Name], r)
	}
	return names, byName
}

func newChart(results []Result) chart {
	first := results[0]
	seconds := max(1, len(first.Timeline))
	x := func(s float64) float64 { return margin + s*(width-2*margin)/float64(seconds) }
	y := func(v float64) float64 { return margin + (1-v)*(height-2*margin) }
	c := chart{
		Pattern: first.Pattern, Width: width, Height: height,
		Left: margin, Top: margin, Right: width - margin, Bottom: height - 2*margin,
		BandX: x(first.From), BandW: x(first.To) - x(first.From),
	}
	for _, v := range []float64{0, 0.25, 0.5, 0.75, 1} {
		c.Ticks = append(c.Ticks, tick{At: y(v), Label: fmt.Sprintf("%.2f", v)})
	}
	for s := 0; s <= seconds; s += 5 {
		c.Seconds = append(c.Seconds, tick{At: x(float64(s)), Label: fmt.Sprint(s)})
	}
	for i, r := range results {
		points := make([]string, len(r.Timeline))
		for s, v := range r.Timeline {
			points[s] = fmt.Sprintf("%.1f,%.1f", x(float64(s)+0.5), y(v))
		}
		c.Lines = append(c.Lines, line{Policy: r.Policy, Colour: colours[i%len(colours)], Points: strings.Join(points, " ")})
	}
	return c
}

func renderPage(names []string, byName map[string][]Result) []byte {
	var b bytes.Buffer
	b.WriteString(`# Experiments

Patterns of load on whole nodes in memory, beside a naive baseline: one hop to the
server with the fewest requests under way, one more try after a stated "not run",
and nothing else. Searches and orders lead to five reads of the deepest pool each.
Orders count three times. Made by ` + "`make experiments`" + ` (a run, then this page) or
` + "`bin/standin plot`" + ` (this page from docs/experiments.json).

| pattern | policy | worth | of the optimum | searches | orders | worst organisation | worst data centre | recovery, s | wasted work | repeats |
|---|---|---|---|---|---|---|---|---|---|---|
`)
	for _, name := range names {
		for _, r := range byName[name] {
			fmt.Fprintf(&b, "| %s | %s | %.3f | %.2f | %.3f | %.3f | %.3f | %.3f | %.0f | %.3f | %.3f |\n",
				r.Name, r.Policy, r.Worth, r.Worth/r.Optimum, r.Searches, r.Orders, r.WorstOrganisation, r.WorstDataCentre, r.RecoverySeconds, r.WastedWork, r.Repeats)
		}
	}
	b.WriteString("\nWorth, organisations and data centres: while the pattern lasts (grey in the\nplots). The optimum serves all orders first and leaves one slot of fourteen free,\nsince servers slow down when all are in use; retries and waiting are not in it.\nWasted work and repeats: over the whole run.\n")
	for _, name := range names {
		fmt.Fprintf(&b, "\n**%s**: %s.\n\n![%s](experiments/%s.svg)\n", name, byName[name][0].Pattern, name, name)
	}
	return b.Bytes()
}
