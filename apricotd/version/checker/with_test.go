package checker

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawRows draws a small set of rows, which may be invalid as a whole.
func drawRows(t *rapid.T, label string) map[string][]byte {
	rows := make(map[string][]byte)
	put := func(key string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		rows[key] = data
	}
	for i := range rapid.IntRange(0, 4).Draw(t, label+"Pools") {
		name := fmt.Sprintf("p%d", i)
		put("pool/"+name, &Pool{Name: name, Slots: uint32(rapid.IntRange(0, 3).Draw(t, "slots")), Connections: 3, CrossRegion: CrossRegionNever})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, label+"Routes") {
		name := fmt.Sprintf("r%d", i)
		put("route/"+name, &Route{
			Name: name, Method: "GET", Idempotent: true, Timeout: 1e9, Access: AccessKey, WhenStale: StaleRefuse,
			Path: fmt.Sprintf("/%d", rapid.IntRange(0, 5).Draw(t, "path")),
			Pool: fmt.Sprintf("p%d", rapid.IntRange(0, 4).Draw(t, "pool")),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, label+"Organisations") {
		name := fmt.Sprintf("o%d", i)
		key := Digest(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))).String()
		put("organisation/"+name, &Organisation{Name: name, Rate: 1, Burst: 1, Keys: []string{key}})
	}
	return rows
}

// TestWith checks that WithChanges and FromRows accept the same rows and return
// equal Configs.
func TestWith(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawRows(t, "before")
		cfg, err := FromRows(1, before)
		if err != nil {
			return
		}
		after := drawRows(t, "after")
		changed := make(map[string][]byte)
		for key, value := range after {
			if string(before[key]) != string(value) {
				changed[key] = value
			}
		}
		var removed []string
		for key := range before {
			if _, ok := after[key]; !ok {
				removed = append(removed, key)
			}
		}
		want, wantErr := FromRows(2, after)
		got, gotErr := cfg.WithChanges(2, changed, removed)
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("got error %v, want %v", gotErr, wantErr)
		}
		if wantErr == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}
