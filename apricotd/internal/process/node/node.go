// Package node assembles the components of one node and runs them.
//
// It enforces the order of startup and shutdown. A node serves callers only
// after it holds tables and its peers have had the chance to send newer ones.
// On a graceful shutdown it accepts no new requests, waits for the running
// ones to finish, and then closes its servers.
//
// # Usage
//
//	n := &node.Node{Settings: s, Log: log, Version: version}
//	err := n.Run(ctx) // ctx ends with SIGTERM
//
// Tests set Listen and Dial to run complete nodes over in-memory connections.
package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/dispatcher"
	"apricotrudder.dev/apricotd/internal/connection/forwarder"
	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/internal/process/balancer"
	"apricotrudder.dev/apricotd/internal/process/claimer"
	"apricotrudder.dev/apricotd/internal/process/leaser"
	"apricotrudder.dev/apricotd/internal/process/limiter"
	"apricotrudder.dev/apricotd/internal/process/loader"
	"apricotrudder.dev/apricotd/internal/process/prober"
	"apricotrudder.dev/apricotd/internal/process/spreader"
	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/executor"
	"apricotrudder.dev/apricotd/internal/request/router"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/locator"
	"apricotrudder.dev/apricotd/version/sharder"
)

const (
	// refusalPeriod is how long a stopping node keeps its listeners open and
	// rejects new requests, so that callers with open connections are told
	// that the node is stopping.
	refusalPeriod     = 500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

type (
	// A Node is a proxy process that runs next to one backend server. Its
	// exported fields must be set before Run is called.
	Node struct {
		Settings *loader.Settings
		Log      logrus.FieldLogger
		Version  string
		// TLS authenticates this node and its peers; nil means HTTP/2 without TLS.
		TLS *tls.Config
		// Platform overrides the platform client built from the settings.
		Platform spreader.Platform
		// Listen opens listeners; nil means TCP.
		Listen func(address netip.AddrPort) (net.Listener, error)
		// Dial opens connections; nil means TCP.
		Dial forwarder.Dialer

		process       string // random identifier, new on every start
		audit         *auditor.Auditor
		metrics       *metrics.Set
		view          atomic.Pointer[router.View]
		vmList        atomic.Pointer[locator.List]
		stopping      atomic.Bool
		streamContext context.Context // cancelled to end the streams to peers
		forwarder     *forwarder.Forwarder
		dispatcher    *dispatcher.Dispatcher
		admitter      *admitter.Admitter
		tracker       *tracker.Tracker
		prober        *prober.Prober
		spreader      *spreader.Spreader
		sharder       atomic.Pointer[sharder.Sharder]
		leaser        *leaser.Leaser
		limiter       *limiter.Limiter
		claimer       *claimer.Claimer
		router        *router.Router
		executor      *executor.Executor
		servers       servers
	}
)

// Run serves until the context is done and then shuts down gracefully. It
// returns nil after a graceful shutdown.
func (n *Node) Run(ctx context.Context) error {
	if n.Settings == nil || n.Log == nil {
		return errors.New("run node: Settings and Log must be set")
	}
	n.build()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.streamContext = background
	if err := n.openListeners(); err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.spreader.Run(background) })
	wg.Go(func() { n.prober.Run(background) })
	wg.Go(func() { n.limiter.Run(background) })
	wg.Go(func() { n.leaser.LearnAll(background) })
	serveErrors := n.serve()
	n.Log.WithField("vm", n.Settings.VM).Info("node started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
	}
	n.drain()
	n.leaser.Stop()
	stop()
	n.close()
	wg.Wait()
	n.Log.WithField("vm", n.Settings.VM).Info("node stopped")
	return err
}

func (n *Node) build() {
	s := n.Settings
	n.process = rand.Text()
	n.metrics = metrics.NewSet()
	n.audit = &auditor.Auditor{Log: n.Log}
	n.tracker = &tracker.Tracker{}
	n.admitter = &admitter.Admitter{}
	n.forwarder = &forwarder.Forwarder{TLS: n.TLS, Dial: n.Dial, Locate: n.locate}
	n.forwarder.Start()
	n.dispatcher = &dispatcher.Dispatcher{Address: s.Backend.Address, Dial: n.Dial}
	n.dispatcher.Start()
	n.prober = &prober.Prober{
		Dispatcher: n.dispatcher,
		Admitter:   n.admitter,
		Audit:      n.audit,
		Interval:   time.Duration(s.Backend.ProbeInterval),
		Pool:       n.pool,
	}
	n.buildSpreader()
	n.buildOwnership()
	n.buildRequestPath()
	n.registerMetrics()
}

func (n *Node) buildSpreader() {
	s := n.Settings
	if n.Platform == nil {
		p := &spreader.HTTPPlatform{Addresses: s.Platform.Addresses, Timeout: time.Duration(s.Platform.Timeout), Dial: n.Dial}
		p.Start()
		n.Platform = p
	}
	n.spreader = &spreader.Spreader{
		Self: locator.VM{
			ID:         s.VM,
			Region:     s.Region,
			DataCentre: s.DataCentre,
			Pool:       s.Pool,
			Address:    s.Listen.Peers,
			State:      locator.Live,
		},
		Platform: n.Platform,
		Peer:     n.forwarder.Peer,
		Audit:    n.audit,
		Metrics:  n.metrics,
		OnConfig: n.setConfig,
		OnVMs:    n.setVMList,
	}
}

