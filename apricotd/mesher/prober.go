package mesher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/identifier"
	"apricotrudder.dev/apricotd/mesher/internal/warmer"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// probeInterval is how often the node looks whether the local backend server must be
	// probed.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// absentProbeInterval is how often the server is probed while its id is not known,
	// and restartProbeInterval while it may be starting again.
	absentProbeInterval  = 100 * time.Millisecond
	restartProbeInterval = 50 * time.Millisecond
	// minProbeWait is the least time between two probes of a server that does not answer.
	minProbeWait = 250 * time.Millisecond
	// currentListAge is the age up to which the server list is taken to be current.
	currentListAge = time.Second
	// crashCheckDelay is the time between a broken connection and the health
	// check that shows whether the backend server has crashed.
	crashCheckDelay = 50 * time.Millisecond
	// vouchDelay is how long the store may take to answer before the node starts to
	// vouch for its backend server.
	vouchDelay = 300 * time.Millisecond
	// vouchInterval is how often the node renews a vouch and checks whether the
	// store answers.
	vouchInterval = 500 * time.Millisecond
)

// vouchState records whether this node vouches for the local backend server,
// which means that it tells peers that the server is healthy although the store
// no longer lists it.
type vouchState struct {
	mu      sync.Mutex
	id      string // vouched server; empty: none
	running bool
	gone    string // id of a server that the store has confirmed as removed
}

func (v *vouchState) current() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.id
}

func (v *vouchState) set(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.id = id
}

// begin starts vouching. It returns false if vouching is already under way, or if
// the store has confirmed that the server was removed.
func (v *vouchState) begin(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.running || v.gone == id {
		return false
	}
	v.running = true
	return true
}

// markRemoved records that the store has confirmed the removal of the server.
func (v *vouchState) markRemoved(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gone = id
}

// markListed records that the store lists the server.
func (v *vouchState) markListed(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.gone == id {
		v.gone = ""
	}
}

func (v *vouchState) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.id, v.running = "", false
}

// runProbe probes the local backend server for its id while that is not known, for its
// notice while it gets too few requests to end one, and often enough to tell whether a
// server of another pool can have taken over its address. It reads the settings again
// when they may show the pool of the server, or contradict what they showed.
func (n *Node) runProbe(ctx context.Context) {
	for {
		if n.needsProbe() {
			n.probeOnce(ctx)
		}
		wait := n.probeWait()
		left, awaitsSettings := n.identifier.AwaitsSettings()
		if awaitsSettings && left == 0 {
			n.rereadPool()
		} else if awaitsSettings {
			wait = min(wait, left)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-n.probeRequests:
		}
	}
}

func (n *Node) needsProbe() bool {
	if !n.identifier.IsReported() || n.noticer.NeedsProbe(noticeProbeAfter) {
		return true
	}
	if left, ok := n.warmer.UntilProbe(); ok && left == 0 {
		return true
	}
	confirmed, ok := n.identifier.LastConfirmed()
	return n.Settings.Backend.AddressReuse > 0 && (!ok || confirmed > n.maxUnconfirmed())
}

// probeWait returns the time until the next probe may be needed. It is shortest while the
// local backend server cannot be reached and one that starts at its address would be of
// the same pool.
func (n *Node) probeWait() time.Duration {
	confirmed, ok := n.identifier.LastConfirmed()
	switch {
	case n.identifier.IsReported():
		wait := min(probeInterval, max(minProbeWait, n.maxUnconfirmed()-confirmed))
		if left, ok := n.warmer.UntilProbe(); ok {
			wait = min(wait, left)
		}
		return wait
	case ok && confirmed < time.Duration(n.Settings.Backend.AddressReuse):
		return restartProbeInterval
	}
	return absentProbeInterval
}

// maxUnconfirmed returns how long the local backend server may go without an answer
// before it is probed. A server that starts again soon after an answer is known to be of
// the same pool although the list does not have its id; that matters most while the list
// is not current.
func (n *Node) maxUnconfirmed() time.Duration {
	reuse := time.Duration(n.Settings.Backend.AddressReuse)
	if n.syncer.ListAge() > currentListAge {
		return reuse / 4
	}
	return reuse / 2
}

// rereadPool reads the settings again, which may show the pool of the server.
func (n *Node) rereadPool() {
	before, _ := n.identifier.Identify()
	if err := n.ReloadPool(); err != nil {
		n.Log.WithError(err).Warn("settings file rejected; they show nothing about the pool of the backend server")
		return
	}
	after, _ := n.identifier.Identify()
	if after.Evidence != before.Evidence {
		n.onIdentified(after)
	}
}

// onIdentified ends the time for which this node skips its server, which may have been
// refusing requests until now.
func (n *Node) onIdentified(identity identifier.Identity) {
	n.Log.WithFields(identityFields(identity)).Info("backend server identified")
	list := n.syncer.List()
	if list == nil {
		return
	}
	if s, ok := list.ServerAt(n.identifier.Address); ok {
		n.picker.Readmit(s)
	}
}

func identityFields(identity identifier.Identity) logrus.Fields {
	return logrus.Fields{
		"server":        identity.Server,
		"pool":          identity.Pool,
		"evidence":      identity.Evidence,
		"evidenceAgeMs": identity.Age.Milliseconds(),
	}
}

// requestProbe asks for a probe without waiting for the next interval.
func (n *Node) requestProbe() { signal(n.probeRequests) }

