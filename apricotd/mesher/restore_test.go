package mesher

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// inForceWithin is the time in which a change must be in force on all nodes.
	inForceWithin = 2 * time.Second
	// storeSettleTime is the time after an outage of the store from which on
	// inForceWithin applies.
	storeSettleTime = 3 * time.Second
	// rewriteTime is the time in which the operator and the servers write again what
	// a restored store has lost.
	rewriteTime = 2 * time.Second
	// entryLifetime is the time after which the store removes the entry of a server
	// that does not renew it.
	entryLifetime = 4500 * time.Millisecond
)

// restore makes the store unavailable for the given time and brings it back from a
// copy that was made copyAge before. While it is unavailable to the nodes, write
// may write to it; nil writes nothing.
func (f *fleet) restore(copyAge, unavailable time.Duration, write func()) {
	f.store.SetAway(true)
	time.Sleep(unavailable)
	f.store.Restore(copyAge + unavailable)
	if write != nil {
		write()
	}
	f.store.SetAway(false)
}

// publishOften advances the revision of the store by n.
func (f *fleet) publishOften(name string, n int) {
	for range n {
		f.publishServer(name, f.vms[name].state)
	}
}

// checkState checks the state of a VM's server on the lists of all nodes.
func (f *fleet) checkState(name string, want lister.State) {
	f.t.Helper()
	for node, m := range f.vms {
		s, ok := m.node.syncer.List().Server(f.vms[name].worker.id)
		if !ok || s.State != want {
			f.t.Errorf("server of VM %s on the list of VM %s: got listed %t, want listed in state %v", name, node, ok, want)
		}
	}
}

// Guards against a server list that is not updated until the revisions of a
// restored store have passed the old ones.
func TestChangesAfterRestoration(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.publishOften("a", 20)
		f.restore(5*time.Second, time.Second, nil)
		time.Sleep(storeSettleTime)
		f.publishServer("g", lister.Leaving)
		f.store.publishTables(baseTables(2))
		time.Sleep(inForceWithin)
		f.checkVersion(2)
		f.checkState("g", lister.Leaving)
	})
}

// Guards against changes that are never seen because the store gives out revisions
// again that the nodes have already read, so that no watch fails.
func TestChangesUnderRepeatedRevisions(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.publishOften("a", 5)
		time.Sleep(time.Second)
		f.restore(5*time.Second, time.Second, func() {
			f.publishServer("g", lister.Leaving)
			f.store.publishTables(baseTables(2))
			f.publishOften("a", 10)
		})
		time.Sleep(inForceWithin)
		f.checkVersion(2)
		f.checkState("g", lister.Leaving)
	})
}

// Guards against an entry being ignored because it was written under a lower
// revision than the one that a restored store has lost.
func TestEntryRewrittenUnderLowerRevision(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.publishOften("a", 5)
		f.publishServer("g", lister.Ready)
		f.restore(5*time.Second, time.Second, func() { f.publishServer("g", lister.Leaving) })
		f.publishOften("a", 10)
		time.Sleep(inForceWithin)
		f.checkState("g", lister.Leaving)
	})
}

// Guards against a server in use again that has left, because the copy from which
// the store was restored still lists it as ready.
func TestRemovedServerInCopyGetsNoRequests(t *testing.T) {
	for name, announced := range map[string]bool{"leaving": true, "removed": false} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, oneOrderServer, func(f *fleet) {
				time.Sleep(10 * time.Second)
				if announced {
					f.publishServer("b", lister.Leaving)
				} else {
					f.store.Delete("i-b")
				}
				time.Sleep(inForceWithin)
				before := len(f.vms["b"].worker.runs())
				f.restore(5*time.Second, time.Second, nil)
				f.publishOften("a", 10)
				time.AfterFunc(entryLifetime, func() { f.store.Delete("i-b") })
				for range 50 {
					f.send("a", f.requestText("POST", "shop.example", "/order/1", "x"))
					time.Sleep(200 * time.Millisecond)
				}
				if got := len(f.vms["b"].worker.runs()) - before; got != 0 {
					t.Errorf("runs at the server that has left: got %d, want 0", got)
				}
			})
		})
	}
}

// Guards against losing a server that registered after the copy was made, until it
// has registered again, and against keeping one that does not register again.
func TestServerAbsentFromCopy(t *testing.T) {
	for name, returns := range map[string]bool{"registers again": true, "is gone": false} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, oneOrderServer, func(f *fleet) {
				f.store.Delete("i-b")
				time.Sleep(20 * time.Second)
				f.publishServer("b", lister.Ready)
				time.Sleep(inForceWithin)
				f.restore(4*time.Second, 300*time.Millisecond, nil)
				for range 9 {
					if r := f.send("a", f.requestText("POST", "shop.example", "/order/1", "x")); r.status != 200 {
						t.Errorf("request before the server can have registered again: got %d, want 200", r.status)
					}
					time.Sleep(200 * time.Millisecond)
				}
				want := 503
				if returns {
					f.publishServer("b", lister.Ready)
					want = 200
				}
				time.Sleep(inForceWithin)
				if r := f.send("a", f.requestText("POST", "shop.example", "/order/1", "x")); r.status != want {
					t.Errorf("request after that: got %d, want %d", r.status, want)
				}
			})
		})
	}
}