func (n *Node) buildOwnership() {
	ownerCache := &leaser.OwnerCache{Group: n.group}
	n.claimer = &claimer.Claimer{
		Self:       n.Settings.VM,
		Process:    n.process,
		OwnerCache: ownerCache,
		Peer:       n.forwarder.Peer,
	}
	n.leaser = &leaser.Leaser{
		Self:          n.Settings.VM,
		Process:       n.process,
		Group:         n.group,
		IsListed:      n.isListed,
		StaleFor:      n.spreader.StaleFor,
		Peer:          n.forwarder.Peer,
		Audit:         n.audit,
		Replica:       n.claimer,
		OnEstablished: n.spreader.AnnounceGroup,
	}
	n.leaser.Start()
	n.claimer.Leaser = n.leaser
	n.spreader.OnGroup = n.leaser.RecordEstablished
	n.limiter = &limiter.Limiter{
		Self:       n.Settings.VM,
		Leaser:     n.leaser,
		OwnerCache: ownerCache,
		Group:      n.group,
		Peer:       n.forwarder.Peer,
		Config:     n.config,
	}
}

func (n *Node) buildRequestPath() {
	s := n.Settings
	n.executor = &executor.Executor{
		VM:          s.VM,
		Pool:        s.Pool,
		View:        n.view.Load,
		Freshness:   n.spreader.Current,
		Admitter:    n.admitter,
		Tracker:     n.tracker,
		Dispatcher:  n.dispatcher,
		Claimer:     n.claimer,
		IsDraining:  n.isLeaving,
		BackendDown: n.prober.IsDown,
	}
	n.router = &router.Router{
		View:       n.view.Load,
		Freshness:  n.spreader.Current,
		Limiter:    n.limiter,
		Balancer:   &balancer.Balancer{DataCentre: s.DataCentre, Region: s.Region},
		Budget:     &router.Budget{Ratio: router.DefaultRatio, Max: router.DefaultMax},
		Tracker:    n.tracker,
		Sender:     &sender{node: n},
		Audit:      n.audit,
		Metrics:    n.metrics,
		IsDraining: n.stopping.Load,
	}
}

func (n *Node) setConfig(cfg *checker.Config) {
	n.view.Store(router.NewView(cfg, n.view.Load()))
	if pool := cfg.Pools[n.Settings.Pool]; pool != nil {
		n.admitter.SetQueueWait(time.Duration(pool.QueueWait))
	}
}

func (n *Node) setVMList(list *locator.List, changed []string) {
	n.vmList.Store(list)
	if s := n.sharder.Load(); s != nil {
		n.sharder.Store(s.WithChanges(list, changed))
	} else {
		n.sharder.Store(sharder.New(list))
	}
	n.router.Balancer.SetList(list)
	n.forwarder.RemoveUnlisted(n.isListed)
}

func (n *Node) isListed(id string) bool {
	_, ok := n.vmList.Load().VM(id)
	return ok
}

// group computes a shard's group from the current VM list. It reports false
// until peers have had the chance to send a newer list.
func (n *Node) group(id sharder.Shard) (sharder.Group, bool) {
	s := n.sharder.Load()
	if s == nil || !n.spreader.Current().Ready {
		return sharder.Group{}, false
	}
	return s.Group(id), true
}

func (n *Node) config() *checker.Config {
	v := n.view.Load()
	if v == nil {
		return nil
	}
	return v.Config
}

func (n *Node) pool() *checker.Pool {
	v := n.view.Load()
	if v == nil {
		return nil
	}
	return v.Config.Pools[n.Settings.Pool]
}

func (n *Node) locate(id string) (netip.AddrPort, bool) {
	list := n.vmList.Load()
	if list == nil {
		return netip.AddrPort{}, false
	}
	vm, ok := list.VM(id)
	return vm.Address, ok
}

// isLeaving reports whether the backend server must not be given new requests:
// this node is stopping, the platform lists the VM as leaving, or the backend
// server reports that it is draining. The node next to the backend server
// checks this for every request, so it holds even if the senders have an
// outdated VM list.
func (n *Node) isLeaving() bool {
	if n.stopping.Load() || n.prober.IsDraining() {
		return true
	}
	list := n.vmList.Load()
	if list == nil {
		return false
	}
	vm, ok := list.VM(n.Settings.VM)
	return ok && vm.State == locator.Leaving
}

// drain stops accepting requests and waits until the running ones have finished
// or the drain timeout has passed.
func (n *Node) drain() {
	n.stopping.Store(true)
	n.audit.Record(auditor.Entry{Kind: auditor.Leaving, Subject: n.Settings.VM, Detail: "graceful stop begun"})
	n.admitter.Close()
	deadline := time.Now().Add(time.Duration(n.Settings.Limits.DrainTimeout))
	time.Sleep(refusalPeriod)
	for n.isBusy() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

func (n *Node) isBusy() bool {
	return n.tracker.Len() > 0 || n.servers.activeRequests.Load() > 0
}

func (n *Node) registerMetrics() {
	n.metrics.NewGauge("apricot_requests_in_flight", func() float64 {
		inFlight, _ := n.admitter.Load()
		return float64(inFlight)
	})
	n.metrics.NewGauge("apricot_concurrency_limit", func() float64 {
		_, limit := n.admitter.Load()
		return float64(limit)
	})
	n.metrics.NewGauge("apricot_config_version", func() float64 {
		config, _ := n.spreader.Versions()
		return float64(config)
	})
	n.metrics.NewGauge("apricot_vms_version", func() float64 {
		_, vms := n.spreader.Versions()
		return float64(vms)
	})
	n.metrics.NewGauge("apricot_freshness_age_seconds", func() float64 {
		return n.spreader.Current().Age.Seconds()
	})
}
