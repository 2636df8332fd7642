package linker

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/catcher"
	"apricotrudder.dev/apricotd/internal/process/reserver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// maxQueuedFrames bounds the send queue of a link.
	maxQueuedFrames = 512
	// maxFrameBytes bounds one frame. It allows for the largest body and its
	// header fields.
	maxFrameBytes = 80 << 20
	ioBufferBytes = 8 << 10
	// frameLengthBytes is the size of the length before each frame.
	frameLengthBytes = 4
	// maxKeptBytes bounds the buffer for encoded frames that an idle link keeps.
	maxKeptBytes = 4 << 10
	// writeTimeout bounds how long a write may block on a peer that does not read.
	writeTimeout = 3 * time.Second
	// A frame that has begun to arrive must be complete after frameTimeout and the
	// time for its length at minFrameRate, in bytes per second.
	frameTimeout = 10 * time.Second
	minFrameRate = 64 << 10
)

// Values of pending.sendState.
const (
	queued int32 = iota
	written
	dropped
)

type (
	// A Link is one connection to a peer.
	Link struct {
		Peer netip.Addr

		linker       *Linker
		nc           net.Conn
		queue        chan outgoing
		done         chan struct{}
		lastReceived atomic.Int64 // arrival of the last frame, in nanoseconds since start
		serving      atomic.Int64 // requests of the peer whose results have not been written
		start        time.Time

		mu              sync.Mutex
		nextID          uint64
		waiting         map[uint64]*pending
		running         map[uint64]context.CancelFunc
		beatRequestedAt time.Time // when a heartbeat was last requested
		retired         bool      // carries only replies to exchanges that must not be repeated
		closed          bool
	}

	// A pending is an exchange that waits for its reply.
	pending struct {
		sendState atomic.Int32  // of the frame that begins the exchange
		since     time.Time     // when the exchange began
		patient   bool          // wait for a silent peer, because the request must not be repeated
		tab       *reserver.Tab // of the request; nil if it has none
		result    chan *linkwire.Frame
		failed    chan error
	}

	outgoing struct {
		frame   *linkwire.Frame
		pending *pending       // set only on the frame that begins an exchange
		keep    *reserver.Keep // ended after the frame was written or dropped; may be nil
		served  bool           // the frame is the result of a request that was served
	}
)

// ReasonInternal is the reason of the result of a request whose handling failed
// because of an error in the node's code. The request may have run.
const ReasonInternal = "internal"

// ReasonNoMemory is the reason of the result of a request for which no memory was left
// at the peer, and which it has not run.
const ReasonNoMemory = "noMemory"

// errInternal closes a link whose frame could not be handled.
var errInternal = errors.New("internal error")

// ErrLost is the error of exchanges that were pending when their link closed.
var ErrLost = errors.New("link to peer was lost")

// ErrNoMemory is the error of an exchange for whose result no memory was left.
var ErrNoMemory = errors.New("no memory is left for the result")

// errUnresponsive closes a link whose peer sends nothing while exchanges wait.
var errUnresponsive = errors.New("peer is unresponsive")

// startLink runs the protocol on a new connection and announces this node's state.
func (l *Linker) startLink(nc net.Conn) *Link {
	link := &Link{
		linker:  l,
		nc:      nc,
		queue:   make(chan outgoing, maxQueuedFrames),
		done:    make(chan struct{}),
		start:   time.Now(),
		waiting: make(map[uint64]*pending),
		running: make(map[uint64]context.CancelFunc),
	}
	if a, err := netip.ParseAddrPort(nc.RemoteAddr().String()); err == nil {
		link.Peer = a.Addr().Unmap()
	}
	l.mu.Lock()
	l.links[link.Peer] = append(l.links[link.Peer], link)
	l.mu.Unlock()
	go link.write()
	go link.read()
	link.Send(&linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: l.Beat()}})
	return link
}

// Send queues a frame without waiting. The frame is dropped if the send queue is
// full.
func (l *Link) Send(frame *linkwire.Frame) {
	l.enqueue(outgoing{frame: frame})
}

func (l *Link) enqueue(o outgoing) bool {
	select {
	case l.queue <- o:
		return true
	default:
		return false
	}
}

