package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/process/spreader"
	"apricotrudder.dev/standin/publisher"
)

// withoutEras is the platform as nodes of the version before call it and see it.
type withoutEras struct {
	*publisher.Publisher
}

func (p withoutEras) Read(ctx context.Context, folder spreader.Folder, after spreader.Position, wait time.Duration) (*spreader.Change, error) {
	c, err := p.Publisher.Read(ctx, string(folder), publisher.Position{Number: after.Version}, wait)
	if err != nil {
		return nil, err
	}
	return &spreader.Change{From: c.From, Version: c.Version, Values: c.Values, Removed: c.Removed}, nil
}

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

// checkKeys checks which of two keys all nodes accept.
func (f *fleet) checkKeys(when, accepted, refused string) {
	f.t.Helper()
	for _, id := range f.ids() {
		if got := f.send(id, "GET", "/catalogue/1", accepted, "", nil); got.reason != "answered" {
			f.t.Errorf("%s, %s with %s: got %s, want answered", when, id, accepted, got.reason)
		}
		if got := f.send(id, "GET", "/catalogue/1", refused, "", nil); got.reason == "answered" {
			f.t.Errorf("%s, %s with %s: got answered, want a refusal", when, id, refused)
		}
	}
}

// Guards against a copy that puts a withdrawn key back in force, also on a node that
// starts meanwhile, and against later changes that are not seen, after two restorations
// of both folders.
func TestCopyDoesNotReplaceTables(t *testing.T) {
	runFleet(t, func(f *fleet) {
		tables := defaultTables()
		f.start([]string{"catalogue"}, 1, tables)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go checkVersionsNeverDecrease(ctx, t, f, f.ids())
		f.publish(map[string]string{"organisations": replaceKey(tables, "studio-key", "key-1")})
		f.publishVMList()
		time.Sleep(activationLimit)
		for _, key := range []struct{ old, before, next string }{{"studio-key", "key-1", "key-2"}, {"key-1", "key-2", "key-3"}} {
			f.platform.Restore("config", 1)
			f.platform.Restore("vms", 1)
			time.Sleep(activationLimit)
			f.checkKeys("under the copy", key.before, key.old)
			f.stopVM("r1-d1-catalogue-1")
			f.startVM("r1-d1-catalogue-1")
			time.Sleep(activationLimit)
			f.checkKeys("under the copy, after a start", key.before, key.old)
			f.publish(map[string]string{"organisations": replaceKey(tables, key.before, key.next)})
			f.publishVMList()
			time.Sleep(activationLimit)
			f.checkKeys("after the next change", key.next, key.before)
		}
	})
}

// Guards against nodes of the version before that keep a replaced key in force, or
// that keep others from the new tables, when newer nodes have them.
func TestNodesWithoutErasFollowRestoration(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setUpNode = func(id string, n *Node) {
			if id == "r1-d1-catalogue-1" || id == "r2-d2-catalogue-1" {
				n.Platform = withoutEras{f.platform}
			}
		}
		tables := defaultTables()
		f.start([]string{"catalogue"}, 1, tables)
		f.publish(map[string]string{"organisations": replaceKey(tables, "studio-key", "key-1")})
		time.Sleep(activationLimit)
		f.platform.Restore("config", 1)
		for _, key := range [][2]string{{"key-1", "key-2"}, {"key-2", "key-3"}} {
			f.publish(map[string]string{"organisations": replaceKey(tables, key[0], key[1])})
			time.Sleep(activationLimit)
			f.checkKeys("after the restoration", key[1], key[0])
		}
	})
}
