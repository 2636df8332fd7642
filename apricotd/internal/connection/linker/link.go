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
	"google.golang.org/protobuf/proto"

	"apricotrudder.dev/wire/linkwire"
)

const (
	// queueDepth bounds the frames that wait to be written to one peer.
	queueDepth = 512
	// frameBytes bounds one frame: the largest body and its fields.
	frameBytes  = 80 << 20
	bufferBytes = 8 << 10
	// writeTimeout bounds how long a peer may stop reading.
	writeTimeout = 3 * time.Second
)

// Progress of an exchange.
const (
	queued int32 = iota
	written
	dropped
)

type (
	// A Link is one connection to a peer.
	Link struct {
		Peer netip.Addr

		linker *Linker
		nc     net.Conn
		queue  chan outgoing
		done   chan struct{}
		heard  atomic.Int64 // when the last frame arrived, in nanoseconds since start
		start  time.Time

		mu      sync.Mutex
		nextID  uint64
		waiting map[uint64]*pending
		running map[uint64]context.CancelFunc
		asked   time.Time // when the peer was last asked for a beat
		closed  bool
	}

	// A pending exchange waits for its result.
	pending struct {
		progress atomic.Int32
		since    time.Time
		result   chan *linkwire.Frame
		failed   chan error
	}

	outgoing struct {
		frame   *linkwire.Frame
		pending *pending // set on the frame that begins an exchange
	}
)

// ErrLost reports a link that ended while an exchange waited on it.
var ErrLost = errors.New("link to peer was lost")

// errSilent reports a peer that gave no sign of life.
var errSilent = errors.New("peer gives no sign of life")

func (l *Linker) start(nc net.Conn) *Link {
	link := &Link{
		linker:  l,
		nc:      nc,
		queue:   make(chan outgoing, queueDepth),
		done:    make(chan struct{}),
		start:   time.Now(),
		waiting: make(map[uint64]*pending),
		running: make(map[uint64]context.CancelFunc),
	}
	if a, err := netip.ParseAddrPort(nc.RemoteAddr().String()); err == nil {
		link.Peer = a.Addr().Unmap()
	}
	l.mu.Lock()
	l.links[link] = struct{}{}
	l.mu.Unlock()
	go link.write()
	go link.read()
	link.Send(&linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: l.Beat()}})
	return link
}

// Send queues a frame that belongs to no exchange. It is dropped if the peer
// does not keep up.
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

// exchange sends a frame and waits for the one that answers it.
func (l *Link) exchange(ctx context.Context, frame *linkwire.Frame) (*linkwire.Frame, error) {
	p := &pending{since: time.Now(), result: make(chan *linkwire.Frame, 1), failed: make(chan error, 1)}
	id, ok := l.add(p)
	if !ok {
		return nil, &UnsentError{Err: ErrLost}
	}
	defer l.forget(id)
	frame.Exchange = id
	if !l.enqueue(outgoing{frame: frame, pending: p}) {
		return nil, &UnsentError{Err: errors.New("too many frames wait for the peer")}
	}
	select {
	case result := <-p.result:
		return result, nil
	case err := <-p.failed:
		return nil, p.failure(err)
	case <-ctx.Done():
		err := p.failure(ctx.Err())
		l.enqueue(outgoing{frame: &linkwire.Frame{Exchange: id, Kind: &linkwire.Frame_Cancel{Cancel: &linkwire.Cancel{}}}})
		return nil, err
	}
}

// failure drops the request if it is still in the queue, and tells whether it
// was sent.
func (p *pending) failure(err error) error {
	if p.progress.CompareAndSwap(queued, dropped) {
		return &UnsentError{Err: err}
	}
	return fmt.Errorf("wait for peer: %w", err)
}

func (l *Link) add(p *pending) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, false
	}
	l.nextID++
	l.waiting[l.nextID] = p
	return l.nextID, true
}