// signal sends to a channel that has a buffer of one, unless it is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (n *Node) probeOnce(ctx context.Context) {
	sentAt := time.Now()
	response, err := n.requestHealth(ctx)
	if err != nil || !n.identifier.SetReported(response.Fields.Get(n.Names.Server), sentAt) {
		return
	}
	identity, _ := n.identifier.Identify()
	n.onIdentified(identity)
	n.onStateChange()
}

// requestHealth sends a health check to the local backend server. A response with
// any status is no error.
func (n *Node) requestHealth(ctx context.Context) (*exchanger.Response, error) {
	r := n.syncer.Resolver()
	if r == nil {
		return nil, errors.New("no tables have been loaded")
	}
	pool := r.Tables.Pools[n.localPool()]
	if pool == nil || pool.HealthPath == "" {
		return nil, errors.New("the tables have no health check path for the pool of the backend server")
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probe := n.warmer.BeginProbe()
	sentAt := time.Now()
	outcome := n.exchanger.Do(ctx, &exchanger.Call{
		Method:     http.MethodGet,
		Target:     pool.HealthPath,
		Host:       n.Settings.Backend.Address.String(),
		Fields:     parser.Fields{},
		Idempotent: true,
	})
	if _, notSent := outcome.(exchanger.NotSent); notSent && ctx.Err() == nil {
		n.identifier.Reset()
	}
	response, ok := outcome.(exchanger.Response)
	if !ok {
		n.warmer.Doubt("health check not answered")
		return nil, errors.New("backend server did not answer its health check")
	}
	if response.Fields.Get(n.Names.NotRun) == "" {
		n.warmer.Observe(probe, response.Fields.Get(n.Names.Server), warmer.ParseStatement(response.Fields.Get(n.Names.ColdLeft)))
	}
	n.noticer.Observe(response.Fields.Get(n.Names.Server), response.Fields, sentAt, response.ReceivedAt)
	n.gauger.Observe(response.Fields.Get(n.Names.Server), response.Fields.Get(n.Names.Load), response.ReceivedAt)
	if id := response.Fields.Get(n.Names.Server); id != "" {
		n.identifier.Confirm(identifier.Identity{Server: id}, sentAt)
	}
	return &response, nil
}

// vouch handles a VM that is cut off from the store but not from its peers: the
// backend server's entry expires although the server is healthy. The node tells
// its peers that the server is healthy until the server is listed again, the node
// is leaving, or the server fails its health check. A server that shuts down fails
// it too. If the store answers this node, the VM is not cut off and the entry was
// removed for another reason, so the node stops vouching.
func (n *Node) vouch(ctx context.Context) {
	identity, _ := n.identifier.Identify()
	id := identity.Server
	if !n.identifier.IsReported() || !n.vouching.begin(id) {
		return
	}
	defer n.endVouching()
	storeAnswered := make(chan struct{})
	go n.awaitStore(ctx, storeAnswered)
	n.Log.WithField("server", id).Info("backend server is no longer listed; checking its health")
	for delay := vouchDelay; ; delay = vouchInterval {
		select {
		case <-ctx.Done():
			return
		case <-storeAnswered:
			n.vouching.markRemoved(id)
			return
		case <-time.After(delay):
		}
		if listed, _ := n.syncer.IsListed(id); listed || n.leaving.Load() || !n.isHealthy(ctx, id) {
			return
		}
		n.vouching.set(id)
		n.syncer.ReportHealth(n.Settings.Listen.Links.Addr(), id)
		n.linker.Announce(nil)
	}
}

// endVouching ends vouching. If the node has vouched, it withdraws the vouch and
// tells its peers.
func (n *Node) endVouching() {
	hadVouched := n.vouching.current() != ""
	n.vouching.end()
	if hadVouched {
		n.syncer.ReportHealth(n.Settings.Listen.Links.Addr(), "")
		n.linker.Announce(nil)
	}
}

func (n *Node) isHealthy(ctx context.Context, id string) bool {
	response, err := n.requestHealth(ctx)
	return err == nil && response.Status == http.StatusOK && response.Fields.Get(n.Names.Server) == id && !n.noticer.Notice(id).Leaving
}

// awaitStore closes the channel when the store answers this node. If vouching ends
// first, the channel stays open.
func (n *Node) awaitStore(ctx context.Context, storeAnswered chan<- struct{}) {
	for ctx.Err() == nil && n.vouching.isRunning() {
		if n.syncer.CheckStore(ctx) == nil {
			close(storeAnswered)
			return
		}
		time.Sleep(vouchInterval)
	}
}

func (v *vouchState) isRunning() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.running
}

// checkCrash is called after the local backend server has closed a connection
// without an answer. If the server does not answer a health check, it has crashed,
// and the fingerprints of the requests that it was running are sent to all peers
// as suspects for quarantine.
func (n *Node) checkCrash() {
	if !n.checkingCrash.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(crashCheckDelay, func() {
		defer n.checkingCrash.Store(false)
		if _, err := n.requestHealth(n.background); err == nil {
			n.quarantine.DiscardInterrupted()
			return
		}
		fingerprints := n.quarantine.BlameInterrupted()
		n.Log.WithField("running", len(fingerprints)).Warn("backend server has crashed")
		n.linker.Broadcast(func() *linkwire.Frame {
			return &linkwire.Frame{Kind: &linkwire.Frame_Blame{Blame: &linkwire.Blame{Fingerprints: fingerprints}}}
		}, nil)
	})
}