// Guards against a server that stays unused although it has started again under its
// id, while the restored copy lists its previous run.
func TestServerStartedAgainAfterRestoration(t *testing.T) {
	runFleet(t, oneOrderServer, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.publishServer("b", lister.Leaving)
		time.Sleep(time.Second)
		f.restore(5*time.Second, time.Second, nil)
		f.vms["b"].startedAt, f.vms["b"].sequence = time.Now(), 0
		f.publishServer("b", lister.Ready)
		time.Sleep(inForceWithin)
		if r := f.send("a", f.requestText("POST", "shop.example", "/order/1", "x")); r.status != 200 {
			t.Errorf("request: got %d, want 200", r.status)
		}
	})
}

// Guards against readers that call a restored store in a loop while nothing is
// written to it.
func TestRestoredStoreIsNotPolled(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.publishOften("a", 20)
		f.restore(5*time.Second, time.Second, nil)
		before := f.store.Calls()
		time.Sleep(20 * time.Second)
		if got, want := f.store.Calls()-before, 2*readersPerRegion*25; got > want {
			t.Errorf("store calls in 20 s: got %d, want at most %d", got, want)
		}
	})
}

// Guards against a restoration that makes every node fetch the complete list, which
// is as long as the fleet is large.
func TestRestorationIsSentAsChanges(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.publishServer("g", lister.Leaving)
		time.Sleep(time.Second)
		f.restore(5*time.Second, 300*time.Millisecond, nil)
		time.Sleep(inForceWithin)
		synctest.Wait()
		complete := 0
		for name, m := range f.vms {
			if got := m.node.syncer.Versions().Servers.Era; got != 1 {
				t.Errorf("era on VM %s: got %d, want 1", name, got)
			}
			for line := range strings.Lines(m.log.String()) {
				if strings.Contains(line, "server list updated") && strings.Contains(line, " era=1 ") && strings.Contains(line, "whole=true") {
					complete++
				}
			}
		}
		if want := 2 * readersPerRegion; complete > want {
			t.Errorf("complete lists received in the new era: got %d, want at most %d, one for each reader", complete, want)
		}
		f.checkState("g", lister.Leaving)
	})
}

// addOlderPeer starts a peer whose program does not know eras. It announces the
// given snapshot and sends it on request.
func (f *fleet) addOlderPeer(snapshot *linkwire.Snapshot, tables uint64) {
	address := netip.AddrFrom4([4]byte{10, 1, 1, 200})
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &linker.Linker{
		Port:        linksPort,
		Serve:       func(context.Context, *linkwire.Run) *linkwire.Result { return &linkwire.Result{} },
		GrantTokens: func(*linkwire.Borrow) *linkwire.Grant { return &linkwire.Grant{} },
		Beat: func() *linkwire.Beat {
			return &linkwire.Beat{Tables: tables, Servers: snapshot.Revision, Region: "north"}
		},
		Receive: func(l *linker.Link, frame *linkwire.Frame) {
			if frame.GetFetch() != nil {
				l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Snapshot{Snapshot: snapshot}})
			}
		},
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return f.network.Dial(ctx, address, to)
		},
		Log: log,
	}
	l.Start(f.t.Context())
	for _, m := range f.vms {
		l.Connect(m.address)
	}
}

// Guards against changes being lost between nodes of two programs while a fleet is
// updated: the older one states no era.
func TestChangesFromPeerWithoutEra(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.restore(5*time.Second, time.Second, nil)
		time.Sleep(inForceWithin)
		f.store.SetAway(true)
		held := f.vms["a"].node.syncer.Versions().Servers
		value, err := json.Marshal(serverEntry{Server: lister.Server{ID: "i-g", Pool: "search", Region: "south", DataCentre: "south-2", State: lister.Leaving, Slots: 4, Address: f.vms["g"].worker.address}})
		if err != nil {
			t.Fatal(err)
		}
		tables, err := json.Marshal(baseTables(2))
		if err != nil {
			t.Fatal(err)
		}
		f.addOlderPeer(&linkwire.Snapshot{
			Tables: deflate(tables), Revision: held.Revision + 1,
			Items: []*linkwire.Item{{Key: "i-g", Value: value, Revision: held.Revision + 1}},
		}, 2)
		time.Sleep(inForceWithin)
		f.checkVersion(2)
		f.checkState("g", lister.Leaving)
	})
}

// withoutGoldKey are tables from which the key of the callers has been withdrawn.
func withoutGoldKey(version uint64) *resolver.Tables {
	t := baseTables(version)
	t.Organisations[0].Keys = []string{"another-key"}
	return t
}

