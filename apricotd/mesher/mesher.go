// Package mesher assembles a node for fleets whose platform publishes routing
// tables and a list of backend servers. Such fleets share nothing else: they
// have no leases, claims or certificates.
//
// It guarantees the order of start and stop. A node reports that it is ready, and
// serves callers, once it has tables and a server list and has compared them with
// those of a peer, or no peer has answered. A stopping node fails its readiness
// check, accepts no new requests from peers after a grace period, serves callers
// until they have had time to fail over and then only those requests that it can
// answer before it ends, finishes the running requests, and only then closes its
// connections.
//
// # Usage
//
//	n := &mesher.Node{Settings: s, Names: names, Store: store, Decoder: decoder, Log: log}
//	err := n.Run(ctx) // ctx ends with SIGTERM
//
// Everything specific to the platform is supplied through Names, Store and
// Decoder. Package mesher and the packages that it uses do not depend on the
// platform's field names, keys or formats.
package mesher

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/acceptor"
	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/cost/appraiser"
	"apricotrudder.dev/apricotd/internal/cost/gauger"
	"apricotrudder.dev/apricotd/internal/process/correlator"
	"apricotrudder.dev/apricotd/internal/process/estimator"
	"apricotrudder.dev/apricotd/internal/process/identifier"
	"apricotrudder.dev/apricotd/internal/process/noticer"
	"apricotrudder.dev/apricotd/internal/process/picker"
	"apricotrudder.dev/apricotd/internal/process/policer"
	"apricotrudder.dev/apricotd/internal/process/quarantiner"
	"apricotrudder.dev/apricotd/internal/process/repeater"
	"apricotrudder.dev/apricotd/internal/process/reserver"
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/internal/request/forecaster"
	"apricotrudder.dev/apricotd/internal/request/inheritor"
	"apricotrudder.dev/apricotd/internal/request/invoker"
	"apricotrudder.dev/apricotd/internal/request/proxier"
	"apricotrudder.dev/apricotd/internal/request/ranker"
	"apricotrudder.dev/apricotd/mesher/internal/warmer"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/syncer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// defaultSlots is the concurrency limit of a backend server whose number of
	// slots is not known yet.
	defaultSlots = 16
	// requestMemoryRatio is the part of Limits.MemoryMB that requests and their
	// responses may occupy. The collector of garbage needs the rest.
	requestMemoryRatio = 0.5
	// defaultMemoryMB applies to requestMemoryRatio if Limits.MemoryMB is 0.
	defaultMemoryMB = 1024
	// callersMemoryRatio is the part of Limits.MemoryMB that connections of callers may
	// occupy beside their requests, each callerBytes: buffers and stacks.
	callersMemoryRatio = 0.125
	callerBytes        = 16 << 10
	// callersDescriptorsDivisor is the divisor of the limit on descriptors that gives how
	// many callers may use. The others are for peers, the store and the backend server.
	callersDescriptorsDivisor = 2
	// minDescriptors applies if the limit on descriptors is lower or unknown.
	minDescriptors = 256
	// memoryLimitRatio is the Go runtime's soft memory limit as a fraction of
	// Limits.MemoryMB.
	memoryLimitRatio = 0.7
	// A stop has steps at these times before the end of Limits.StopWithin: nothing
	// more is accepted, running requests of callers are broken off, their connections are
	// closed, and the links are closed, which breaks off the requests of peers.
	// A shorter StopWithin than maxStopMargin times stopMarginDivisor has
	// proportionally shorter ones.
	maxStopMargin     = 700 * time.Millisecond
	breakOffMargin    = 500 * time.Millisecond
	exitMargin        = 400 * time.Millisecond
	linksMargin       = 200 * time.Millisecond
	stopMarginDivisor = 6
	// failureCloseTime is how long running requests may take after one of the
	// node's servers has failed.
	failureCloseTime = 300 * time.Millisecond
	// callerDrainTime is how long callers may take to fail over from a stopping
	// node: two failed health checks one second apart, plus the time of one check. It
	// is below three seconds, since the platform counts from the signal, which may
	// reach the process late.
	callerDrainTime = 2750 * time.Millisecond
	// peerDrainTime is how long a stopping node still accepts requests from peers.
	peerDrainTime = 2 * time.Second
	// The drain is complete after drainIdlePolls consecutive polls, one every
	// drainPollInterval, that find no active request.
	drainPollInterval = 50 * time.Millisecond
	drainIdlePolls    = 10
	// callerPoolMaxAge is the age of the settings from which they are read again for a
	// request that begins on this VM, if they alone tell the pool of its server.
	callerPoolMaxAge = 100 * time.Millisecond
	// homeReserve is the utilisation that requests without homes leave free for those
	// that are bound to a region.
	homeReserve = 0.35
	// missedHeartbeats is the number of heartbeats of a server after which the store
	// removes its entry.
	missedHeartbeats = 3
	// operators is the name of the metrics server in logs and errors.
	operators = "operators"
)

