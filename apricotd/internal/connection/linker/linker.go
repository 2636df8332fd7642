// Package linker multiplexes request-reply exchanges between nodes over links. A
// link is one TCP connection.
//
// It guarantees that an exchange whose context is done is cancelled at the peer,
// that after an UnsentError the peer has not received the request, and that no
// peer can block another: each link has its own queue and goroutines. A link
// whose peer does not answer a requested heartbeat is closed, so that pending
// exchanges on it fail. Exchanges whose request may be running and must not be
// repeated are the exception: they wait for the peer until their deadline or the
// connection fails.
//
// What a received request or result occupies is on the tab of its request (see package
// reserver), which the contexts of Exchange and Serve carry. A frame for which no
// memory is left is read and dropped, and fails only its own exchange.
//
// # Usage
//
//	l := &linker.Linker{Port: 7000, Serve: serve, Beat: beat, Receive: receive, Log: log}
//	l.Start(ctx)
//	go l.Run(ctx, listener)
//	result, err := l.Exchange(ctx, peer, run)
//	l.Announce(nil)
//
// A link uses two goroutines and its buffers at each end. An idle link sends no
// frames; TCP keep-alive detects a dead peer.
package linker

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"apricotrudder.dev/apricotd/internal/process/repeater"
	"apricotrudder.dev/apricotd/internal/process/reserver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// connectTimeout bounds one connection attempt.
	connectTimeout = 2 * time.Second
	// connectWait bounds how long an exchange waits for a link to open.
	connectWait = 400 * time.Millisecond
	// connectBackoff is the pause after a failed connection attempt.
	connectBackoff = 200 * time.Millisecond
	// checkInterval is the interval between checks for silent peers.
	checkInterval = 100 * time.Millisecond
	// beatRequestAfter is the silence after which a heartbeat is requested from a
	// peer.
	beatRequestAfter = 300 * time.Millisecond
	// silenceTimeout is the silence after which a link is closed. It tolerates
	// three consecutive losses of one packet.
	silenceTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP
	// keep-alive, which detects dead peers on idle links.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout (TCP_USER_TIMEOUT) bounds how long sent data may remain
	// unacknowledged.
	userTimeout = 3 * time.Second
)

type (
	// An UnsentError reports that a peer has not received a request.
	UnsentError struct{ Err error }

	// A Linker manages the links of one node. Its exported fields must be set
	// before Start.
	Linker struct {
		// Port is the port on which every node accepts links.
		Port uint16
		// Local is the address by which the peers know this node, from which it opens
		// links. If it is invalid or unspecified, the system chooses one.
		Local netip.Addr
		// Serve runs a peer's request. The context is cancelled when the peer
		// cancels the request or its link closes.
		Serve func(ctx context.Context, run *linkwire.Run) *linkwire.Result
		// GrantTokens answers a peer's request for tokens. It must not block.
		GrantTokens func(b *linkwire.Borrow) *linkwire.Grant
		// Beat returns a heartbeat with this node's state.
		Beat func() *linkwire.Beat
		// Receive handles frames that belong to no exchange.
		Receive func(l *Link, frame *linkwire.Frame)
		// Sent is called with each frame that has been written and its size on the
		// wire. It must not block. It may be nil.
		Sent func(peer netip.Addr, frame *linkwire.Frame, bytes int)
		// Dial opens a connection from Local. If nil, TCP is used.
		Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
		// Memory is the account of what frames occupy that have been received. If
		// nil, there is no common limit.
		Memory *reserver.Reserver
		Log    logrus.FieldLogger

		ctx   context.Context
		mu    sync.Mutex
		peers map[netip.Addr]*peer
		links map[netip.Addr][]*Link // open links by peer
	}

	// A peer is a node to which this node opens links.
	peer struct {
		linker  *Linker
		address netip.Addr

		mu           sync.Mutex
		link         *Link
		opening      chan struct{} // closed when the current connection attempt ends
		err          error         // from the last attempt or link
		failedAt     time.Time
		unresponsive bool // the last attempt or link failed without a response
	}
)

// errWrongReply is the error of an exchange to which the peer sent a reply of
// another kind.
var errWrongReply = errors.New("peer sent a reply of another kind")

