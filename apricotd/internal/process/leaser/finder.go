package leaser

import (
	"sync"

	"apricotrudder.dev/apricotd/version/sharder"
)

// A Finder remembers which VM to ask about a shard: its owner if known, else
// the members of its group in turn, beginning with the one that should own it.
// Its exported field must be set before use.
type Finder struct {
	// Group returns the group of a shard by the VM list in force.
	Group func(sharder.Shard) (sharder.Group, bool)

	mu     sync.Mutex
	owners map[sharder.Shard]string
	turns  map[sharder.Shard]int // members asked in vain since there was an owner
}

// Target returns the VM to be asked, or false if the group is not known.
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
	return group.Members[f.turns[id]%len(group.Members)], true
}

// Answered records that a VM answered as owner.
func (f *Finder) Answered(id sharder.Shard, vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owners == nil {
		f.owners = make(map[sharder.Shard]string)
	}
	f.owners[id] = vm
	delete(f.turns, id)
}

// Missed records that a VM did not answer or is not the owner. It may have told
// who is.
func (f *Finder) Missed(id sharder.Shard, vm, owner string) {
	if owner != "" && owner != vm {
		f.Answered(id, owner)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.turns == nil {
		f.turns = make(map[sharder.Shard]int)
	}
	delete(f.owners, id)
	f.turns[id]++
}