// restartNode kills the node of a VM and starts it again at once. Its backend
// server goes on.
func (f *fleet) restartNode(name string) { f.killNode(name, 0) }

// Guards against a node that starts with the tables and entries of a restored copy
// although its peers have newer ones: withdrawn keys and servers that have left
// were in use again.
func TestNodeStartedAfterRestorationAsksPeers(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.store.publishTables(withoutGoldKey(2))
		f.publishServer("g", lister.Leaving)
		time.Sleep(inForceWithin)
		f.restore(5*time.Second, time.Second, nil)
		time.Sleep(100 * time.Millisecond)
		for _, name := range []string{"a", "d", "f"} {
			f.restartNode(name)
		}
		for range 100 {
			for _, name := range []string{"a", "d", "f"} {
				if r := f.trySend(name, f.getRequest("shop.example", "/search/x")); r.status == 200 {
					f.t.Fatalf("request with a withdrawn key at VM %s: got 200, want 401 or 503", name)
				}
				if n := f.vms[name].node; n.isReady() {
					if s, ok := n.syncer.List().Server("i-g"); ok && s.State == lister.Ready {
						f.t.Fatalf("leaving server on the list of VM %s, which is ready: got state Ready, want Leaving", name)
					}
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.checkVersion(2)
		f.checkState("g", lister.Leaving)
		for _, name := range []string{"a", "d", "f"} {
			if !f.vms[name].node.isReady() {
				t.Errorf("node of VM %s 1 s after its start: got not ready, want ready", name)
			}
		}
	})
}

// Guards against a node that starts without the store and takes the state of the
// first peer, which may have been cut off for long: a withdrawn key was in use
// again.
func TestNodeStartedWithoutStoreAsksSeveralPeers(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		stale := f.vms["h"].address
		f.isolate("h")
		f.store.SetRejected(stale, true)
		time.Sleep(time.Second)
		f.store.publishTables(withoutGoldKey(2))
		time.Sleep(inForceWithin)
		for name, m := range f.vms {
			f.store.SetRejected(m.address, true)
			if name != "a" {
				f.network.Cut(f.vms["a"].address, m.address)
			}
		}
		go f.restartNode("a")
		time.Sleep(time.Second)
		f.network.Heal(f.vms["a"].address, stale)
		time.AfterFunc(600*time.Millisecond, func() {
			for name, m := range f.vms {
				if name != "a" {
					f.network.Heal(f.vms["a"].address, m.address)
				}
			}
		})
		for range 300 {
			if r := f.trySend("a", f.getRequest("shop.example", "/search/x")); r.status == 200 {
				f.t.Fatal("request with a withdrawn key: got 200, want 401 or 503")
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.checkVersion(2, "h")
	})
}

// A node that starts while it reaches no peer must rely on the store alone.
func TestNodeStartedWithoutPeersBecomesReady(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		f.isolate("a")
		f.restartNode("a")
		time.Sleep(2 * time.Second)
		if !f.vms["a"].node.isReady() {
			t.Error("node without peers 2 s after its start: got not ready, want ready")
		}
	})
}

// Guards against a node that is cut off from its peers when it starts and never learns
// of servers that left before: a copy of the store brings them back there.
func TestNodeStartedWhileCutOffLearnsOfRemovals(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.publishServer("g", lister.Leaving)
		time.Sleep(3 * time.Second)
		f.store.Delete(f.vms["g"].worker.id)
		time.Sleep(inForceWithin)
		cutOff := []string{"b", "c"} // one may have the state of the other
		for _, name := range cutOff {
			for other := range f.vms {
				if !slices.Contains(cutOff, other) {
					f.network.Cut(f.vms[name].address, f.vms[other].address)
				}
			}
			f.restartNode(name)
		}
		time.Sleep(3 * time.Second)
		for _, name := range cutOff {
			for _, m := range f.vms {
				f.network.Heal(f.vms[name].address, m.address)
			}
		}
		time.Sleep(storeSettleTime)
		f.restore(13*time.Second, time.Second, nil)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			for name, m := range f.vms {
				if s, ok := m.node.syncer.List().Server(f.vms["g"].worker.id); ok && s.State == lister.Ready {
					f.t.Fatalf("server that has left on the list of VM %s: got state Ready, want none", name)
				}
			}
		}
	})
}

// Guards against a restored store that is noticed only at its next change, because it
// has the revision again from which the nodes watch: an end of an evacuation that is
// written meanwhile looks like a copy without the evacuation.
func TestRestoredStoreIsNoticedWithoutChange(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.publishOften("a", 5)
		time.Sleep(time.Second)
		f.restore(5*time.Second, time.Second, func() { f.publishOften("a", 5) })
		time.Sleep(700 * time.Millisecond) // the longest time between two attempts, and the answer
		for name, m := range f.vms {
			if got := m.node.syncer.Versions().Servers.Era; got != 1 {
				f.t.Errorf("era on VM %s 0.7 s after the restored store answers: got %d, want 1", name, got)
			}
		}
	})
}
