// Package mesher joins the parts of a node for fleets whose platform publishes
// tables and backend servers and where nothing else is shared: no leases, no
// claims, no certificates.
//
// It guarantees the order of start and stop: a node says that it is ready once
// it holds tables and a list of servers, and a stop begins nothing new for
// peers, finishes what runs, serves callers until they have had the time to
// turn elsewhere, and only then closes.
//
// # Usage
//
//	n := &mesher.Node{Settings: s, Names: names, Store: store, Decoder: decoder, Log: log}
//	err := n.Run(ctx) // ctx ends with SIGTERM
//
// What is known of the platform comes in by Names, Store and Decoder; package
// mesher and what it uses know none of the platform's words.
package mesher

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/acceptor"
	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/apricotd/internal/process/budgeter"
	"apricotrudder.dev/apricotd/internal/process/chooser"
	"apricotrudder.dev/apricotd/internal/process/gauger"
	"apricotrudder.dev/apricotd/internal/process/identifier"
	"apricotrudder.dev/apricotd/internal/process/quarantiner"
	"apricotrudder.dev/apricotd/internal/process/rationer"
	"apricotrudder.dev/apricotd/internal/process/sizer"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/process/tracer"
	"apricotrudder.dev/apricotd/internal/request/director"
	"apricotrudder.dev/apricotd/internal/request/performer"
	"apricotrudder.dev/apricotd/keeper"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// defaultSlots bounds a backend server whose slots are not known yet.
	defaultSlots = 16
	// memoryShare of the VM's limit is what the Go runtime aims to stay below.
	memoryShare = 0.7
	// stopMargin is left of the time to stop, for closing.
	stopMargin = 700 * time.Millisecond
	// callersLeave is how long callers may take to notice that this node
	// stops: two failed health checks a second apart, and the time of one.
	callersLeave = 3 * time.Second
	// peersLeave is how long a stopping node still serves peers.
	peersLeave = 2 * time.Second
	// A node has finished after quietIntervals without any request.
	drainInterval  = 50 * time.Millisecond
	quietIntervals = 10
	// operators names the server of metrics.
	operators = "operators"
)

// startLimits are in force until the first tables are.
var startLimits = resolver.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     1 << 20,
	HeaderTimeout: 5 * time.Second,
	IdleTimeout:   30 * time.Second,
}

// A Node is one process beside one backend server. Its exported fields must be
// set before Run.
type Node struct {
	Settings *Settings
	Names    *namer.Names
	Store    keeper.Store
	Decoder  keeper.Decoder
	Log      *logrus.Logger
	// Listen opens listeners; nil means TCP.
	Listen func(address netip.AddrPort) (net.Listener, error)
	// Dial opens connections to nodes and to the backend server; nil means TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	metrics    *metrics.Set
	pool       atomic.Pointer[string]
	stopping   atomic.Bool // callers are to turn elsewhere
	leaving    atomic.Bool // peers are, too
	acceptor   *acceptor.Acceptor
	exchanger  *exchanger.Exchanger
	linker     *linker.Linker
	keeper     *keeper.Keeper
	identifier *identifier.Identifier
	chooser    *chooser.Chooser
	rationer   *rationer.Rationer
	gauger     *gauger.Gauger
	tracer     *tracer.Tracer
	quarantine *quarantiner.Quarantiner
	confirming atomic.Bool // whether the own backend server has crashed
	performer  *performer.Performer
	director   *director.Director
	readers    *readers
	fetcher    *fetcher
	voucher    voucher
	background context.Context // ends when the node has stopped
}

// Run serves until the context ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	if n.Settings == nil || n.Names == nil || n.Store == nil || n.Decoder == nil || n.Log == nil {
		return errors.New("run node: a field is not set, want Settings, Names, Store, Decoder and Log")
	}
	n.build()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.background = background
	failed, err := n.open(background)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.keeper.Run(background) })
	wg.Go(func() { n.probe(background) })
	wg.Go(func() { n.beatAsReader(background) })
	wg.Go(func() { n.tellDemand(background) })
	wg.Go(func() { n.gauger.Run(background) })
	wg.Go(func() { n.tellBeliefs(background) })
	n.Log.WithField("vm", n.Settings.VM).Info("node started")
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failed:
	}
	n.acceptor.Close()
	stop()
	n.exchanger.Close()
	wg.Wait()
	n.Log.WithField("vm", n.Settings.VM).Info("node stopped")
	return err
}

