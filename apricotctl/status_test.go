package main

import (
	"testing"

	"apricotrudder.dev/apricotd/observer"
)

// Guards against a status that hides an evacuation or what still runs in it.
func TestStatusNote(t *testing.T) {
	evacuation := []observer.Evacuation{{DataCentre: "d1", Era: 2, Revision: 35, SinceMs: 12_340}}
	for _, c := range []struct {
		status observer.Status
		want   string
	}{
		{observer.Status{}, ""},
		{observer.Status{BackendDown: true}, "backend server down"},
		{observer.Status{DataCentre: "d1", InFlight: 3, Evacuations: evacuation}, "d1 evacuated for 12.3s (revision 35 of era 2), 3 still running here"},
		{observer.Status{DataCentre: "d2", InFlight: 3, BackendDown: true, Evacuations: evacuation}, "backend server down; d1 evacuated for 12.3s (revision 35 of era 2)"},
		{observer.Status{Evacuations: []observer.Evacuation{{DataCentre: "d1", Era: 2, Revision: 35, Missing: true}}},
			"d1 evacuated for 0s (revision 35 of era 2), which the restored store lacks: write its key again, and remove it to take the data centre back"},
	} {
		if got := statusNote(&c.status); got != c.want {
			t.Errorf("note: got %q, want %q", got, c.want)
		}
	}
}
