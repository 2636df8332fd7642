package ranker

import "testing"

// Guards against calls that precede requests of callers who are more urgent than the
// root of their tree, and against calls of an urgent tree that yield.
func TestRankOfCall(t *testing.T) {
	r := &Ranker{PerRun: func(route, call string) float64 {
		return map[string]float64{"search": 4, "order": 4, "payment": 0.05}[route] // payments by a wrong attribution
	}}
	check := func(state string, wantRank int, wantOK bool) {
		t.Helper()
		if rank, ok := r.Rank("stock"); rank != wantRank || ok != wantOK {
			t.Errorf("rank of a call with %s: got %d, %v, want %d, %v", state, rank, ok, wantRank, wantOK)
		}
	}
	check("nothing running", 0, false)
	endPayment := r.Begin("payment", 0)
	check("only payments running", 0, false)
	var ends []func()
	for range 12 {
		ends = append(ends, r.Begin("search", 2))
	}
	check("searches and payments running", 2, true)
	ends = append(ends, r.Begin("order", 1))
	check("one order beside twelve searches", 2, true)
	ends = append(ends, r.Begin("order", 1))
	check("two orders beside twelve searches", 1, true)
	for _, end := range append(ends, endPayment) {
		end()
	}
	check("all ended", 0, false)
	if len(r.routes) > 0 {
		t.Errorf("routes stored after all runs have ended: got %d, want 0", len(r.routes))
	}
}
