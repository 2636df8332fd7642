package mesher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/keeper"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// fetchDelay is how long the store may take to bring what a peer has
	// already, before the peer is asked for it.
	fetchDelay = 300 * time.Millisecond
	// fetchInterval bounds how often peers are asked.
	fetchInterval = 500 * time.Millisecond
	// demandInterval is how often regions tell each other what is asked of them.
	demandInterval = time.Second
	// probeInterval is how often a server whose id is not known is asked.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
)

// fetches remembers when peers were last asked for state.
type fetches struct {
	mu   sync.Mutex
	last time.Time
}

func (n *Node) beat() *linkwire.Beat {
	tables, servers := n.keeper.Versions()
	return &linkwire.Beat{Tables: tables, Servers: servers, Leaving: n.leaving.Load()}
}

// receive takes what peers send besides exchanges.
func (n *Node) receive(l *linker.Link, frame *linkwire.Frame) {
	switch kind := frame.Kind.(type) {
	case *linkwire.Frame_Beat:
		if kind.Beat.Reply {
			l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: n.beat()}})
		}
		if n.isBehind(kind.Beat) {
			time.AfterFunc(fetchDelay, func() { n.fetch(l, kind.Beat) })
		}
	case *linkwire.Frame_Fetch:
		n.sendState(l, kind.Fetch)
	case *linkwire.Frame_Snapshot:
		n.takeState(l, kind.Snapshot)
	case *linkwire.Frame_Usage:
		n.rationer.Hear(kind.Usage)
	}
}

// isBehind tells whether a peer has state that this node lacks. The server
// list is taken from peers only while the store does not serve this node.
func (n *Node) isBehind(b *linkwire.Beat) bool {
	tables, servers := n.keeper.Versions()
	return b.Tables > tables || b.Servers > servers && !n.keeper.IsServed()
}

func (n *Node) fetch(l *linker.Link, b *linkwire.Beat) {
	if !n.isBehind(b) {
		return
	}
	n.fetches.mu.Lock()
	wait := fetchInterval - time.Since(n.fetches.last)
	if wait <= 0 {
		n.fetches.last = time.Now()
	}
	n.fetches.mu.Unlock()
	if wait > 0 {
		time.AfterFunc(wait, func() { n.fetch(l, b) })
		return
	}
	tables, servers := n.keeper.Versions()
	l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Fetch{Fetch: &linkwire.Fetch{Tables: tables, Servers: servers}}})
}

func (n *Node) sendState(l *linker.Link, f *linkwire.Fetch) {
	state := n.keeper.Snapshot()
	out := &linkwire.Snapshot{}
	if tables, _ := n.keeper.Versions(); tables > f.Tables {
		out.Tables = state.Tables
	}
	if state.Revision > f.Servers {
		out.Revision = state.Revision
		for _, item := range state.Servers {
			out.Items = append(out.Items, &linkwire.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
		}
	}
	l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Snapshot{Snapshot: out}})
}

func (n *Node) takeState(l *linker.Link, s *linkwire.Snapshot) {
	state := &keeper.Snapshot{Tables: s.Tables, Revision: s.Revision}
	for _, item := range s.Items {
		state.Servers = append(state.Servers, keeper.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	n.keeper.ApplySnapshot(state, l.Peer.String())
}

// tellDemand tells the keepers of other regions what is asked of this one.
func (n *Node) tellDemand(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, notice := range n.rationer.Notices() {
				n.linker.SendTo(notice.Keeper, &linkwire.Frame{Kind: &linkwire.Frame_Usage{Usage: notice.Usage}})
			}
		}
	}
}

// probe asks the own backend server for its id while that is not known.
func (n *Node) probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		if !n.identifier.IsLearned() {
			n.probeOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) probeOnce(ctx context.Context) {
	r := n.keeper.Resolver()
	if r == nil {
		return
	}
	pool := r.Tables.Pools[n.ownPool()]
	if pool == nil || pool.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	o := n.exchanger.Do(ctx, &exchanger.Call{
		Method:     http.MethodGet,
		Target:     pool.HealthPath,
		Host:       n.Settings.Backend.Address.String(),
		Fields:     parser.Fields{},
		Idempotent: true,
	})
	answer, ok := o.(exchanger.Answered)
	if !ok || !n.identifier.Learn(answer.Fields.Get(n.Names.Server)) {
		return
	}
	id, name, _ := n.identifier.Identity()
	n.Log.WithField("server", id).WithField("pool", name).Info("backend server identified")
	n.changed()
}
