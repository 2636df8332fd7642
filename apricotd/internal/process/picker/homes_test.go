package picker

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a retry delay that does not say when a home server may have room, or
// that counts servers outside the homes, which may have room earlier.
func TestNextRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "a1", Region: "a"}
		list := servers("a1", "b1", "b2")
		home := Request{Regions: []string{"b"}}
		if wait, ok := p.NextRoom(list, home); ok {
			t.Errorf("time until a server without a record has room: got %v, want none", wait)
		}
		for _, region := range []string{"a", "b", "b"} {
			c, ok := p.Choose(list, nil, Request{Regions: []string{region}})
			if !ok {
				t.Fatalf("choose a server in region %s: got none", region)
			}
			after := map[string]time.Duration{"0": 100 * time.Millisecond, "1": 900 * time.Millisecond, "2": 400 * time.Millisecond}
			c.Done(Report{Result: Full, RoomAfter: after[c.Server.ID]})
		}
		if wait, ok := p.NextRoom(list, home); !ok || wait != 400*time.Millisecond {
			t.Errorf("time until a home server has room: got %v %v, want 400 ms", wait, ok)
		}
		urgent := Request{Regions: []string{"b"}, Call: true}
		if wait, ok := p.NextRoom(list, urgent); ok {
			t.Errorf("time until room for a call, which is not skipped: got %v, want none", wait)
		}
	})
}
