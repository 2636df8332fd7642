package leaser

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

var (
	faultSeeds = flag.Uint64("faultSeeds", 300, "number of seeds of the fault test")
	firstSeed  = flag.Uint64("firstSeed", 0, "first seed of the fault test")
)

const testShard = sharder.Shard(7)

type (
	// A simulation runs leasers of one shard over a simulated network.
	simulation struct {
		r *rand.Rand

		mu             sync.Mutex
		groups         []sharder.Group // published, by version
		nodes          map[string]*testNode
		ids            []string
		cut            map[string]bool // links that lose messages, as "from to"
		events         []string
		noLateMessages bool
		// processes are all processes started, for the cleanup.
		processes []*testNode
	}

	testNode struct {
		*Leaser
		sim        *simulation
		version    int // of its VM list; 0: none
		knownGroup sharder.Group
	}

	// A testPeer is the client of one node for another. Only Witness is called.
	testPeer struct {
		peerwireconnect.PeerServiceClient
		sim      *simulation
		from, to string
	}
)

var errMessageLost = errors.New("message lost")

func (s *simulation) isCut(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[from+" "+to]
}

func (s *simulation) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.noLateMessages && s.r.IntN(10) == 0 {
		return time.Duration(s.r.IntN(600)) * time.Millisecond
	}
	return time.Duration(s.r.IntN(10)) * time.Millisecond
}

// Witness delivers a request and its response, each of which may be late or lost.
// A request is delivered even if its sender has stopped waiting for it.
func (p *testPeer) Witness(ctx context.Context, r *connect.Request[peerwire.WitnessRequest]) (*connect.Response[peerwire.WitnessResponse], error) {
	responses := make(chan *peerwire.WitnessResponse, 1)
	go func() { p.deliver(r.Msg, responses) }()
	select {
	case response := <-responses:
		if response == nil {
			return nil, errMessageLost
		}
		return connect.NewResponse(response), nil
	case <-ctx.Done():
		return nil, errMessageLost
	}
}

func (p *testPeer) deliver(r *peerwire.WitnessRequest, responses chan<- *peerwire.WitnessResponse) {
	defer close(responses)
	time.Sleep(p.sim.delay())
	p.sim.mu.Lock()
	n := p.sim.nodes[p.to]
	p.sim.mu.Unlock()
	if p.sim.isCut(p.from, p.to) || n.ctx.Err() != nil {
		return
	}
	response := n.Witness(n.ctx, r)
	time.Sleep(p.sim.delay())
	if !p.sim.isCut(p.to, p.from) {
		responses <- response
	}
}

// startProcess starts a new process of a node, without any state.
func (s *simulation) startProcess(id string) {
	n := &testNode{sim: s}
	n.Leaser = &Leaser{
		Self:    id,
		Process: fmt.Sprintf("%s/%d", id, s.r.Uint64()),
		Peer: func(vm string) peerwireconnect.PeerServiceClient {
			return &testPeer{sim: s, from: id, to: vm}
		},
		Audit:         &auditor.Auditor{},
		IsListed:      func(string) bool { return true },
		StaleFor:      func() time.Duration { return 0 },
		Group:         n.group,
		OnEstablished: func(_ sharder.Shard, g sharder.Group) { s.announce(id, g) },
	}
	n.Start()
	s.mu.Lock()
	s.nodes[id] = n
	s.processes = append(s.processes, n)
	s.mu.Unlock()
}

func (n *testNode) group(sharder.Shard) (sharder.Group, bool) {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	if n.version == 0 {
		return sharder.Group{}, false
	}
	return n.sim.groups[n.version-1], true
}

// announce sends an established group to all nodes that can be reached.
func (s *simulation) announce(from string, g sharder.Group) {
	for _, id := range s.ids {
		if id != from && !s.isCut(from, id) {
			s.mu.Lock()
			n := s.nodes[id]
			if g.Version > n.knownGroup.Version {
				n.knownGroup = g
			}
			s.mu.Unlock()
			n.RecordEstablished(testShard, g)
		}
	}
}

// gossip copies the version of the VM list and the known group from one node to
// another, if they are newer.
func (s *simulation) gossip(from, to string) {
	if s.isCut(from, to) {
		return
	}
	s.mu.Lock()
	a, c := s.nodes[from], s.nodes[to]
	c.version = max(c.version, a.version)
	group := a.knownGroup
	if group.Version > c.knownGroup.Version {
		c.knownGroup = group
	}
	s.mu.Unlock()
	if group.Version > 0 {
		c.RecordEstablished(testShard, group)
	}
}

// publish adds a version of the VM list and gives it to one node.
func (s *simulation) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 3 + 2*s.r.IntN(2)
	var members []string
	for _, i := range s.r.Perm(len(s.ids))[:size] {
		members = append(members, s.ids[i])
	}
	s.groups = append(s.groups, sharder.Group{Version: uint64(len(s.groups) + 1), Members: members})
	s.nodes[s.ids[s.r.IntN(len(s.ids))]].version = len(s.groups)
}

