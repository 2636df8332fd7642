package mesher

import (
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"apricotrudder.dev/apricotd/internal/connection/acceptor"
	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/cost/appraiser"
	"apricotrudder.dev/apricotd/internal/cost/gauger"
	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/apricotd/internal/process/correlator"
	"apricotrudder.dev/apricotd/internal/process/estimator"
	"apricotrudder.dev/apricotd/internal/process/identifier"
	"apricotrudder.dev/apricotd/internal/process/noticer"
	"apricotrudder.dev/apricotd/internal/process/picker"
	"apricotrudder.dev/apricotd/internal/process/policer"
	"apricotrudder.dev/apricotd/internal/process/quarantiner"
	"apricotrudder.dev/apricotd/internal/process/reserver"
	"apricotrudder.dev/apricotd/internal/process/retrylimiter"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/process/tuner"
	"apricotrudder.dev/apricotd/internal/request/forecaster"
	"apricotrudder.dev/apricotd/internal/request/inheritor"
	"apricotrudder.dev/apricotd/internal/request/invoker"
	"apricotrudder.dev/apricotd/internal/request/postponer"
	"apricotrudder.dev/apricotd/internal/request/proxier"
	"apricotrudder.dev/apricotd/internal/request/ranker"
	"apricotrudder.dev/apricotd/internal/request/returner"
	"apricotrudder.dev/apricotd/mesher/internal/warmer"
	"apricotrudder.dev/apricotd/syncer"
	"apricotrudder.dev/wire/linkwire"
)

// build creates the parts of the node and connects them.
func (n *Node) build() {
	s := n.Settings
	n.startedAt = time.Now()
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	n.metrics = metrics.NewSet()
	n.probeRequests = make(chan struct{}, 1)
	n.idleAnswers = make(chan struct{}, 1)
	n.pool.CompareAndSwap(nil, &poolReading{name: s.Pool}) // read at an unknown time
	n.memory = &reserver.Reserver{Limit: requestMemory(s.Limits.MemoryMB)}
	n.syncer = &syncer.Syncer{
		Store:         n.Store,
		Decoder:       n.Decoder,
		Log:           n.Log,
		OnChange:      n.onStateChange,
		OnIdleAnswer:  func() { signal(n.idleAnswers) },
		IsReader:      n.shouldReadStore,
		EntryLifetime: missedHeartbeats * time.Duration(s.Store.Heartbeat),
	}
	n.readers = &readerSelector{
		Self:      s.Listen.Links.Addr(),
		Region:    s.Region,
		List:      n.syncer.List,
		PeerState: func(a netip.Addr) (linked, unresponsive bool) { return n.linker.PeerState(a) },
	}
	n.joiner = &joiner{
		Self:             s.Listen.Links.Addr(),
		IsLoaded:         n.isLoaded,
		IsNewer:          n.hasNewerState,
		Candidates:       func() []netip.Addr { return n.readers.firstCandidates(persistentPeersPerRegion) },
		HasStoreAnswered: n.syncer.HasStoreAnswered,
		done:             make(chan struct{}),
	}
	complete := &fetcher{IsNewer: func(*linkwire.Beat) bool { return n.joiner.needsState() }, Request: n.completeStateFrame}
	n.joiner.Fetch = func(l *linker.Link, b *linkwire.Beat) { complete.addAnnouncement(l, b, 0) }
	n.fetcher = &fetcher{IsNewer: n.hasNewerState, Request: n.fetchFrame}
	n.exchanger = &exchanger.Exchanger{Address: s.Backend.Address, IDField: n.Names.RequestID, Memory: n.memory, Dial: n.Dial}
	n.identifier = &identifier.Identifier{
		Address:      s.Backend.Address,
		AddressReuse: time.Duration(s.Backend.AddressReuse),
		SettingsLag:  time.Duration(s.Backend.SettingsLag),
		Settings:     n.poolInSettings,
		List:         n.syncer.List,
		ListAge:      n.syncer.ListAge,
		RemovedEntry: n.syncer.RemovedEntry,
	}
	n.estimator = &estimator.Estimator{Load: n.localLoad}
	n.correlator = &correlator.Correlator{}
	n.ranker = &ranker.Ranker{PerRun: n.correlator.PerRun}
	n.inheritor = &inheritor.Inheritor{PerRun: n.correlator.PerRun}
	n.forecaster = &forecaster.Forecaster{}
	n.quarantine = &quarantiner.Quarantiner{}
	n.warmer = &warmer.Warmer{Overshoot: s.Backend.ColdOvershoot, Slack: s.Backend.ColdSlack, Log: n.Log}
	admission := &admitter.Admitter{Gate: n.warmer, OnYield: n.metrics.NewCounter("apricot_calls_yielded_total").Inc}
	n.warmer.WantProbe = n.requestProbe
	n.warmer.OnChange = admission.GateChanged
	n.warmer.Announce = func() {
		if !n.warmer.IsLimited() {
			n.estimator.Reset()
		}
		if m := n.warmer.Mark(n.noticer.Message()); m != nil {
			n.notices.Record(n.Settings.Listen.Links.Addr(), m)
		}
		n.linker.Announce(nil)
	}
	n.noticer = &noticer.Noticer{
		Names:    n.Names,
		Log:      n.Log,
		SetRate:  admission.SetRate,
		OnChange: func() { n.linker.Announce(nil) },
	}
	n.notices = &noticer.Directory{OnWarm: n.forgetCold}
	n.gauger = &gauger.Gauger{IsAlwaysRead: s.Balancing.ByExpectedWork == always}
	n.appraiser = &appraiser.Appraiser{}
	n.invoker = &invoker.Invoker{
		Names:         n.Names,
		Exchanger:     n.exchanger,
		Admitter:      admission,
		Identifier:    n.identifier,
		Estimator:     n.estimator,
		Tuner:         &tuner.Tuner{},
		Correlator:    n.correlator,
		Ranker:        n.ranker,
		Inheritor:     n.inheritor,
		Forecaster:    n.forecaster,
		Quarantine:    n.quarantine,
		Noticer:       n.noticer,
		Gauger:        n.gauger,
		Log:           n.Log,
		Metrics:       n.metrics,
		Region:        s.Region,
		Homes:         n.homes,
		OnBroken:      n.checkCrash,
		OnNewServer:   n.onNewServer,
		OnUnreachable: func() { n.warmer.Doubt("unreachable") },
		IsCold:        n.warmer.IsLimited,
		MarkCold:      n.warmer.Mark,
		Downstream:    func(route string) throttler.Overload { return n.proxier.Downstream(route) },
		IsEvacuated:   func() bool { return n.isEvacuated(s.DataCentre) },
	}
	n.invoker.SetSlots(defaultSlots)
	n.traffic = newTrafficCounter(n.metrics, n.scopeOf)
	n.linker = &linker.Linker{
		Port:        s.Listen.Links.Port(),
		Local:       s.Listen.Links.Addr(),
		Serve:       n.invoker.Run,
		GrantTokens: n.grantTokens,
		Beat:        n.beat,
		Receive:     n.handleFrame,
		Sent:        n.traffic.count,
		Dial:        n.Dial,
		Memory:      n.memory,
		Log:         n.Log,
	}
	retryBudget := &retrylimiter.Limiter{
		Window:    time.Duration(s.Retries.Window),
		Ratio:     s.Retries.Ratio,
		Allowance: s.Retries.Allowance,
		Nodes:     n.nodeCount,
	}
	n.picker = &picker.Picker{
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		Silence:     n.linker.Silence,
		IsLeaving:   n.notices.IsLeaving,
		IsEvacuated: n.isEvacuated,
		HomeReserve: homeReserve,
		ColdRate:    n.coldRate,

		ByCompletion:  s.Balancing.ByExpectedWork != never,
		CoversRepeats: retryBudget.Covers,
	}
	n.policer = &policer.Policer{
		Self:         s.Listen.Links.Addr(),
		Region:       s.Region,
		List:         n.syncer.List,
		Organisation: n.organisation,
		Borrow:       n.linker.Borrow,
		LastHeard:    n.linker.LastReceived,
		IsUnreachable: func(a netip.Addr) bool {
			_, unresponsive := n.linker.PeerState(a)
			return unresponsive
		},
		IsDown:        n.linker.IsDown,
		Probe:         n.requestBeat,
		RegionSilence: n.readers.regionSilence,
		Overshoot:     s.Rates.Overshoot,
		Slack:         s.Rates.Slack,
		Window:        time.Duration(s.Rates.Window),
	}
	n.buildProxier(retryBudget)
	n.acceptor = &acceptor.Acceptor{
		Limits:        n.limits,
		Serve:         n.proxier.Serve,
		ErrorResponse: proxier.ErrorResponse,
		Memory:        n.memory,
		IsRefusedLast: n.proxier.IsRefusedLast,
		MaxConns:      maxCallers(s.Limits.MemoryMB, descriptorLimit()),
		Log:           n.Log,
	}
	n.registerMetrics()
}

