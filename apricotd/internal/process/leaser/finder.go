package leaser

import (
	"sync"

	"apricotrudder.dev/apricotd/version/sharder"
)

// An OwnerCache selects the VM to which requests for a shard are sent: the last
// known owner, or else the members of the shard's group in turn, starting with
// the preferred owner. Its exported field must be set before use.
type OwnerCache struct {
	// Group returns the group of a shard according to the current VM list.
	Group func(sharder.Shard) (sharder.Group, bool)

	mu     sync.Mutex
	owners map[sharder.Shard]string
	misses map[sharder.Shard]int // members tried without success since the owner was last known
}

// Target returns the VM to which the next request should be sent. It returns
// false if neither an owner nor the group is known.
func (c *OwnerCache) Target(id sharder.Shard) (string, bool) {
	group, ok := c.Group(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner := c.owners[id]; owner != "" {
		return owner, true
	}
	if !ok || len(group.Members) == 0 {
		return "", false
	}
	return group.Members[c.misses[id]%len(group.Members)], true
}

// RecordOwner records that a VM answered as the owner.
func (c *OwnerCache) RecordOwner(id sharder.Shard, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners == nil {
		c.owners = make(map[sharder.Shard]string)
	}
	c.owners[id] = vm
	delete(c.misses, id)
}

// RecordMiss records that a VM did not answer or is not the owner. owner is the
// owner that it named, or empty.
func (c *OwnerCache) RecordMiss(id sharder.Shard, vm, owner string) {
	if owner != "" && owner != vm {
		c.RecordOwner(id, owner)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.misses == nil {
		c.misses = make(map[sharder.Shard]int)
	}
	delete(c.owners, id)
	c.misses[id]++
}
