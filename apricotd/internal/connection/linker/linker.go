// Package linker carries exchanges between nodes over links, which are TCP
// connections with many exchanges each.
//
// It guarantees that an exchange whose context ends is cancelled at the peer,
// that an UnsentError means that the peer never got the request, and that no
// peer can block another: each link has its own queues and goroutines. A link
// that stays silent although it is asked is closed, so that what waits on it
// can be decided.
//
// # Usage
//
//	l := &linker.Linker{Port: 7000, Serve: serve, Beat: beat, Receive: receive, Log: log}
//	l.Start(ctx)
//	go l.Run(ctx, listener)
//	result, err := l.Exchange(ctx, peer, run)
//	l.Announce(nil)
//
// A link costs two goroutines at each end and its buffers. An idle link sends
// nothing; the operating system's keep-alive probes find a peer that has gone.
package linker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"apricotrudder.dev/wire/linkwire"
)

const (
	// connectTimeout bounds one attempt to reach a peer.
	connectTimeout = 2 * time.Second
	// connectPatience is how long an exchange waits for its link to open.
	connectPatience = 400 * time.Millisecond
	// connectBackoff is the pause after a failed attempt.
	connectBackoff = 200 * time.Millisecond
	// checkInterval is how often links with waiting exchanges are checked.
	checkInterval = 100 * time.Millisecond
	// silenceAsk is the silence after which a peer is asked for a beat.
	silenceAsk = 300 * time.Millisecond
	// silenceLost is the silence after which a link is given up. Three losses
	// of one packet in a row fit into it.
	silenceLost = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find dead peers on idle links.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout bounds how long sent bytes may lack an acknowledgement.
	userTimeout = 3 * time.Second
)

type (
	// An UnsentError reports a peer that certainly did not get a request.
	UnsentError struct{ Err error }

	// A Linker holds the links of one node. Its exported fields must be set
	// before Run.
	Linker struct {
		// Port is where every node listens for links.
		Port uint16
		// Serve runs a peer's request; the context ends when the peer cancels
		// it or its link ends.
		Serve func(ctx context.Context, run *linkwire.Run) *linkwire.Result
		// Lend answers a peer that asks for tokens; it must not block.
		Lend func(b *linkwire.Borrow) *linkwire.Grant
		// Beat returns the state that this node announces.
		Beat func() *linkwire.Beat
		// Receive takes the frames that belong to no exchange.
		Receive func(l *Link, frame *linkwire.Frame)
		// Dial opens connections; nil means TCP.
		Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
		Log  logrus.FieldLogger

		ctx   context.Context
		mu    sync.Mutex
		peers map[netip.Addr]*peer
		links map[*Link]struct{}
	}

	// A peer is a node to which this node opens links.
	peer struct {
		linker  *Linker
		address netip.Addr

		mu       sync.Mutex
		link     *Link
		opening  chan struct{} // closed when the attempt under way has ended
		err      error         // of the last attempt
		failedAt time.Time
		silent   bool // the last link or attempt ended without any answer
	}
)

// Error returns the cause.
func (e *UnsentError) Error() string { return "request not sent to peer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Start prepares the linker; links end with the context.
func (l *Linker) Start(ctx context.Context) {
	l.ctx = ctx
	l.peers = make(map[netip.Addr]*peer)
	l.links = make(map[*Link]struct{})
	if l.Dial == nil {
		l.Dial = dialTCP
	}
	go l.check()
	context.AfterFunc(ctx, l.closeAll)
}

// Run accepts links until the context ends or the listener fails.
func (l *Linker) Run(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		nc, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("accept link: %w", err)
			}
			l.Log.WithError(err).Warn("link not accepted")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		tune(nc)
		l.start(nc)
	}
}

// Exchange has a peer run a request. The error is an *UnsentError if the peer
// certainly did not get it.
func (l *Linker) Exchange(ctx context.Context, address netip.Addr, run *linkwire.Run) (*linkwire.Result, error) {
	frame, err := l.exchange(ctx, address, &linkwire.Frame{Kind: &linkwire.Frame_Run{Run: run}})
	if err != nil {
		return nil, err
	}
	return frame.GetResult(), nil
}

// Borrow asks a peer for tokens.
func (l *Linker) Borrow(ctx context.Context, address netip.Addr, b *linkwire.Borrow) (*linkwire.Grant, error) {
	frame, err := l.exchange(ctx, address, &linkwire.Frame{Kind: &linkwire.Frame_Borrow{Borrow: b}})
	if err != nil {
		return nil, err
	}
	return frame.GetGrant(), nil
}

// SendTo sends a frame that belongs to no exchange. If the peer has no link, one
// is opened in the background; the frame is lost if that fails.
func (l *Linker) SendTo(address netip.Addr, frame *linkwire.Frame) {
	if link := l.onePerPeer()[address]; link != nil {
		link.Send(frame)
		return
	}
	go func() {
		link, err := l.peer(address).open(l.ctx)
		if err != nil {
			l.Log.WithError(err).WithField("peer", address).Debug("frame not sent")
			return
		}
		link.Send(frame)
	}()
}