// SetPool follows changed settings, which may name another service.
func (n *Node) SetPool(name string) { n.pool.Store(&name) }

func (n *Node) build() {
	s := n.Settings
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	n.metrics = metrics.NewSet()
	n.SetPool(s.Pool)
	n.keeper = &keeper.Keeper{
		Store:    n.Store,
		Decoder:  n.Decoder,
		Log:      n.Log,
		OnChange: n.changed,
		Reads:    n.reads,
	}
	n.readers = &readers{
		Self:   s.Listen.Links.Addr(),
		Region: s.Region,
		List:   n.keeper.List,
		State:  func(a netip.Addr) (linked, silent bool) { return n.linker.State(a) },
	}
	n.fetcher = &fetcher{IsBehind: n.isBehind, Request: n.fetchRequest}
	n.exchanger = &exchanger.Exchanger{Address: s.Backend.Address, IDField: n.Names.RequestID, Dial: n.Dial}
	n.identifier = &identifier.Identifier{Address: s.Backend.Address, Pool: n.ownPool, List: n.keeper.List}
	n.gauger = &gauger.Gauger{Load: n.ownLoad}
	n.tracer = &tracer.Tracer{}
	n.quarantine = &quarantiner.Quarantiner{}
	n.performer = &performer.Performer{
		Names:      n.Names,
		Exchanger:  n.exchanger,
		Admitter:   &admitter.Admitter{},
		Identifier: n.identifier,
		Gauger:     n.gauger,
		Sizer:      &sizer.Sizer{},
		Tracer:     n.tracer,
		Quarantine: n.quarantine,
		OnBroken:   n.confirmCrash,
		Downstream: func(route string) throttler.Overload { return n.director.Downstream(route) },
	}
	n.performer.SetSlots(defaultSlots)
	n.linker = &linker.Linker{
		Port:    s.Listen.Links.Port(),
		Serve:   n.performer.Run,
		Lend:    n.lend,
		Beat:    n.beat,
		Receive: n.receive,
		Dial:    n.Dial,
		Log:     n.Log,
	}
	n.chooser = &chooser.Chooser{DataCentre: s.DataCentre, Region: s.Region, Silence: n.linker.Silence}
	n.rationer = &rationer.Rationer{
		Self:         s.Listen.Links.Addr(),
		Region:       s.Region,
		List:         n.keeper.List,
		Organisation: n.organisation,
		Borrow:       n.linker.Borrow,
		Heard:        n.linker.Heard,
		IsSilent: func(a netip.Addr) bool {
			_, silent := n.linker.State(a)
			return silent
		},
		Silence:   n.readers.silence,
		Overshoot: s.Rates.Overshoot,
		Slack:     s.Rates.Slack,
		Window:    time.Duration(s.Rates.Window),
	}
	n.buildDirector()
	n.acceptor = &acceptor.Acceptor{Limits: n.limits, Serve: n.director.Serve, Refuse: director.Refuse, Log: n.Log}
	n.registerMetrics()
}

func (n *Node) buildDirector() {
	s := n.Settings
	n.director = &director.Director{
		Names:    n.Names,
		Self:     s.Listen.Links.Addr(),
		Caller:   n.ownPool,
		Resolver: n.keeper.Resolver,
		List:     n.keeper.List,
		Chooser:  n.chooser,
		Budget: &budgeter.Budgeter{
			Window:    time.Duration(s.Retries.Window),
			Ratio:     s.Retries.Ratio,
			Allowance: s.Retries.Allowance,
			Nodes:     n.nodes,
		},
		Rations:    n.rationer,
		Linker:     n.linker,
		Local:      n.performer,
		Quarantine: n.quarantine,
		Throttler:  &throttler.Throttler{},
		Tracer:     n.tracer,
		Log:        n.Log,
		Metrics:    n.metrics,
	}
}

