package mesher

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// Guards against callers being told that a request has not run, or a second run of
// it, when a server contradicts itself or does not tell whether it has run it.
func TestServerRefusals(t *testing.T) {
	data, err := os.ReadFile("testdata/refusals.txt")
	if err != nil {
		t.Fatal(err)
	}
	placements := map[string]placement{"a": {"north", "north-1", "stock"}, "b": {"north", "north-1", "orders"}, "c": {"north", "north-2", "orders"}}
	for line := range strings.Lines(string(data)) {
		columns := strings.Split(strings.TrimSpace(line), " | ")
		if strings.HasPrefix(line, "#") || len(columns) != 4 {
			continue
		}
		status, fields, runs := columns[0], strings.Split(columns[1], ","), columns[2] == "yes"
		want, err := strconv.Atoi(columns[3])
		if err != nil {
			t.Fatalf("parse line %q: %v", line, err)
		}
		t.Run(columns[0]+" "+columns[1], func(t *testing.T) {
			runFleet(t, placements, func(f *fleet) {
				f.vms["b"].worker.setScripted(status, fields, runs)
				if r := f.send("a", f.requestText("POST", "shop.example", "/order/1", "x")); r.status != want {
					t.Errorf("response: got %d, want %d", r.status, want)
				}
				if n := len(f.runsInPool("orders")); n != 1 {
					t.Errorf("runs: got %d, want 1", n)
				}
			})
		})
	}
}