func (l *Linker) exchange(ctx context.Context, address netip.Addr, frame *linkwire.Frame) (*linkwire.Frame, error) {
	link, err := l.peer(address).open(ctx)
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	return link.exchange(ctx, frame)
}

// Silence returns for how long a peer has left an exchange without any sign of
// life; zero if nothing waits for it.
func (l *Linker) Silence(address netip.Addr) time.Duration {
	l.mu.Lock()
	p := l.peers[address]
	l.mu.Unlock()
	if p == nil {
		return 0
	}
	p.mu.Lock()
	link := p.link
	p.mu.Unlock()
	if link == nil {
		return 0
	}
	return link.silence(time.Now())
}

// Heard returns when a peer last sent anything on a link that is open.
func (l *Linker) Heard(address netip.Addr) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for link := range l.links {
		if at := link.start.Add(time.Duration(link.heard.Load())); link.Peer == address && at.After(last) {
			last = at
		}
	}
	return last
}

// State tells whether a peer has a link, and else whether it has left the last
// attempt to reach it without any answer, as a node does that is cut off.
func (l *Linker) State(address netip.Addr) (linked, silent bool) {
	p := l.peer(address)
	p.mu.Lock()
	silent = p.silent
	p.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for link := range l.links {
		if link.Peer == address {
			return true, false
		}
	}
	return false, silent
}

// Connect opens a link to a peer in the background, if there is none.
func (l *Linker) Connect(address netip.Addr) {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil && p.opening == nil {
		p.opening = make(chan struct{})
		go p.connect(p.opening)
	}
}

// Announce sends this node's state to each peer that has a link and for which
// accept, unless nil, returns true.
func (l *Linker) Announce(accept func(netip.Addr) bool) {
	beat := l.Beat()
	l.Broadcast(func() *linkwire.Frame {
		return &linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}}
	}, accept)
}

// Broadcast sends a frame to each peer that has a link and for which accept,
// unless nil, returns true.
func (l *Linker) Broadcast(frame func() *linkwire.Frame, accept func(netip.Addr) bool) {
	for _, link := range l.onePerPeer() {
		if accept == nil || accept(link.Peer) {
			link.Send(frame())
		}
	}
}

// Peers returns the number of peers with a link.
func (l *Linker) Peers() int {
	return len(l.onePerPeer())
}

func (l *Linker) onePerPeer() map[netip.Addr]*Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[netip.Addr]*Link, len(l.links))
	for link := range l.links {
		out[link.Peer] = link
	}
	return out
}

func (l *Linker) peer(address netip.Addr) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[address]
	if p == nil {
		p = &peer{linker: l, address: address}
		l.peers[address] = p
	}
	return p
}

// open returns the peer's link and waits a little for one that is opening.
func (p *peer) open(ctx context.Context) (*Link, error) {
	p.mu.Lock()
	if p.link != nil {
		defer p.mu.Unlock()
		return p.link, nil
	}
	if p.opening == nil {
		if time.Since(p.failedAt) < connectBackoff {
			defer p.mu.Unlock()
			return nil, p.err
		}
		p.opening = make(chan struct{})
		go p.connect(p.opening)
	}
	opening := p.opening
	p.mu.Unlock()
	timer := time.NewTimer(connectPatience)
	defer timer.Stop()
	select {
	case <-opening:
	case <-timer.C:
		return nil, errors.New("link is not open yet")
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for link: %w", ctx.Err())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return nil, p.err
	}
	return p.link, nil
}

func (p *peer) connect(done chan struct{}) {
	ctx, cancel := context.WithTimeout(p.linker.ctx, connectTimeout)
	defer cancel()
	nc, err := p.linker.Dial(ctx, netip.AddrPortFrom(p.address, p.linker.Port))
	var link *Link
	if err == nil {
		link = p.linker.start(nc)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.opening = nil
	if err != nil {
		p.err = fmt.Errorf("open link: %w", err)
		p.failedAt = time.Now()
		p.silent = isSilence(err)
		return
	}
	p.silent = false
	if !link.IsClosed() {
		p.link = link
	}
}

// forget drops a link that ended with err, whoever opened it.
func (p *peer) forget(link *Link, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = isSilence(err)
	if p.link == link {
		p.link = nil
		p.err = errors.New("link was lost")
	}
}

func isSilence(err error) bool {
	var ne net.Error
	return errors.Is(err, errSilent) || errors.As(err, &ne) && ne.Timeout() || errors.Is(err, unix.ETIMEDOUT) || errors.Is(err, unix.EHOSTUNREACH)
}

func (l *Linker) closeAll() {
	for _, link := range l.all() {
		link.close(context.Cause(l.ctx))
	}
}

func (l *Linker) all() []*Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := make([]*Link, 0, len(l.links))
	for link := range l.links {
		links = append(links, link)
	}
	return links
}

// check asks silent peers for a beat and gives up those that stay silent.
func (l *Linker) check() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			for _, link := range l.all() {
				link.check(now)
			}
		}
	}
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial %v: %w", address, err)
	}
	tune(nc)
	return nc, nil
}