// initialLimits apply until the first tables are loaded.
var initialLimits = resolver.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     1 << 20,
	HeaderTimeout: 5 * time.Second,
	IdleTimeout:   30 * time.Second,
}

// A poolReading is the pool in the settings file and when the file was read.
type poolReading struct {
	name   string
	readAt timekeeper.Instant
}

// A Node is the sidecar process of one backend server. Its exported fields must
// be set before Run.
type Node struct {
	Settings *Settings
	Names    *namer.Names
	Store    syncer.Store
	Decoder  syncer.Decoder
	Log      *logrus.Logger
	// ReadPool reads the pool of the local backend server from the settings file, which
	// may have changed; nil means that it does not change.
	ReadPool func() (string, error)
	// Listen opens listeners; nil means TCP.
	Listen func(address netip.AddrPort) (net.Listener, error)
	// Dial opens connections to nodes and to the backend server; nil means TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	metrics       *metrics.Set
	pool          atomic.Pointer[poolReading]
	stopping      atomic.Bool // the readiness check fails, so that callers fail over
	leaving       atomic.Bool // heartbeats tell peers that this node is leaving
	acceptor      *acceptor.Acceptor
	exchanger     *exchanger.Exchanger
	linker        *linker.Linker
	traffic       *trafficCounter
	syncer        *syncer.Syncer
	identifier    *identifier.Identifier
	picker        *picker.Picker
	policer       *policer.Policer
	estimator     *estimator.Estimator
	correlator    *correlator.Correlator
	ranker        *ranker.Ranker
	inheritor     *inheritor.Inheritor
	forecaster    *forecaster.Forecaster
	memory        *reserver.Reserver // the account of what requests occupy
	quarantine    *quarantiner.Quarantiner
	noticer       *noticer.Noticer
	gauger        *gauger.Gauger
	appraiser     *appraiser.Appraiser
	notices       *noticer.Directory
	warmer        *warmer.Warmer
	probeRequests chan struct{} // a probe is wanted before the next interval
	idleAnswers   chan struct{} // the store has answered and brought no change
	checkingCrash atomic.Bool   // a crash check of the local backend server is under way
	invoker       *invoker.Invoker
	proxier       *proxier.Proxier
	readers       *readerSelector
	fetcher       *fetcher
	joiner        *joiner
	vouching      vouchState
	background    context.Context // cancelled after the drain
	startedAt     time.Time
}

// Run serves until the context is cancelled and then stops gracefully. If one of
// the node's servers fails, it stops at once and returns the error.
func (n *Node) Run(ctx context.Context) error {
	if n.Settings == nil || n.Names == nil || n.Store == nil || n.Decoder == nil || n.Log == nil {
		return errors.New("run node: Settings, Names, Store, Decoder and Log must all be set")
	}
	n.build()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.background = background
	failures, err := n.startServers(background)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.syncer.Run(background) })
	wg.Go(func() { n.join(background) })
	wg.Go(func() { n.runProbe(background) })
	wg.Go(func() { n.sendReaderHeartbeats(background) })
	wg.Go(func() { n.reportDemand(background) })
	wg.Go(func() {
		repeater.Run(background, policer.ReachProbeInterval, func(time.Time) { n.policer.ProbePeers() })
	})
	wg.Go(func() { n.estimator.Run(background) })
	wg.Go(func() { n.logLoad(background) })
	wg.Go(func() { n.refreshNotices(background) })
	n.Log.WithField("vm", n.Settings.VM).Info("node started")
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failures:
		end := time.Now().Add(failureCloseTime)
		n.acceptor.Close(end, end)
	}
	stop()
	n.exchanger.Close()
	wg.Wait()
	n.Log.WithField("vm", n.Settings.VM).Info("node stopped")
	return err
}

// ReloadPool reads the pool of the local backend server from the settings file. If that
// fails, the pool stays.
func (n *Node) ReloadPool() error {
	if n.ReadPool == nil {
		return nil
	}
	reading := &poolReading{readAt: timekeeper.Now()}
	name, err := n.ReadPool()
	if err != nil {
		return fmt.Errorf("read the pool of the backend server: %w", err)
	}
	reading.name = name
	for {
		old := n.pool.Load()
		if old != nil && old.readAt.Sub(reading.readAt) > 0 || n.pool.CompareAndSwap(old, reading) {
			return nil
		}
	}
}