// exchange sends a frame and waits for the reply. If ctx is done first, it sends
// a Cancel frame.
func (l *Link) exchange(ctx context.Context, frame *linkwire.Frame) (*linkwire.Frame, error) {
	run := frame.GetRun()
	p := &pending{
		since:   time.Now(),
		patient: run != nil && !run.Idempotent,
		tab:     reserver.FromContext(ctx),
		result:  make(chan *linkwire.Frame, 1),
		failed:  make(chan error, 1),
	}
	id, ok := l.addPending(p)
	if !ok {
		return nil, &UnsentError{Err: ErrLost}
	}
	defer l.removePending(id)
	frame.Exchange = id
	keep := p.tab.Keep()
	if !l.enqueue(outgoing{frame: frame, pending: p, keep: keep}) {
		keep.End()
		return nil, &UnsentError{Err: errors.New("send queue is full")}
	}
	if l.IsClosed() {
		keep.End()
	}
	select {
	case result := <-p.result:
		return result, nil
	case err := <-p.failed:
		var unsent *UnsentError
		if errors.As(err, &unsent) {
			return nil, unsent
		}
		return nil, p.abandon(err)
	case <-ctx.Done():
		err := p.abandon(ctx.Err())
		l.enqueue(outgoing{frame: &linkwire.Frame{Exchange: id, Kind: &linkwire.Frame_Cancel{Cancel: &linkwire.Cancel{}}}})
		return nil, err
	}
}

// abandon drops the request if it is still queued. It wraps err in an UnsentError
// if the request was dropped, otherwise in an error that names the wait for the
// peer, because the request may have been received.
func (p *pending) abandon(err error) error {
	if p.drop() {
		return &UnsentError{Err: err}
	}
	return fmt.Errorf("wait for peer: %w", err)
}

// drop keeps a request that is still queued from being written. It reports whether the
// request will not be written, also if it has been dropped before.
func (p *pending) drop() bool {
	return p.sendState.CompareAndSwap(queued, dropped) || p.sendState.Load() == dropped
}

// fail ends the exchange with err, unless it has failed already.
func (p *pending) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// addPending registers an exchange and returns its id, or false if the link is
// closed.
func (l *Link) addPending(p *pending) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.retired {
		return 0, false
	}
	l.nextID++
	l.waiting[l.nextID] = p
	return l.nextID, true
}

