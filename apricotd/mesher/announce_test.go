package mesher

import (
	"fmt"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

// fleetOf returns n VMs in two regions of two data centres each.
func fleetOf(n int) map[string]placement {
	pools := []string{"stock", "search", "orders"}
	out := make(map[string]placement, n)
	for i := range n {
		region := []string{"north", "south"}[i%2]
		out[fmt.Sprintf("vm%02d", i)] = placement{region, fmt.Sprintf("%s-%d", region, 1+i/2%2), pools[i/4%len(pools)]}
	}
	return out
}

// linkAll opens links between all nodes of a region, as traffic does.
func (f *fleet) linkAll() {
	for _, m := range f.vms {
		for _, other := range f.vms {
			if m != other && m.placement.region == other.placement.region {
				m.node.linker.Connect(other.address)
			}
		}
	}
	time.Sleep(time.Second)
}

// Guards against each node announcing each change to every node that it has a link to:
// the frames of a change grew with the square of the fleet.
func TestAnnouncementsOfAChange(t *testing.T) {
	for _, n := range []int{16, 48} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runFleet(t, fleetOf(n), func(f *fleet) {
				f.linkAll()
				const changes = 10
				before := make(map[string]uint64)
				for name, m := range f.vms {
					before[name] = m.node.traffic.sentFrames("beat")
				}
				start := time.Now()
				for i := range changes {
					f.publishServer("vm15", lister.Ready)
					f.store.publishTables(baseTables(uint64(i + 2)))
					time.Sleep(time.Second)
				}
				f.checkVersion(changes + 1)
				readers := make(map[string]bool)
				for _, name := range f.readers() {
					readers[name] = true
				}
				for name, m := range f.vms {
					// Both changes may arrive apart from each other.
					limit := uint64(2 * changes * announceFanOut)
					if readers[name] {
						limit = uint64(n) * uint64(2*changes+int(time.Since(start)/readerHeartbeatInterval)+1)
					}
					if got := m.node.traffic.sentFrames("beat") - before[name]; got > limit {
						t.Errorf("heartbeats of VM %s (reader: %v) for %d changes: got %d, want at most %d", name, readers[name], changes, got, limit)
					}
				}
			})
		})
	}
}

// Guards against a node that is cut off from the store and from all readers, but not
// from other nodes, missing a change.
func TestChangeReachesNodeWithoutReaders(t *testing.T) {
	runFleet(t, fleetOf(48), func(f *fleet) {
		f.linkAll()
		cut := f.vms["vm47"]
		f.store.SetRejected(cut.address, true)
		reachable := 0
		for _, m := range f.vms {
			isCandidate := false
			for _, a := range cut.node.readers.firstCandidates(persistentPeersPerRegion) {
				isCandidate = isCandidate || a == m.address
			}
			if m == cut || m.placement.region == cut.placement.region && !isCandidate && reachable < 3 {
				if m != cut {
					reachable++
				}
				continue
			}
			f.network.Cut(cut.address, m.address)
		}
		time.Sleep(2 * time.Second)
		for version := uint64(2); version < 12; version++ {
			f.store.publishTables(baseTables(version))
			time.Sleep(1500 * time.Millisecond)
			f.checkVersion(version)
		}
	})
}
