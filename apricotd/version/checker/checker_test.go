package checker

import (
	"os"
	"strings"
	"testing"
)

// TestTables runs the cases in testdata/tables.txt.
func TestTables(t *testing.T) {
	data, err := os.ReadFile("testdata/tables.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range strings.Split(string(data), "\ncase ")[1:] {
		name, rest, _ := strings.Cut(text, "\n")
		t.Run(name, func(t *testing.T) { runCase(t, rest) })
	}
}

func runCase(t *testing.T, text string) {
	parts := strings.Split(text, "--- ")
	docs := make(Documents)
	for _, part := range parts[1:] {
		table, body, _ := strings.Cut(part, "\n")
		docs[table] = []byte(body)
	}
	cfg, err := Check(1, docs)
	for line := range strings.SplitSeq(parts[0], "\n") {
		want, ok := strings.CutPrefix(line, "want ")
		switch {
		case !ok:
		case want == "ok":
			if err != nil || cfg == nil {
				t.Errorf("got error %v, want none", err)
			}
		case err == nil || !strings.Contains(err.Error(), want):
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}

// FuzzCheck checks that arbitrary documents cause no panic, and that accepted
// tables are accepted again after conversion to rows.
func FuzzCheck(f *testing.F) {
	data, err := os.ReadFile("testdata/tables.txt")
	if err != nil {
		f.Fatal(err)
	}
	for _, part := range strings.Split(string(data), "--- ")[1:] {
		_, body, _ := strings.Cut(part, "\n")
		f.Add([]byte(body), []byte(body), []byte(body))
	}
	f.Fuzz(func(t *testing.T, routes, pools, organisations []byte) {
		cfg, err := Check(1, Documents{RoutesTable: routes, PoolsTable: pools, OrganisationsTable: organisations})
		if err != nil {
			return
		}
		rows, err := cfg.Rows()
		if err != nil {
			t.Fatalf("got %v, want rows", err)
		}
		if _, err := FromRows(1, rows); err != nil {
			t.Fatalf("got %v, want accepted tables to be accepted as rows", err)
		}
	})
}