// requestMemory returns the memory for requests and their responses, in bytes.
func requestMemory(memoryMB int) int {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	return int(requestMemoryRatio * float64(memoryMB) * (1 << 20))
}

// maxCallers returns the greatest number of callers' connections for a limit on
// descriptors.
func maxCallers(memoryMB int, descriptors uint64) int {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	byMemory := uint64(callersMemoryRatio * float64(memoryMB) * (1 << 20) / callerBytes)
	return int(min(byMemory, descriptors/callersDescriptorsDivisor))
}

// descriptorLimit returns the limit on open descriptors of the process.
func descriptorLimit() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < minDescriptors {
		return minDescriptors
	}
	return limit.Cur
}

func (n *Node) buildProxier(retryBudget *retrylimiter.Limiter) {
	s := n.Settings
	n.proxier = &proxier.Proxier{
		Names:       n.Names,
		Self:        s.Listen.Links.Addr(),
		LocalPool:   n.callerPool,
		Resolver:    n.servingResolver,
		AwaitStart:  n.awaitJoin,
		List:        n.syncer.List,
		Picker:      n.picker,
		Budget:      retryBudget,
		RateLimiter: n.policer,
		Linker:      n.linker,
		Local:       n.invoker,
		Notices:     n.notices,
		Quarantine:  n.quarantine,
		Throttler:   &throttler.Throttler{NewestPoolOnly: s.Overload.SharedPools == never},
		Correlator:  n.correlator,
		Appraiser:   n.appraiser,
		Ranker:      n.ranker,
		Inheritor:   n.inheritor,
		RanksCalls:  s.Overload.CallRanks != never,
		Forecaster:  n.forecaster,
		Postponer:   &postponer.Postponer{Disabled: s.Overload.Postponement == never},
		Returner:    &returner.Returner{Disabled: s.Overload.RateReturns == never},
		StateAge:    n.syncer.StateAge,
		Log:         n.Log,
		Metrics:     n.metrics,
	}
}
