package leaser

import (
	"sync"

	"apricotrudder.dev/apricotd/version/sharder"
)

// A Finder selects the VM to which requests for a shard are sent: the last known
// owner, or else the members of the shard's group in turn, starting with the
// preferred owner. Its exported field must be set before use.
type Finder struct {
	// Group returns the group of a shard according to the current VM list.
	Group func(sharder.Shard) (sharder.Group, bool)

	mu     sync.Mutex
	owners map[sharder.Shard]string
	misses map[sharder.Shard]int // members tried without success since the owner was last known
}

// Target returns the VM to which the next request should be sent. It returns
// false if neither an owner nor the group is known.
func (f *Finder) Target(id sharder.Shard) (string, bool) {
	group, ok := f.Group(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	if owner := f.owners[id]; owner != "" {
		return owner, true
	}
	if !ok || len(group.Members) == 0 {
		return "", false
	}
	return group.Members[f.misses[id]%len(group.Members)], true
}

// RecordOwner records that a VM answered as the owner.
func (f *Finder) RecordOwner(id sharder.Shard, vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owners == nil {
		f.owners = make(map[sharder.Shard]string)
	}
	f.owners[id] = vm
	delete(f.misses, id)
}

// RecordMiss records that a VM did not answer or is not the owner. owner is the
// owner that it named, or empty.
func (f *Finder) RecordMiss(id sharder.Shard, vm, owner string) {
	if owner != "" && owner != vm {
		f.RecordOwner(id, owner)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.misses == nil {
		f.misses = make(map[sharder.Shard]int)
	}
	delete(f.owners, id)
	f.misses[id]++
}