func (l *Link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

func (l *Link) write() {
	bw := bufio.NewWriterSize(l.nc, bufferBytes)
	var buffer []byte
	for {
		select {
		case <-l.done:
			return
		case o := <-l.queue:
			_ = l.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			var err error
			if buffer, err = l.writeFrame(bw, buffer, o); err == nil && len(l.queue) == 0 {
				err = bw.Flush()
			}
			if err != nil {
				l.close(err)
				return
			}
		}
	}
}

func (l *Link) writeFrame(bw *bufio.Writer, buffer []byte, o outgoing) ([]byte, error) {
	if o.pending != nil && !o.pending.progress.CompareAndSwap(queued, written) {
		return buffer, nil
	}
	buffer, err := proto.MarshalOptions{}.MarshalAppend(append(buffer[:0], 0, 0, 0, 0), o.frame)
	if err != nil {
		return buffer, fmt.Errorf("encode frame: %w", err)
	}
	binary.BigEndian.PutUint32(buffer, uint32(len(buffer)-4))
	if _, err := bw.Write(buffer); err != nil {
		return buffer, fmt.Errorf("write frame: %w", err)
	}
	if cap(buffer) > 1<<20 {
		buffer = nil
	}
	return buffer, nil
}

func (l *Link) read() {
	br := bufio.NewReaderSize(l.nc, bufferBytes)
	for {
		frame, err := readFrame(br)
		if err != nil {
			l.close(err)
			return
		}
		l.heard.Store(int64(time.Since(l.start)))
		l.take(frame)
	}
}

func readFrame(br *bufio.Reader) (*linkwire.Frame, error) {
	var size [4]byte
	if _, err := io.ReadFull(br, size[:]); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > frameBytes {
		return nil, errors.Errorf("read frame: got %d bytes, want at most %d", n, frameBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(br, data); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	frame := &linkwire.Frame{}
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return frame, nil
}

func (l *Link) take(frame *linkwire.Frame) {
	switch kind := frame.Kind.(type) {
	case *linkwire.Frame_Run:
		l.serve(frame.Exchange, kind.Run)
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
			p.result <- frame
		}
	case *linkwire.Frame_Borrow:
		grant := l.linker.Lend(kind.Borrow)
		l.Send(&linkwire.Frame{Exchange: frame.Exchange, Kind: &linkwire.Frame_Grant{Grant: grant}})
	default:
		l.linker.Receive(l, frame)
	}
}

func (l *Link) serve(id uint64, run *linkwire.Run) {
	ctx, cancel := context.WithCancel(l.linker.ctx)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		cancel()
		return
	}
	l.running[id] = cancel
	l.mu.Unlock()
	go func() {
		defer cancel()
		result := l.linker.Serve(ctx, run)
		l.mu.Lock()
		delete(l.running, id)
		l.mu.Unlock()
		l.answer(&linkwire.Frame{Exchange: id, Kind: &linkwire.Frame_Result{Result: result}})
	}()
}

// answer waits for room in the queue: an answer that is ready is not dropped
// for as long as the link lives.
func (l *Link) answer(frame *linkwire.Frame) {
	select {
	case l.queue <- outgoing{frame: frame}:
	case <-l.done:
	}
}

// silence returns for how long the peer has sent nothing although an exchange
// waits for it.
func (l *Link) silence(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenceLocked(now)
}

func (l *Link) silenceLocked(now time.Time) time.Duration {
	var oldest time.Time
	for _, p := range l.waiting {
		if oldest.IsZero() || p.since.Before(oldest) {
			oldest = p.since
		}
	}
	if oldest.IsZero() {
		return 0
	}
	heard := l.start.Add(time.Duration(l.heard.Load()))
	if oldest.After(heard) {
		heard = oldest
	}
	return now.Sub(heard)
}

func (l *Link) check(now time.Time) {
	l.mu.Lock()
	silence := l.silenceLocked(now)
	ask := silence > silenceAsk && now.Sub(l.asked) > silenceAsk
	if ask {
		l.asked = now
	}
	l.mu.Unlock()
	switch {
	case silence > silenceLost:
		// A reset keeps what still lies on the way from being run later.
		if tcp, ok := l.nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		l.close(fmt.Errorf("wait %v for an answer: %w", silence.Round(time.Millisecond), errSilent))
	case ask:
		beat := l.linker.Beat()
		beat.Reply = true
		l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}})
	}
}

// IsClosed tells whether the link has ended.
func (l *Link) IsClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *Link) close(err error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	waiting, running := l.waiting, l.running
	l.waiting, l.running = nil, nil
	l.mu.Unlock()
	close(l.done)
	_ = l.nc.Close()
	l.linker.peer(l.Peer).forget(l, err)
	l.linker.mu.Lock()
	delete(l.linker.links, l)
	l.linker.mu.Unlock()
	for _, p := range waiting {
		p.failed <- fmt.Errorf("%w: %w", ErrLost, err)
	}
	for _, cancel := range running {
		cancel()
	}
	l.linker.Log.WithField("peer", l.Peer).WithField("waiting", len(waiting)).WithError(err).Info("link closed")
}