func (l *Link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// write sends queued frames until the link closes. It flushes when the queue is
// empty.
func (l *Link) write() {
	defer l.dropQueue()
	bw := bufio.NewWriterSize(l.nc, ioBufferBytes)
	var buffer []byte
	var buffered int64 // results since the last flush
	for {
		select {
		case <-l.done:
			return
		case o := <-l.queue:
			_ = l.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			var err error
			buffer, err = l.writeFrame(bw, buffer, o)
			if o.served {
				buffered++
			}
			o.keep.End()
			if err == nil && len(l.queue) == 0 {
				err = bw.Flush()
				l.serving.Add(-buffered)
				buffered = 0
			}
			if err != nil {
				l.close(err)
				return
			}
		}
	}
}

// writeFrame encodes a frame, preceded by its length, into buffer and writes it,
// unless its exchange was abandoned. A request that cannot be encoded fails only its
// own exchange. It returns the buffer for reuse.
func (l *Link) writeFrame(bw *bufio.Writer, buffer []byte, o outgoing) ([]byte, error) {
	if o.pending != nil && !o.pending.sendState.CompareAndSwap(queued, written) {
		return buffer, nil
	}
	buffer, body, err := encode(append(buffer[:0], make([]byte, frameLengthBytes)...), o.frame)
	if err != nil {
		err = fmt.Errorf("encode frame: %w", err)
		if o.pending == nil {
			return nil, err
		}
		l.linker.Log.WithError(err).WithField("peer", l.Peer).Error("request to peer dropped")
		o.pending.fail(&UnsentError{Err: err})
		return nil, nil
	}
	size := len(buffer) + len(body)
	binary.BigEndian.PutUint32(buffer, uint32(size-frameLengthBytes))
	for _, part := range [][]byte{buffer, body} {
		if _, err := bw.Write(part); err != nil {
			return buffer, fmt.Errorf("write frame: %w", err)
		}
	}
	if l.linker.Sent != nil {
		l.linker.Sent(l.Peer, o.frame, size)
	}
	if cap(buffer) > maxKeptBytes {
		buffer = nil
	}
	return buffer, nil
}

func (l *Link) read() {
	defer catcher.Catch(l.linker.Log, "receive frame", func() { l.close(errInternal) })
	br := bufio.NewReaderSize(l.nc, ioBufferBytes)
	for l.receive(br) {
	}
}

// receive reads and handles one frame. It returns false if the link has closed.
func (l *Link) receive(br *bufio.Reader) bool {
	tab := l.linker.Memory.Open(nil)
	frame, err := l.readFrame(br, tab)
	if frame == nil && err == nil {
		tab.Close()
		return true
	}
	if err == nil {
		l.lastReceived.Store(int64(time.Since(l.start)))
		err = check(frame)
	}
	if err != nil {
		tab.Close()
		l.close(err)
		return false
	}
	if !reserveOverhead(frame, tab) {
		tab.Close()
		return l.dropFrame(frame.Exchange, kindOf(frame))
	}
	l.dispatch(frame, tab)
	return true
}

// readFrame reads one frame, which it puts on the tab. It returns none if there was no
// memory for the frame and only its exchange has failed.
func (l *Link) readFrame(br *bufio.Reader, tab *reserver.Tab) (*linkwire.Frame, error) {
	if _, err := br.Peek(1); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	if !isFrameBuffered(br) {
		_ = l.nc.SetReadDeadline(time.Now().Add(frameTimeout))
		defer func() { _ = l.nc.SetReadDeadline(time.Time{}) }()
	}
	var size [frameLengthBytes]byte
	if _, err := io.ReadFull(br, size[:]); err != nil {
		return nil, fmt.Errorf("read length of frame: %w", err)
	}
	n := int64(binary.BigEndian.Uint32(size[:]))
	if n > maxFrameBytes {
		return nil, errors.Errorf("read frame: got %d bytes, want at most %d", n, maxFrameBytes)
	}
	if int64(br.Buffered()) < n {
		_ = l.nc.SetReadDeadline(time.Now().Add(frameTimeout + time.Duration(n)*time.Second/minFrameRate))
	}
	start, err := br.Peek(int(min(n, frameStartBytes)))
	if err != nil {
		return nil, fmt.Errorf("read frame of %d bytes: %w", n, err)
	}
	exchange, kind := parseStart(start)
	frame, err := l.receiveFrame(br, n, kind, tab)
	if errors.Is(err, parser.ErrNoMemory) && l.dropFrame(exchange, kind) {
		l.lastReceived.Store(int64(time.Since(l.start)))
		return nil, nil
	}
	return frame, err
}

// isFrameBuffered reports whether a complete frame is in the buffer.
func isFrameBuffered(br *bufio.Reader) bool {
	if br.Buffered() < frameLengthBytes {
		return false
	}
	size, err := br.Peek(frameLengthBytes)
	return err == nil && int64(br.Buffered()-frameLengthBytes) >= int64(binary.BigEndian.Uint32(size))
}

// dispatch handles a received frame that is on the tab.
func (l *Link) dispatch(frame *linkwire.Frame, tab *reserver.Tab) {
	if run := frame.GetRun(); run != nil {
		l.serve(frame.Exchange, run, tab)
		return
	}
	defer tab.Close()
	switch kind := frame.Kind.(type) {
	case nil:
	case *linkwire.Frame_Cancel:
		l.mu.Lock()
		cancel := l.running[frame.Exchange]
		l.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case *linkwire.Frame_Result, *linkwire.Frame_Grant:
		l.mu.Lock()
		p := l.waiting[frame.Exchange]
		delete(l.waiting, frame.Exchange)
		l.mu.Unlock()
		if p != nil {
			p.tab.Take(tab)
			p.result <- frame
		}
	case *linkwire.Frame_Borrow:
		grant := l.linker.GrantTokens(kind.Borrow)
		l.Send(&linkwire.Frame{Exchange: frame.Exchange, Kind: &linkwire.Frame_Grant{Grant: grant}})
	default:
		l.linker.Receive(l, frame)
	}
}

// serve runs a peer's request in its own goroutine and sends the result.
func (l *Link) serve(id uint64, run *linkwire.Run, tab *reserver.Tab) {
	ctx, cancel := context.WithCancel(reserver.NewContext(l.linker.ctx, tab))
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		cancel()
		tab.Close()
		return
	}
	l.running[id] = cancel
	l.serving.Add(1)
	l.mu.Unlock()
	go func() {
		defer tab.Close()
		defer cancel()
		result := l.runServe(ctx, run)
		l.mu.Lock()
		delete(l.running, id)
		l.mu.Unlock()
		l.sendResult(&linkwire.Frame{Exchange: id, Kind: &linkwire.Frame_Result{Result: result}}, tab)
	}()
}

// runServe calls Serve. After a panic the request may have run.
func (l *Link) runServe(ctx context.Context, run *linkwire.Run) (result *linkwire.Result) {
	defer catcher.Catch(l.linker.Log, "serve request of peer", func() {
		result = &linkwire.Result{Outcome: &linkwire.Result_Refusal{Refusal: &linkwire.Refusal{
			Reason:  ReasonInternal,
			Arrived: true,
			Detail:  "the node of the backend server failed",
		}}}
	})
	return l.linker.Serve(ctx, run)
}

// sendResult waits for space in the send queue, so that results are not dropped
// while the link is open. The tab is kept until the frame has been written.
func (l *Link) sendResult(frame *linkwire.Frame, tab *reserver.Tab) {
	keep := tab.Keep()
	select {
	case l.queue <- outgoing{frame: frame, keep: keep, served: true}:
	case <-l.done:
	}
	if l.IsClosed() {
		keep.End()
	}
}

