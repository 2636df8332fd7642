package spreader

import (
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

type (
	// groups holds, for each shard, the newest group known to have had an
	// owner, so that a VM which joins a shard's group learns of the previous
	// one. The higher version wins, whatever the order of arrival.
	groups struct {
		known    map[sharder.Shard]knownGroup
		sequence uint64 // local sequence number of the last change
	}

	knownGroup struct {
		sharder.Group
		sequence uint64 // local sequence number of the change that set the group
	}
)

// AnnounceGroup announces to all nodes that a group has had an owner.
func (s *Spreader) AnnounceGroup(id sharder.Shard, g sharder.Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups.put(id, g) {
		s.notify()
	}
}

func (g *groups) put(id sharder.Shard, group sharder.Group) bool {
	if g.known == nil {
		g.known = make(map[sharder.Shard]knownGroup)
	}
	if group.Version <= g.known[id].Version {
		return false
	}
	g.sequence++
	g.known[id] = knownGroup{group, g.sequence}
	return true
}

// since returns the groups that changed after the given sequence number.
func (g *groups) since(sequence uint64) []*peerwire.ShardGroup {
	if sequence == g.sequence {
		return nil
	}
	var out []*peerwire.ShardGroup
	for id, known := range g.known {
		if known.sequence > sequence {
			out = append(out, &peerwire.ShardGroup{
				Shard: uint32(id),
				Group: &peerwire.Group{Version: known.Version, Members: known.Members},
			})
		}
	}
	return out
}

// mergeGroups adds the groups that a peer sent, where they are newer, and passes
// those to OnGroup.
func (s *Spreader) mergeGroups(received []*peerwire.ShardGroup) {
	for _, r := range received {
		id := sharder.Shard(r.Shard)
		group := sharder.Group{Version: r.Group.GetVersion(), Members: r.Group.GetMembers()}
		s.mu.Lock()
		isNew := s.groups.put(id, group)
		if isNew {
			s.notify()
		}
		s.mu.Unlock()
		if isNew && s.OnGroup != nil {
			s.OnGroup(id, group)
		}
	}
}