func (n *Node) localLoad() estimator.Load {
	load := n.invoker.Load()
	_, notice := n.noticer.Current()
	limited, maxRate := notice.Limited, notice.Rate
	if rate, cold := n.warmer.Rate(); cold && (!limited || rate < maxRate) {
		limited, maxRate = true, rate
	}
	return estimator.Load{
		Running:         int(load.Running),
		Waiting:         int(load.Waiting),
		Slots:           int(load.Slots),
		MeanServiceTime: time.Duration(load.ServiceMs * float64(time.Millisecond)),
		MaxRate:         maxRate,
		RateLimited:     limited,
	}
}

func (n *Node) localPool() string { return n.pool.Load().name }

// callerPool returns the pool of the server on this VM, for requests that begin here. If a
// server of another pool may have taken over the address, the settings tell.
func (n *Node) callerPool() string {
	if pool, ok := n.identifier.CurrentPool(); ok {
		return pool
	}
	if n.pool.Load().readAt.Age() > callerPoolMaxAge {
		_ = n.ReloadPool() // whoever reloads the settings at intervals logs the error
	}
	return n.localPool()
}

// poolInSettings returns the pool in the settings and when they were read.
func (n *Node) poolInSettings() (name string, readAt timekeeper.Instant) {
	reading := n.pool.Load()
	if n.ReadPool == nil {
		return reading.name, timekeeper.Now()
	}
	return reading.name, reading.readAt
}

func (n *Node) limits() resolver.Limits {
	if r := n.syncer.Resolver(); r != nil {
		return r.Tables.Limits
	}
	return initialLimits
}

// homes returns the only regions in which requests on a route for an organisation may be
// served, by the tables that this node has, whether or not it serves callers yet.
func (n *Node) homes(route, organisation string) (regions []string, version uint64) {
	r := n.syncer.Resolver()
	if r == nil {
		return nil, 0
	}
	regions, _ = r.HomesByName(route, organisation)
	return regions, r.Tables.Version
}

// onNewServer is called when the backend server has reported a new id in a response.
func (n *Node) onNewServer(id string) {
	n.warmer.SetServer(id)
	n.requestProbe()
}

// coldRate returns the rate of requests that a server tolerates while it is cold, as it
// is taken to be until its node has said that it is warm; 0 if it is warm.
func (n *Node) coldRate(s *lister.Server) float64 {
	r := n.syncer.Resolver()
	if r == nil {
		return 0
	}
	pool := r.Tables.Pools[s.Pool]
	if pool == nil || pool.ColdRate == 0 || n.notices.ColdLeft(s) == 0 {
		return 0
	}
	return pool.ColdRate
}

// forgetCold drops what is known of a shortage in the pool of a server that has warmed up.
func (n *Node) forgetCold(server string) {
	if list := n.syncer.List(); list != nil {
		if s, ok := list.Server(server); ok {
			n.proxier.Throttler.ForgetCold(s.Pool)
		}
	}
}

// isEvacuated reports whether the operator has had a data centre evacuated.
func (n *Node) isEvacuated(dataCentre string) bool {
	list := n.syncer.List()
	return list != nil && list.IsEvacuated(dataCentre)
}

func (n *Node) organisation(name string) (*resolver.Organisation, bool) {
	r := n.syncer.Resolver()
	if r == nil {
		return nil, false
	}
	return r.OrganisationByName(name)
}

func (n *Node) grantTokens(b *linkwire.Borrow) *linkwire.Grant {
	return n.policer.GrantTokens(b.Organisation, b.Wanted)
}

// nodeCount returns the number of nodes in the fleet according to the server
// list, and at least 1.
func (n *Node) nodeCount() int {
	if list := n.syncer.List(); list != nil {
		return max(1, list.VMCount())
	}
	return 1
}

func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.servingResolver() != nil && n.syncer.List() != nil
}

// shouldReadStore reports whether this node reads the store: until it has tables
// and a server list, and while it is one of its region's readers.
func (n *Node) shouldReadStore() bool {
	return !n.isLoaded() || n.readers.isReader()
}

