package loader

import (
	"os"
	"strings"
	"testing"
)

// TestSettings reads its cases from testdata/settings.txt. A case replaces one
// text in the valid settings by another and gives a part of the expected error.
func TestSettings(t *testing.T) {
	data, err := os.ReadFile("testdata/settings.txt")
	if err != nil {
		t.Fatal(err)
	}
	valid, cases, _ := strings.Cut(string(data), "\n=== cases\n")
	if _, err := Parse("apricotd.toml", []byte(valid)); err != nil {
		t.Fatalf("parse valid settings: got error %v, want none", err)
	}
	for line := range strings.SplitSeq(strings.TrimSpace(cases), "\n") {
		parts := strings.Split(line, " | ")
		t.Run(parts[1], func(t *testing.T) {
			if !strings.Contains(valid, parts[0]) {
				t.Fatalf("valid settings do not contain %q", parts[0])
			}
			text := strings.Replace(valid, parts[0], parts[1], 1)
			_, err := Parse("apricotd.toml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), parts[2]) {
				t.Errorf("got error %v, want one that contains %q", err, parts[2])
			}
		})
	}
}