func (n *Node) ownLoad() gauger.Load {
	load := n.performer.Load()
	return gauger.Load{
		Running: int(load.Running),
		Waiting: int(load.Waiting),
		Slots:   int(load.Slots),
		Service: time.Duration(load.ServiceMs * float64(time.Millisecond)),
	}
}

func (n *Node) ownPool() string { return *n.pool.Load() }

func (n *Node) limits() resolver.Limits {
	if r := n.keeper.Resolver(); r != nil {
		return r.Tables.Limits
	}
	return startLimits
}

func (n *Node) organisation(name string) (*resolver.Organisation, bool) {
	r := n.keeper.Resolver()
	if r == nil {
		return nil, false
	}
	return r.Named(name)
}

func (n *Node) lend(b *linkwire.Borrow) *linkwire.Grant {
	return n.rationer.Lend(b.Organisation, b.Wanted)
}

// nodes returns the size of the fleet as far as it is known.
func (n *Node) nodes() int {
	if list := n.keeper.List(); list != nil {
		return max(1, list.Nodes())
	}
	return 1
}

func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.keeper.Resolver() != nil && n.keeper.List() != nil
}

// reads tells whether this node is to read the store: before it knows
// anything, and while it is one of its region's readers.
func (n *Node) reads() bool {
	return n.keeper.Resolver() == nil || n.keeper.List() == nil || n.readers.isReader()
}

// changed follows new tables or servers.
func (n *Node) changed() {
	if id, _, ok := n.identifier.Identity(); ok {
		if listed, known := n.keeper.IsListed(id); known && !listed {
			go n.vouch(n.background)
		}
	}
	if s, ok, _ := n.identifier.Listed(); ok && s.Slots > 0 {
		n.performer.SetSlots(s.Slots)
	}
	if list := n.keeper.List(); list != nil {
		n.chooser.Forget(list)
	}
	n.connectContacts()
	n.announce()
}

// open starts all servers, so that a node either starts whole or fails with
// the address that is taken. Only the metrics may be missing: nobody waits for
// them. The channel gets the first failure.
func (n *Node) open(ctx context.Context) (<-chan error, error) {
	failed := make(chan error, 4)
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
		{operators, l.Operators, n.serveOperators},
	} {
		listener, err := n.listen(s.address)
		if err != nil && s.name == operators {
			n.Log.WithError(err).Warn("no metrics are served")
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", s.name, err)
		}
		go func() {
			if err := s.run(ctx, listener); err != nil {
				failed <- fmt.Errorf("serve %s: %w", s.name, err)
			}
		}()
	}
	return failed, nil
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

// drain lets callers leave and finishes what runs. The backend server goes on
// without this node, but nobody reaches it then, so peers are served for as
// long as what they send can still be finished. A request that comes after
// the time that callers need to turn elsewhere is refused, since it might not
// be finished in time; calls of the backend server still belong to requests
// that run.
func (n *Node) drain() {
	n.Log.WithField("vm", n.Settings.VM).Info("node is stopping")
	begun := time.Now()
	n.stopping.Store(true)
	n.acceptor.Leave()
	end := begun.Add(time.Duration(n.Settings.Limits.StopWithin) - stopMargin)
	time.Sleep(min(peersLeave, time.Until(end)))
	n.leaving.Store(true)
	n.performer.Leave()
	n.linker.Announce(nil)
	time.Sleep(min(callersLeave-peersLeave, time.Until(end)))
	n.director.Close()
	for quiet := 0; quiet < quietIntervals && time.Now().Before(end); quiet++ {
		time.Sleep(drainInterval)
		if n.isBusy() {
			quiet = -1
		}
	}
}

func (n *Node) isBusy() bool {
	load := n.performer.Load()
	return n.acceptor.Active() > 0 || load.Running+load.Waiting > 0
}