// onStateChange applies new tables or a new server list.
func (n *Node) onStateChange() {
	identity, ok := n.identifier.Identify()
	if ok {
		if listed, known := n.syncer.IsListed(identity.Server); listed {
			n.vouching.markListed(identity.Server)
		} else if known {
			go n.vouch(n.background)
		}
	}
	if s, ok, _ := n.identifier.Listed(identity.Server); ok && s.Slots > 0 {
		n.invoker.SetSlots(s.Slots)
	}
	if r := n.syncer.Resolver(); r != nil {
		if pool := r.Tables.Pools[cmp.Or(identity.Pool, n.localPool())]; pool != nil {
			n.warmer.SetPool(pool.ColdStart, pool.ColdRate)
		}
	}
	n.warmer.SetEvacuated(n.isEvacuated(n.Settings.DataCentre))
	if list := n.syncer.List(); list != nil {
		n.picker.Prune(list)
		n.notices.Prune(list)
	}
	if !n.identifier.IsReported() {
		n.requestProbe()
	}
	n.connectPersistentPeers()
	n.announceState()
}

// startServers opens all listeners and starts their servers. An address that
// cannot be opened fails the start of the node. The metrics server is the
// exception, since no request depends on it. The channel receives the errors of
// servers that fail later.
func (n *Node) startServers(ctx context.Context) (<-chan error, error) {
	failures := make(chan error, 4)
	n.linker.Start(ctx)
	l := n.Settings.Listen
	for _, s := range []struct {
		name    string
		address netip.AddrPort
		run     func(context.Context, net.Listener) error
	}{
		{"callers", l.Callers, n.acceptor.Run},
		{"links", l.Links, n.linker.Run},
		{"health checks", l.Health, n.serveHealth},
		{operators, l.Operators, n.serveMetrics},
	} {
		listener, err := n.listen(s.address)
		if err != nil && s.name == operators {
			n.Log.WithError(err).Warn("cannot listen for metrics requests; continuing without metrics")
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", s.name, err)
		}
		go func() {
			if err := s.run(ctx, listener); err != nil {
				failures <- fmt.Errorf("serve %s: %w", s.name, err)
			}
		}()
	}
	return failures, nil
}

func (n *Node) listen(address netip.AddrPort) (net.Listener, error) {
	if n.Listen != nil {
		return n.Listen(address)
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	return listener, nil
}

// A stopPlan holds the times at which the last steps of a stop begin.
type stopPlan struct {
	last     time.Time // nothing more is accepted
	breakOff time.Time // running requests of callers are broken off
	end      time.Time // connections of callers are closed
	links    time.Time // links are closed
}

func newStopPlan(start time.Time, within time.Duration) stopPlan {
	margin := min(maxStopMargin, within/stopMarginDivisor)
	before := func(d time.Duration) time.Time {
		return start.Add(within - d*margin/maxStopMargin)
	}
	return stopPlan{last: before(maxStopMargin), breakOff: before(breakOffMargin), end: before(exitMargin), links: before(linksMargin)}
}

// drain stops accepting requests step by step, waits for the running ones, and closes
// the connections of callers. It ends by the end of the plan.
//
// Requests from peers are still accepted for peerDrainTime, because no other node
// can reach the local backend server. Later ones might not be finished in time; those
// that must not be repeated are accepted only if their deadline is before the end of
// the drain.
// After callerDrainTime, requests of callers and calls of the local backend server
// are served only if their deadline is before the end of the drain: whatever is
// passed on can then be answered.
//
// Requests of peers go on running for longer than those of callers. Nothing excuses that they
// are broken off: the node that took them may go on running, or end later.
func (n *Node) drain() {
	n.Log.WithField("vm", n.Settings.VM).Info("node is stopping")
	start := time.Now()
	plan := newStopPlan(start, time.Duration(n.Settings.Limits.StopWithin))
	n.stopping.Store(true)
	n.identifier.Stop()
	n.invoker.Stop(plan.last)
	n.acceptor.Drain()
	time.Sleep(min(peerDrainTime, time.Until(plan.last)))
	n.leaving.Store(true)
	n.invoker.Leave()
	n.linker.Announce(nil)
	time.Sleep(min(callerDrainTime-peerDrainTime, time.Until(plan.last)))
	n.proxier.Stop(plan.last)
	for idlePolls := 0; idlePolls < drainIdlePolls && time.Now().Before(plan.last); idlePolls++ {
		time.Sleep(drainPollInterval)
		if n.isBusy() {
			idlePolls = -1
		}
	}
	n.acceptor.Close(plan.breakOff, plan.end)
	for n.linker.ActiveRequests() > 0 && time.Now().Before(plan.links) {
		time.Sleep(drainPollInterval)
	}
}

// isBusy reports whether a caller or a peer waits for a response that has not been
// written.
func (n *Node) isBusy() bool {
	return n.acceptor.ActiveRequests() > 0 || n.linker.ActiveRequests() > 0
}
