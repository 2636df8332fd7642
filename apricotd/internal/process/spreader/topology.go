package spreader

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"

	"apricotrudder.dev/apricotd/version/locator"
)

const (
	// levelBits sets the fan-out: one node in 2^levelBits stands a level higher.
	levelBits = 2
	// candidatesKept bounds the peers that a node tries in turn.
	candidatesKept = 8
)

// A place is a node's position in the spreading of one VM list version. Every
// node computes its own; nobody assigns it. A node's level depends on its own
// id alone and its parents are picked by rendezvous hashing, so that one VM
// more or less moves few streams.
type place struct {
	reader      bool
	dataCentres int
	vms         int
	// candidates are the peers to watch, the preferred ones first.
	candidates []string
}

func placeOf(list *locator.List, self locator.VM) place {
	order := spreadOrder(list.DataCentre(self.DataCentre))
	p := place{
		dataCentres: len(list.DataCentres()),
		vms:         len(list.VMs()),
	}
	at := slices.IndexFunc(order, func(vm locator.VM) bool { return vm.ID == self.ID })
	p.reader = at >= 0 && at < readersPerDataCentre
	if !p.reader {
		p.candidates = parentsOf(order, at, self)
	}
	p.candidates = append(p.candidates, otherReaders(list, self)...)
	if len(p.candidates) > candidatesKept {
		p.candidates = p.candidates[:candidatesKept]
	}
	return p
}

// spreadOrder ranks the live VMs of a data centre: by level, then by hash.
func spreadOrder(vms []locator.VM) []locator.VM {
	order := locator.Rank("spread", vms)
	slices.SortStableFunc(order, func(a, b locator.VM) int {
		return cmp.Compare(level(b.ID), level(a.ID))
	})
	return order
}

// level is 0 for most nodes and l with a probability of 2^(-l*levelBits).
func level(id string) int {
	return bits.TrailingZeros64(locator.Hash("level", id)) / levelBits
}

// parentsOf prefers nodes of the next level that has at least two nodes, then
// all nodes before the own place. A VM that is not listed yet may watch any.
func parentsOf(order []locator.VM, at int, self locator.VM) []string {
	above := order
	if at >= 0 {
		above = order[:at]
	}
	own := level(self.ID)
	var near []locator.VM
	for l := own + 1; l <= own+64/levelBits && len(near) < parents; l++ {
		near = nodesOfLevel(above, l)
	}
	if len(near) < parents {
		near = above[:min(len(above), readersPerDataCentre)]
	}
	ids := idsOf(locator.Rank("parent/"+self.ID, near))
	ids = ids[:min(len(ids), candidatesKept/2)]
	for _, vm := range above[:min(len(above), readersPerDataCentre)] {
		if !slices.Contains(ids, vm.ID) {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

func nodesOfLevel(vms []locator.VM, l int) []locator.VM {
	var out []locator.VM
	for _, vm := range vms {
		if level(vm.ID) == l {
			out = append(out, vm)
		}
	}
	return out
}

// otherReaders returns readers of other data centres: first those at two
// distances on the ring of data centres, so that the readers of all data
// centres form one connected whole, then the rest.
func otherReaders(list *locator.List, self locator.VM) []string {
	names := list.DataCentres()
	at, _ := slices.BinarySearch(names, self.DataCentre)
	n := len(names)
	offsets := []int{1, n/3 + 1}
	for i := 2; i < n; i++ {
		offsets = append(offsets, i)
	}
	var ids []string
	for i, offset := range offsets {
		name := names[(at+offset)%n]
		if name == self.DataCentre {
			continue
		}
		order := spreadOrder(list.DataCentre(name))
		if len(order) == 0 {
			continue
		}
		id := order[min(i%readersPerDataCentre, len(order)-1)].ID
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
		if len(ids) >= candidatesKept {
			break
		}
	}
	return ids
}

func idsOf(vms []locator.VM) []string {
	ids := make([]string, len(vms))
	for i, vm := range vms {
		ids[i] = vm.ID
	}
	return ids
}

func listOf(rows *rowset) (*locator.List, error) {
	vms := make([]locator.VM, 0, len(rows.rows))
	for key, r := range rows.rows {
		var vm locator.VM
		if err := json.Unmarshal(r.value, &vm); err != nil {
			return nil, fmt.Errorf("decode VM %s: %w", key, err)
		}
		if vm.ID != key {
			return nil, fmt.Errorf("decode VM %s: got id %q, want the key", key, vm.ID)
		}
		vms = append(vms, vm)
	}
	list, err := locator.New(rows.version, vms)
	if err != nil {
		return nil, fmt.Errorf("build VM list: %w", err)
	}
	return list, nil
}
