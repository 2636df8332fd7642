package mesher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// probeInterval is how often a server whose id is not known is asked.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// crashDelay is how long after a connection broke the server is asked
	// whether it is still there.
	crashDelay = 50 * time.Millisecond
	// vouchDelay is how long the store may take to answer before a node vouches
	// for its server.
	vouchDelay = 300 * time.Millisecond
	// vouchInterval is how often a node vouches for its server.
	vouchInterval = 500 * time.Millisecond
)

// voucher holds the id of the backend server for which this node vouches.
type voucher struct {
	mu      sync.Mutex
	id      string
	running bool
	gone    string // the server whose entry the store itself lacks
}

func (v *voucher) current() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.id
}

func (v *voucher) set(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.id = id
}

// begin reports false if vouching for the server is under way, or was found to
// be wrong.
func (v *voucher) begin(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.running || v.gone == id {
		return false
	}
	v.running = true
	return true
}

// confirm notes that the entry has gone from the store.
func (v *voucher) confirm(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gone = id
}

func (v *voucher) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.id, v.running = "", false
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
	answer, err := n.askHealth(ctx)
	if err != nil || !n.identifier.Learn(answer.Fields.Get(n.Names.Server)) {
		return
	}
	id, pool, _ := n.identifier.Identity()
	n.Log.WithField("server", id).WithField("pool", pool).Info("backend server identified")
	n.changed()
}

func (n *Node) askHealth(ctx context.Context) (*exchanger.Answered, error) {
	r := n.keeper.Resolver()
	if r == nil {
		return nil, errors.New("no tables are in force")
	}
	pool := r.Tables.Pools[n.ownPool()]
	if pool == nil || pool.HealthPath == "" {
		return nil, errors.New("the tables have no health check for the backend server")
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
	if !ok {
		return nil, errors.New("backend server does not answer its health check")
	}
	return &answer, nil
}

// vouch is for a VM that is cut off from the store but not from its peers: the
// backend server's entry expires although the server is healthy. While that
// lasts, the node tells its peers so. It ends when the store answers this node,
// which shows that the entry has gone for another reason, or when the server
// says that it is not healthy, as it does when it leaves.
func (n *Node) vouch(ctx context.Context) {
	id, _, _ := n.identifier.Identity()
	if !n.identifier.IsLearned() || !n.voucher.begin(id) {
		return
	}
	defer n.endVouching()
	served := make(chan struct{})
	go n.awaitStore(ctx, served)
	n.Log.WithField("server", id).Info("entry of the backend server has gone; checking why")
	for delay := vouchDelay; ; delay = vouchInterval {
		select {
		case <-ctx.Done():
			return
		case <-served:
			n.voucher.confirm(id)
			return
		case <-time.After(delay):
		}
		if listed, _ := n.keeper.IsListed(id); listed || n.leaving.Load() || !n.isHealthy(ctx, id) {
			return
		}
		n.voucher.set(id)
		n.keeper.Vouch(n.Settings.Listen.Links.Addr(), id)
		n.linker.Announce(nil)
	}
}

// endVouching takes the word back.
func (n *Node) endVouching() {
	hadWord := n.voucher.current() != ""
	n.voucher.end()
	if hadWord {
		n.keeper.Vouch(n.Settings.Listen.Links.Addr(), "")
		n.linker.Announce(nil)
	}
}

func (n *Node) isHealthy(ctx context.Context, id string) bool {
	answer, err := n.askHealth(ctx)
	return err == nil && answer.Status == http.StatusOK && answer.Fields.Get(n.Names.Server) == id
}

// awaitStore closes the channel once the store answers this node.
func (n *Node) awaitStore(ctx context.Context, served chan<- struct{}) {
	for ctx.Err() == nil && n.voucher.isRunning() {
		if n.keeper.Check(ctx) == nil {
			close(served)
			return
		}
		time.Sleep(vouchInterval)
	}
}

func (v *voucher) isRunning() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.running
}

// confirmCrash finds out whether the own backend server has crashed, after it
// ended a connection, and tells peers what it was running.
func (n *Node) confirmCrash() {
	if !n.confirming.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(crashDelay, func() {
		defer n.confirming.Store(false)
		if _, err := n.askHealth(n.background); err == nil {
			n.quarantine.Survived()
			return
		}
		blamed := n.quarantine.Crashed()
		n.Log.WithField("running", len(blamed)).Warn("backend server has crashed")
		n.linker.Broadcast(func() *linkwire.Frame {
			return &linkwire.Frame{Kind: &linkwire.Frame_Blame{Blame: &linkwire.Blame{Fingerprints: blamed}}}
		}, nil)
	})
}