func (s *simulation) logEvent(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf(format, args...))
}

// injectEvent causes one random event.
func (s *simulation) injectEvent() {
	pick := func() string { return s.ids[s.r.IntN(len(s.ids))] }
	switch k := s.r.IntN(20); {
	case k == 0 && len(s.groups) < 8:
		s.publish()
		s.logEvent("publish %v", s.groups[len(s.groups)-1])
	case k < 3:
		id := pick()
		s.logEvent("restart %s", id)
		old := s.nodes[id]
		old.stop()
		s.startProcess(id)
		s.gossip(pick(), id)
	case k < 6:
		from, to := pick(), pick()
		s.mu.Lock()
		s.cut[from+" "+to] = !s.cut[from+" "+to]
		s.mu.Unlock()
	case k < 7:
		s.partition()
	case k < 9:
		s.mu.Lock()
		clear(s.cut)
		s.mu.Unlock()
	default:
		s.gossip(pick(), pick())
	}
}

// partition divides the nodes into two sides that cannot reach each other.
func (s *simulation) partition() {
	s.mu.Lock()
	defer s.mu.Unlock()
	side := make(map[string]bool)
	for _, id := range s.ids {
		side[id] = s.r.IntN(2) == 0
	}
	for _, x := range s.ids {
		for _, y := range s.ids {
			s.cut[x+" "+y] = side[x] != side[y]
		}
	}
}

// owners calls TryAcquire on every node and returns those that own the shard.
func (s *simulation) owners() []string {
	var out []string
	for _, id := range s.ids {
		if s.nodes[id].TryAcquire(testShard).IsValid() {
			out = append(out, id)
		}
	}
	return out
}

// TestOneOwner checks that a shard never has two owners while messages are late or
// lost, the network is partitioned, nodes restart without their state, and nodes
// use any version of the VM list.
func TestOneOwner(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*faultSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(seed)
				defer s.close()
				s.checkOneOwner(t)
				s.checkRecovery(t)
			})
		})
	}
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		r:     rand.New(rand.NewPCG(seed, 2)),
		nodes: make(map[string]*testNode),
		cut:   make(map[string]bool),
	}
	for i := range 8 {
		s.ids = append(s.ids, fmt.Sprintf("vm%d", i))
		s.startProcess(s.ids[i])
	}
	s.publish()
	for _, id := range s.ids {
		s.nodes[id].version = 1
	}
	return s
}

func (s *simulation) close() {
	for _, n := range s.processes {
		n.stop()
	}
	for _, n := range s.processes {
		n.tasks.Wait()
	}
	// Outstanding messages are delivered within this time.
	time.Sleep(2 * time.Second)
}

func (s *simulation) checkOneOwner(t *testing.T) {
	const ticks, tick, ticksPerEvent = 3000, 20 * time.Millisecond, 15
	for i := range ticks {
		if i%ticksPerEvent == ticksPerEvent-1 {
			s.injectEvent()
		}
		if owners := s.owners(); len(owners) > 1 {
			t.Fatalf("tick %d: got owners %v, want one at most\n%s", i, owners, strings.Join(s.events, "\n"))
		}
		time.Sleep(tick)
	}
}

// checkRecovery checks that the shard has one owner 40 s after the last fault.
func (s *simulation) checkRecovery(t *testing.T) {
	s.mu.Lock()
	clear(s.cut)
	s.noLateMessages = true
	for _, n := range s.nodes {
		n.version = len(s.groups)
	}
	s.mu.Unlock()
	for range 40 {
		s.owners()
		time.Sleep(time.Second)
	}
	if owners := s.owners(); len(owners) != 1 {
		t.Errorf("40 s after the last fault: got owners %v, want one\n%s", owners, strings.Join(s.events, "\n"))
	}
}

// Guards against a planned stop that ends the process with a panic: the node asked
// other members while Stop waited for the tasks.
func TestStopWhileLearning(t *testing.T) {
	for range 2000 {
		l := &Leaser{
			Self:    "a",
			Process: "a/1",
			Group: func(sharder.Shard) (sharder.Group, bool) {
				return sharder.Group{Version: 1, Members: []string{"a", "b", "c"}}, true
			},
			IsListed: func(string) bool { return true },
			StaleFor: func() time.Duration { return 0 },
			Peer:     func(string) peerwireconnect.PeerServiceClient { return failingPeer{} },
			Audit:    &auditor.Auditor{},
		}
		l.Start()
		var wg sync.WaitGroup
		wg.Go(l.learnAllOnce)
		time.Sleep(rand.N(300 * time.Microsecond))
		l.Stop()
		wg.Wait()
	}
}

// A failingPeer fails each request after a short time.
type failingPeer struct {
	peerwireconnect.PeerServiceClient
}

func (failingPeer) Witness(context.Context, *connect.Request[peerwire.WitnessRequest]) (*connect.Response[peerwire.WitnessResponse], error) {
	time.Sleep(rand.N(30 * time.Microsecond))
	return nil, errors.New("peer failed")
}