// dropQueue ends what the frames keep that are left in the queue of a closed link.
func (l *Link) dropQueue() {
	for {
		select {
		case o := <-l.queue:
			o.keep.End()
		default:
			return
		}
	}
}

// lastFrameAt returns when the last frame arrived or, if none has, when the link was
// opened.
func (l *Link) lastFrameAt() time.Time { return l.start.Add(time.Duration(l.lastReceived.Load())) }

// silence returns for how long the peer has sent nothing while an exchange has
// been pending; zero if none is.
func (l *Link) silence(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenceLocked(now)
}

// silenceLocked is silence with l.mu held.
func (l *Link) silenceLocked(now time.Time) time.Duration {
	if len(l.waiting) == 0 {
		return 0
	}
	var oldest time.Time
	for _, p := range l.waiting {
		if oldest.IsZero() || p.since.Before(oldest) {
			oldest = p.since
		}
	}
	since := l.lastFrameAt()
	if oldest.After(since) {
		since = oldest
	}
	return now.Sub(since)
}

// checkSilence requests a heartbeat from a silent peer. If the silence exceeds
// silenceTimeout, it retires the link, and closes it if nothing is left to wait for.
func (l *Link) checkSilence(now time.Time) {
	l.mu.Lock()
	silence := l.silenceLocked(now)
	if silence > silenceTimeout && !l.retired {
		impatient, isDone := l.retire()
		l.mu.Unlock()
		l.giveUp(impatient, isDone, fmt.Errorf("no frame received for %v: %w", silence.Round(time.Millisecond), errUnresponsive))
		return
	}
	if l.retired {
		isDone := len(l.waiting) == 0
		l.mu.Unlock()
		if isDone {
			l.close(errUnresponsive)
		}
		return
	}
	requestBeat := silence > beatRequestAfter && now.Sub(l.beatRequestedAt) > beatRequestAfter
	if requestBeat {
		l.beatRequestedAt = now
	}
	l.mu.Unlock()
	if requestBeat {
		beat := l.linker.Beat()
		beat.Reply = true
		l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}})
	}
}

// giveUp ends the exchanges of a link that has been retired because of err and need not
// wait for the peer. If they are all, it closes the link.
func (l *Link) giveUp(impatient map[uint64]*pending, isDone bool, err error) {
	if isDone {
		// A reset discards unsent data, so that the peer does not run requests
		// that this node has already given up.
		if tcp, ok := l.nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		l.close(err)
		return
	}
	l.linker.peer(l.Peer).linkRetired(l)
	for id, p := range impatient {
		p.fail(fmt.Errorf("%w: %w", ErrLost, err))
		l.enqueue(outgoing{frame: &linkwire.Frame{Exchange: id, Kind: &linkwire.Frame_Cancel{Cancel: &linkwire.Cancel{}}}})
	}
	l.linker.Log.WithField("peer", l.Peer).WithField("failed", len(impatient)).WithError(err).Info("link retired")
}

// retire makes the link accept no further exchanges, drops requests that are still
// queued, and returns the exchanges that need not wait for the peer. The others wait for
// their replies until their deadlines, since their requests may be running. If there are
// none, isDone is true and the link may be closed. l.mu must be held.
func (l *Link) retire() (impatient map[uint64]*pending, isDone bool) {
	l.retired = true
	impatient = make(map[uint64]*pending)
	for id, p := range l.waiting {
		if p.drop() || !p.patient {
			impatient[id] = p
		}
	}
	if len(impatient) == len(l.waiting) {
		return impatient, true
	}
	for id := range impatient {
		delete(l.waiting, id)
	}
	return impatient, false
}

// isRetired reports whether the link accepts no further exchanges.
func (l *Link) isRetired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retired
}

// IsClosed reports whether the link has closed.
func (l *Link) IsClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// close closes the link because of err, fails pending exchanges and cancels the
// requests that run for the peer.
func (l *Link) close(err error) {
	if waiting, closed := l.shut(err); closed {
		l.linker.Log.WithField("peer", l.Peer).WithField("waiting", waiting).WithError(err).Info("link closed")
	}
}

// shut is close without a log line. It returns how many exchanges were pending, and
// whether the link was open.
func (l *Link) shut(err error) (pending int, closed bool) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return 0, false
	}
	l.closed = true
	waiting, running := l.waiting, l.running
	l.waiting, l.running = nil, nil
	l.mu.Unlock()
	close(l.done)
	_ = l.nc.Close()
	l.linker.peer(l.Peer).linkClosed(l, err)
	l.linker.removeLink(l)
	for _, p := range waiting {
		p.fail(fmt.Errorf("%w: %w", ErrLost, err))
	}
	for _, cancel := range running {
		cancel()
	}
	return len(waiting), true
}
