package plotter

import (
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestPageAndPlots(t *testing.T) {
	folder := t.TempDir()
	results := []Result{
		{Name: "burst", Pattern: "burst <at> 1.7", Policy: "naive", Worth: 0.25, Optimum: 1, Timeline: []float64{1, 0.2, 1}, From: 1, To: 2},
		{Name: "burst", Pattern: "burst <at> 1.7", Policy: "apricot", Worth: 0.5, Optimum: 1, Timeline: []float64{1, 0.5, 1}, From: 1, To: 2},
	}
	if err := Write(results, folder); err != nil {
		t.Fatalf("write: %v", err)
	}
	page, err := os.ReadFile(filepath.Join(folder, "EXPERIMENTS.md"))
	if err != nil {
		t.Fatalf("read page: %v", err)
	}
	for _, want := range []string{"| burst | naive | 0.250 | 0.25 |", "| burst | apricot | 0.500 | 0.50 |", "experiments/burst.svg"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	plot, err := os.Open(filepath.Join(folder, "experiments", "burst.svg"))
	if err != nil {
		t.Fatalf("open plot: %v", err)
	}
	defer plot.Close()
	lines := 0
	for d := xml.NewDecoder(plot); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("parse plot as XML: %v", err)
		}
		if e, ok := token.(xml.StartElement); ok && e.Name.Local == "polyline" {
			lines++
		}
	}
	if lines != len(results) {
		t.Errorf("polylines in the plot: got %d, want %d", lines, len(results))
	}
}
