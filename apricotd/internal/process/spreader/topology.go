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
	// levelBits sets the fan-out of the tree: of the nodes at or above a level,
	// one in 2^levelBits is at a higher one.
	levelBits = 2
	// maxCandidates is the maximum number of peers that a node tries in turn.
	maxCandidates = 8
	maxLevels     = 64 / levelBits
)

// A treePosition is a node's position in the distribution tree for one version of
// the VM list. Every node computes its own position from the list, without
// coordination. A node's level depends only on its id, and its parents are chosen
// by rendezvous hashing, so that adding or removing a VM moves few streams.
type treePosition struct {
	reader      bool // the node polls the platform
	dataCentres int
	vms         int
	// candidates are the ids of the peers to watch, preferred ones first.
	candidates []string
}

func positionOf(list *locator.List, self locator.VM) treePosition {
	own := list.DataCentre(self.DataCentre)
	readers := readersOf(own)
	p := treePosition{
		reader:      slices.Contains(readers, self.ID),
		dataCentres: len(list.DataCentres()),
		vms:         len(list.VMs()),
	}
	if !p.reader {
		p.candidates = parentsOf(own, readers, self)
	}
	p.candidates = append(p.candidates, remoteReaders(list, self)...)
	if len(p.candidates) > maxCandidates {
		p.candidates = p.candidates[:maxCandidates]
	}
	return p
}

// A spreadRank orders the VMs of a data centre: higher levels first, then by
// descending hash.
type spreadRank struct {
	level int
	hash  uint64
	id    string
}

func spreadRankOf(id string) spreadRank {
	return spreadRank{level(id), locator.Hash("spread", id), id}
}

func (a spreadRank) isBefore(b spreadRank) bool {
	return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id)) < 0
}

// readersOf returns the ids of the readers of a data centre: its first live VMs by
// rank.
func readersOf(vms []*locator.VM) []string {
	var best []spreadRank
	for _, vm := range vms {
		if vm.State != locator.Live {
			continue
		}
		s := spreadRankOf(vm.ID)
		i := 0
		for i < len(best) && best[i].isBefore(s) {
			i++
		}
		if i < readersPerDataCentre {
			best = slices.Insert(best, i, s)
			best = best[:min(len(best), readersPerDataCentre)]
		}
	}
	ids := make([]string, len(best))
	for i, s := range best {
		ids[i] = s.id
	}
	return ids
}

// level returns a node's level in the distribution tree. It is at least l with
// probability 2^(-l*levelBits), so most nodes are at level 0.
func level(id string) int {
	return bits.TrailingZeros64(locator.Hash("level", id)) / levelBits
}

// parentsOf returns the ids of the peers in the same data centre that a node should
// watch, preferred ones first: nodes of the next higher level that has at least
// watchedPeers nodes, then the readers.
func parentsOf(vms []*locator.VM, readers []string, self locator.VM) []string {
	own := level(self.ID)
	var upper []*locator.VM
	for l := own + 1; l <= own+maxLevels && len(upper) < watchedPeers; l++ {
		upper = nodesOfLevel(vms, l)
	}
	if len(upper) < watchedPeers {
		upper = nil
	}
	ids := idsOf(locator.Rank("parent/"+self.ID, upper))
	ids = ids[:min(len(ids), maxCandidates/2)]
	for _, id := range readers {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func nodesOfLevel(vms []*locator.VM, l int) []*locator.VM {
	var out []*locator.VM
	for _, vm := range vms {
		if level(vm.ID) == l {
			out = append(out, vm)
		}
	}
	return out
}

// remoteReaders returns the ids of readers of other data centres: first those at
// two fixed offsets in the circular order of data centres, so that the readers
// of all data centres form a connected graph, then the rest.
func remoteReaders(list *locator.List, self locator.VM) []string {
	names := list.DataCentres()
	index, _ := slices.BinarySearch(names, self.DataCentre)
	n := len(names)
	offsets := []int{1, n/3 + 1}
	for i := 2; i < n; i++ {
		offsets = append(offsets, i)
	}
	var ids []string
	for i, offset := range offsets {
		name := names[(index+offset)%n]
		if name == self.DataCentre {
			continue
		}
		readers := readersOf(list.DataCentre(name))
		if len(readers) == 0 {
			continue
		}
		id := readers[min(i%readersPerDataCentre, len(readers)-1)]
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
		if len(ids) >= maxCandidates {
			break
		}
	}
	return ids
}

func idsOf(vms []*locator.VM) []string {
	ids := make([]string, len(vms))
	for i, vm := range vms {
		ids[i] = vm.ID
	}
	return ids
}

// updatedList returns the VM list with the changed rows, which it decodes, and
// without the removed ones.
func (s *Spreader) updatedList(version uint64, changed map[string][]byte, removed []string) (*locator.List, error) {
	vms := make([]locator.VM, 0, len(changed))
	for key, value := range changed {
		var vm locator.VM
		if err := json.Unmarshal(value, &vm); err != nil {
			return nil, fmt.Errorf("decode VM %s: %w", key, err)
		}
		if vm.ID != key {
			return nil, fmt.Errorf("decode VM %s: got id %q, want the key", key, vm.ID)
		}
		vm.ID = key
		vm.Region = s.intern(vm.Region)
		vm.DataCentre = s.intern(vm.DataCentre)
		vm.Pool = s.intern(vm.Pool)
		vm.State = locator.State(s.intern(string(vm.State)))
		vms = append(vms, vm)
	}
	base := s.list
	if base == nil {
		base = &locator.List{}
	}
	list, err := base.WithChanges(version, vms, removed)
	if err != nil {
		return nil, fmt.Errorf("build VM list: %w", err)
	}
	return list, nil
}

// intern returns a shared copy of text, so that equal names in many rows take up
// memory only once.
func (s *Spreader) intern(text string) string {
	if known, ok := s.internedNames[text]; ok {
		return known
	}
	if s.internedNames == nil {
		s.internedNames = make(map[string]string)
	}
	s.internedNames[text] = text
	return text
}