// Error returns the message with its cause.
func (e *UnsentError) Error() string { return "request not sent to peer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Start prepares the linker. All links are closed when ctx is done.
func (l *Linker) Start(ctx context.Context) {
	l.ctx = ctx
	l.peers = make(map[netip.Addr]*peer)
	l.links = make(map[netip.Addr][]*Link)
	if l.Dial == nil {
		l.Dial = l.dialTCP
	}
	go l.checkLinks()
	context.AfterFunc(ctx, l.closeAll)
}

// Run accepts links until ctx is done or the listener is closed.
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
			l.Log.WithError(err).Warn("cannot accept link")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		setSocketOptions(nc)
		l.startLink(nc)
	}
}

// Exchange sends a request to a peer and returns the result. The error is an
// *UnsentError if the peer has not received the request.
func (l *Linker) Exchange(ctx context.Context, address netip.Addr, run *linkwire.Run) (*linkwire.Result, error) {
	frame, err := l.exchange(ctx, address, &linkwire.Frame{Kind: &linkwire.Frame_Run{Run: run}})
	if err != nil {
		return nil, err
	}
	if frame.GetResult() == nil {
		return nil, errWrongReply
	}
	return frame.GetResult(), nil
}

// Borrow requests tokens from a peer.
func (l *Linker) Borrow(ctx context.Context, address netip.Addr, b *linkwire.Borrow) (*linkwire.Grant, error) {
	frame, err := l.exchange(ctx, address, &linkwire.Frame{Kind: &linkwire.Frame_Borrow{Borrow: b}})
	if err != nil {
		return nil, err
	}
	if frame.GetGrant() == nil {
		return nil, errWrongReply
	}
	return frame.GetGrant(), nil
}

// SendFrame sends a frame that belongs to no exchange. If there is no link to the
// peer, it opens one in the background; the frame is lost if that fails.
func (l *Linker) SendFrame(address netip.Addr, frame *linkwire.Frame) {
	if link := l.linkByPeer()[address]; link != nil {
		link.Send(frame)
		return
	}
	go func() {
		link, err := l.peer(address).open(l.ctx)
		if err != nil {
			l.Log.WithError(err).WithField("peer", address).Debug("cannot open link; frame dropped")
			return
		}
		link.Send(frame)
	}()
}

// exchange opens a link if needed, sends a frame and waits for the reply.
func (l *Linker) exchange(ctx context.Context, address netip.Addr, frame *linkwire.Frame) (*linkwire.Frame, error) {
	link, err := l.peer(address).open(ctx)
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	return link.exchange(ctx, frame)
}

// Silence returns for how long a peer has sent nothing while an exchange on the
// link that this node opened has been pending; zero if none is.
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

// LastReceived returns when a frame last arrived from a peer on a link that is
// open.
func (l *Linker) LastReceived(address netip.Addr) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for _, link := range l.links[address] {
		if at := link.lastFrameAt(); at.After(last) {
			last = at
		}
	}
	return last
}

// PeerState reports whether there is a link to a peer and, if not, whether the last
// attempt or link failed without a response, as it does if a node is isolated.
func (l *Linker) PeerState(address netip.Addr) (linked, unresponsive bool) {
	p := l.peer(address)
	p.mu.Lock()
	unresponsive = p.unresponsive
	p.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links[address] {
		if !link.isRetired() {
			return true, false
		}
	}
	return false, unresponsive
}

// IsDown reports whether there is no link to a peer because it has refused or closed
// the last connection.
func (l *Linker) IsDown(address netip.Addr) bool {
	linked, unresponsive := l.PeerState(address)
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !linked && !unresponsive && p.err != nil && p.opening == nil
}

// Connect opens a link to a peer in the background if this node has none open.
func (l *Linker) Connect(address netip.Addr) {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil && p.opening == nil {
		p.opening = make(chan struct{})
		go p.connect(p.opening)
	}
}

// Announce sends a heartbeat with this node's state to each linked peer for which
// accept returns true. A nil accept selects all.
func (l *Linker) Announce(accept func(netip.Addr) bool) {
	beat := l.Beat()
	l.Broadcast(func() *linkwire.Frame {
		return &linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}}
	}, accept)
}

// Broadcast sends a frame to each linked peer for which accept returns true. A nil
// accept selects all.
func (l *Linker) Broadcast(frame func() *linkwire.Frame, accept func(netip.Addr) bool) {
	for _, link := range l.linkByPeer() {
		if accept == nil || accept(link.Peer) {
			link.Send(frame())
		}
	}
}

