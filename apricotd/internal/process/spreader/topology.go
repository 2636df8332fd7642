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
	maxLevels      = 64 / levelBits
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
	own := list.DataCentre(self.DataCentre)
	readers := readersOf(own)
	p := place{
		reader:      slices.Contains(readers, self.ID),
		dataCentres: len(list.DataCentres()),
		vms:         len(list.VMs()),
	}
	if !p.reader {
		p.candidates = parentsOf(own, readers, self)
	}
	p.candidates = append(p.candidates, otherReaders(list, self)...)
	if len(p.candidates) > candidatesKept {
		p.candidates = p.candidates[:candidatesKept]
	}
	return p
}

// standing orders the VMs of a data centre for spreading: by level, then by
// hash.
type standing struct {
	level int
	hash  uint64
	id    string
}

func standingOf(id string) standing {
	return standing{level(id), locator.Hash("spread", id), id}
}

func (a standing) isBefore(b standing) bool {
	return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id)) < 0
}

// readersOf returns the first live VMs of a data centre.
func readersOf(vms []*locator.VM) []string {
	var first []standing
	for _, vm := range vms {
		if vm.State != locator.Live {
			continue
		}
		s := standingOf(vm.ID)
		i := 0
		for i < len(first) && first[i].isBefore(s) {
			i++
		}
		if i < readersPerDataCentre {
			first = slices.Insert(first, i, s)
			first = first[:min(len(first), readersPerDataCentre)]
		}
	}
	ids := make([]string, len(first))
	for i, s := range first {
		ids[i] = s.id
	}
	return ids
}

// level is 0 for most nodes and l with a probability of 2^(-l*levelBits).
func level(id string) int {
	return bits.TrailingZeros64(locator.Hash("level", id)) / levelBits
}

// parentsOf prefers nodes of the next level that has at least two nodes, then
// the readers.
func parentsOf(vms []*locator.VM, readers []string, self locator.VM) []string {
	own := level(self.ID)
	var near []*locator.VM
	for l := own + 1; l <= own+maxLevels && len(near) < parents; l++ {
		near = nodesOfLevel(vms, l)
	}
	if len(near) < parents {
		near = nil
	}
	ids := idsOf(locator.Rank("parent/"+self.ID, near))
	ids = ids[:min(len(ids), candidatesKept/2)]
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
		readers := readersOf(list.DataCentre(name))
		if len(readers) == 0 {
			continue
		}
		id := readers[min(i%readersPerDataCentre, len(readers)-1)]
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
		if len(ids) >= candidatesKept {
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

// listWith decodes the changed rows and returns the list with them.
func (s *Spreader) listWith(version uint64, changed map[string][]byte, removed []string) (*locator.List, error) {
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
		vm.Region = s.name(vm.Region)
		vm.DataCentre = s.name(vm.DataCentre)
		vm.Pool = s.name(vm.Pool)
		vm.State = locator.State(s.name(string(vm.State)))
		vms = append(vms, vm)
	}
	base := s.list
	if base == nil {
		base = &locator.List{}
	}
	list, err := base.With(version, vms, removed)
	if err != nil {
		return nil, fmt.Errorf("build VM list: %w", err)
	}
	return list, nil
}

// name returns the one copy of a name that many rows have.
func (s *Spreader) name(text string) string {
	if known, ok := s.names[text]; ok {
		return known
	}
	if s.names == nil {
		s.names = make(map[string]string)
	}
	s.names[text] = text
	return text
}
