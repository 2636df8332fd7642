package node

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a change that is never seen because the restored configuration
// service gives its version out again.
func TestChangeUnderRepeatedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		tables := defaultTables()
		f.start([]string{"catalogue"}, 1, tables)
		f.publish(map[string]string{"organisations": replaceKey(tables, "studio-key", "lost-key")})
		time.Sleep(activationLimit)
		f.platform.Restore("config", 1)
		f.publish(map[string]string{"organisations": replaceKey(tables, "lost-key", "newest-key")})
		time.Sleep(activationLimit)
		for _, id := range f.ids() {
			if got := f.send(id, "GET", "/catalogue/1", "newest-key", "", nil); got.reason != "answered" {
				t.Errorf("%s with the newest key: got %s, want answered", id, got.reason)
			}
			if got := f.send(id, "GET", "/catalogue/1", "lost-key", "", nil); got.reason == "answered" {
				t.Errorf("%s with the key that has been replaced: got answered, want a refusal", id)
			}
		}
	})
}
