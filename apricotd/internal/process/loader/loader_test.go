package loader

import (
	"os"
	"strings"
	"testing"
)

// TestSettings reads cases from testdata/settings.txt: a change of valid
// settings and the fault that must be named.
func TestSettings(t *testing.T) {
	data, err := os.ReadFile("testdata/settings.txt")
	if err != nil {
		t.Fatal(err)
	}
	valid, cases, _ := strings.Cut(string(data), "\n=== cases\n")
	if _, err := Parse("apricotd.toml", []byte(valid)); err != nil {
		t.Fatalf("got %v for the valid settings, want none", err)
	}
	for line := range strings.SplitSeq(strings.TrimSpace(cases), "\n") {
		parts := strings.Split(line, " | ")
		t.Run(parts[1], func(t *testing.T) {
			if !strings.Contains(valid, parts[0]) {
				t.Fatalf("got no %q in the valid settings", parts[0])
			}
			text := strings.Replace(valid, parts[0], parts[1], 1)
			_, err := Parse("apricotd.toml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), parts[2]) {
				t.Errorf("got %v, want an error with %q", err, parts[2])
			}
		})
	}
}
