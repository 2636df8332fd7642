package auditor

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestEventsDoNotEvictChanges checks that frequent events do not evict the entries
// for changes, and that Entries returns the newest entries first.
func TestEventsDoNotEvictChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Auditor{Capacity: 3}
		for i := range 4 {
			a.Record(Entry{Kind: ConfigInForce, Version: uint64(i)})
			time.Sleep(time.Second)
		}
		for i := range 100 {
			a.Record(Entry{Kind: LeaseGained, Subject: fmt.Sprint(i)})
			a.RecordRefusal("overloaded", "", 0)
			time.Sleep(time.Millisecond)
		}
		got := a.Entries(10)
		if len(got) != 6 || got[0].Subject != "99" {
			t.Fatalf("got %d entries, first %+v, want 6 entries, first the lease event 99", len(got), got[0])
		}
		for i, e := range got[3:] {
			if e.Kind != ConfigInForce || e.Version != uint64(3-i) {
				t.Errorf("entry %d: got %s at version %d, want configInForce at version %d", i+3, e.Kind, e.Version, 3-i)
			}
		}
	})
}