// LinkedPeers returns the addresses of the linked peers. The one that has sent a frame
// most recently is the first.
func (l *Linker) LinkedPeers() []netip.Addr {
	l.mu.Lock()
	heard := make(map[netip.Addr]time.Time, len(l.links))
	for peer, links := range l.links {
		for _, link := range links {
			if at := link.lastFrameAt(); !link.isRetired() && !at.Before(heard[peer]) {
				heard[peer] = at
			}
		}
	}
	l.mu.Unlock()
	peers := slices.Collect(maps.Keys(heard))
	slices.SortFunc(peers, func(a, b netip.Addr) int { return heard[b].Compare(heard[a]) })
	return peers
}

// ActiveRequests returns the number of requests of peers whose results have not been
// written to their links, which are open.
func (l *Linker) ActiveRequests() int {
	n := 0
	for _, link := range l.allLinks() {
		n += int(link.serving.Load())
	}
	return n
}

// PeerCount returns the number of linked peers.
func (l *Linker) PeerCount() int {
	return len(l.linkByPeer())
}

// linkByPeer returns one link for each linked peer.
func (l *Linker) linkByPeer() map[netip.Addr]*Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[netip.Addr]*Link, len(l.links))
	for peer, links := range l.links {
		for _, link := range links {
			if !link.isRetired() {
				out[peer] = link
			}
		}
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

// open returns the link to the peer. If there is none, it starts a connection
// attempt and waits for it for at most connectWait.
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
	timer := time.NewTimer(connectWait)
	defer timer.Stop()
	select {
	case <-opening:
	case <-timer.C:
		return nil, errors.New("timed out waiting for link to open")
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
		link = p.linker.startLink(nc)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.opening = nil
	if err != nil {
		p.err = fmt.Errorf("open link: %w", err)
		p.failedAt = time.Now()
		p.unresponsive = isUnresponsive(err)
		return
	}
	p.unresponsive = false
	if !link.IsClosed() {
		p.link = link
	}
}

// linkRetired records that the peer does not respond on a link, so that new
// exchanges open another one.
func (p *peer) linkRetired(link *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive = true
	if p.link == link {
		p.link = nil
		p.err = errUnresponsive
	}
}

// linkClosed records that a link closed with err, whichever side opened it.
func (p *peer) linkClosed(link *Link, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive = isUnresponsive(err)
	if p.link == link {
		p.link = nil
		p.err = errors.New("link was lost")
	}
}

// isUnresponsive reports whether err means that the peer did not respond at all, as
// opposed to refusing or closing the connection.
func isUnresponsive(err error) bool {
	var ne net.Error
	return errors.Is(err, errUnresponsive) || errors.As(err, &ne) && ne.Timeout() || errors.Is(err, unix.ETIMEDOUT) || errors.Is(err, unix.EHOSTUNREACH)
}

// closeAll closes all links. It logs one line for all of them, because the lines of
// hundreds of links delay the end of the process or push out others.
func (l *Linker) closeAll() {
	links, waiting := 0, 0
	for _, link := range l.allLinks() {
		if pending, closed := link.shut(context.Cause(l.ctx)); closed {
			links++
			waiting += pending
		}
	}
	l.Log.WithField("links", links).WithField("waiting", waiting).Info("links closed")
}

func (l *Linker) allLinks() []*Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := make([]*Link, 0, len(l.links))
	for _, ofPeer := range l.links {
		links = append(links, ofPeer...)
	}
	return links
}

func (l *Linker) removeLink(link *Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := slices.DeleteFunc(l.links[link.Peer], func(other *Link) bool { return other == link })
	if len(remaining) == 0 {
		delete(l.links, link.Peer)
		return
	}
	l.links[link.Peer] = remaining
}

// checkLinks periodically checks all links for silent peers.
func (l *Linker) checkLinks() {
	repeater.Run(l.ctx, checkInterval, func(now time.Time) {
		for _, link := range l.allLinks() {
			link.checkSilence(now)
		}
	})
}

func (l *Linker) dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	if l.Local.IsValid() && !l.Local.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(l.Local, 0))
	}
	nc, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial %v: %w", address, err)
	}
	setSocketOptions(nc)
	return nc, nil
}
