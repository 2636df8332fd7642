package connector

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// ephemeralPort stands for the port of whoever dials.
const ephemeralPort = 40000

type (
	// A conn is one end of a connection.
	conn struct {
		c             *Connector
		local, remote netip.AddrPort
		in, out       *stream
	}

	// A stream is one direction of a connection.
	stream struct {
		c        *Connector
		from, to netip.Addr

		mu       sync.Mutex
		chunks   []chunk
		ended    bool          // the writer has closed
		broken   bool          // the reader has closed
		deadline time.Time     // of the reader
		wake     chan struct{} // closed at every change
	}

	// A chunk is one piece of data under way.
	chunk struct {
		due  time.Time
		data []byte
	}
)

var _ net.Conn = (*conn)(nil)

func (c *Connector) newPair(from netip.Addr, to netip.AddrPort) (near, far *conn) {
	there := &stream{c: c, from: from, to: to.Addr(), wake: make(chan struct{})}
	back := &stream{c: c, from: to.Addr(), to: from, wake: make(chan struct{})}
	dialer := netip.AddrPortFrom(from, ephemeralPort)
	near = &conn{c: c, local: dialer, remote: to, in: back, out: there}
	far = &conn{c: c, local: to, remote: dialer, in: there, out: back}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[*conn]bool)
	}
	c.conns[near] = true
	c.conns[far] = true
	return near, far
}

// Read implements net.Conn.
func (n *conn) Read(p []byte) (int, error) { return n.in.read(p) }

// Write implements net.Conn. Data waits in the stream, so it never blocks.
func (n *conn) Write(p []byte) (int, error) { return n.out.write(p) }

// Close implements net.Conn.
func (n *conn) Close() error {
	n.c.mu.Lock()
	delete(n.c.conns, n)
	n.c.mu.Unlock()
	n.out.end()
	n.in.stop()
	return nil
}

// LocalAddr implements net.Conn.
func (n *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(n.local) }

// RemoteAddr implements net.Conn.
func (n *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(n.remote) }

// SetDeadline implements net.Conn. Writes never block and need no deadline.
func (n *conn) SetDeadline(t time.Time) error { return n.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (n *conn) SetReadDeadline(t time.Time) error {
	n.in.mu.Lock()
	defer n.in.mu.Unlock()
	n.in.deadline = t
	n.in.signal()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (n *conn) SetWriteDeadline(time.Time) error { return nil }

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.broken {
		return 0, net.ErrClosed
	}
	if s.from != s.to {
		s.c.bytes.Add(int64(len(p)))
	}
	due := time.Now().Add(s.c.latency(s.from, s.to))
	s.chunks = append(s.chunks, chunk{due, append([]byte(nil), p...)})
	s.signal()
	return len(p), nil
}

func (s *stream) read(p []byte) (int, error) {
	for {
		healed := s.c.healed()
		isCut := s.c.IsCut(s.from, s.to)
		s.mu.Lock()
		n, wait, err := s.take(p, isCut)
		wake := s.wake
		s.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		pause(wait, wake, healed)
	}
}

// take returns data that has arrived, or how long to wait for more; 0 means
// until something changes.
func (s *stream) take(p []byte, isCut bool) (n int, wait time.Duration, err error) {
	now := time.Now()
	if s.broken {
		return 0, 0, net.ErrClosed
	}
	if !s.deadline.IsZero() {
		if !now.Before(s.deadline) {
			return 0, 0, os.ErrDeadlineExceeded
		}
		wait = s.deadline.Sub(now)
	}
	if isCut {
		return 0, wait, nil
	}
	if len(s.chunks) == 0 {
		if s.ended {
			return 0, 0, io.EOF
		}
		return 0, wait, nil
	}
	first := &s.chunks[0]
	if left := first.due.Sub(now); left > 0 {
		if wait == 0 || left < wait {
			wait = left
		}
		return 0, wait, nil
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, 0, nil
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.signal()
}

func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	s.signal()
}

func (s *stream) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func pause(d time.Duration, wake, healed <-chan struct{}) {
	if d <= 0 {
		select {
		case <-wake:
		case <-healed:
		}
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-healed:
	}
}

// CloseWrite ends the sending direction alone.
func (n *conn) CloseWrite() error {
	n.out.end()
	return nil
}
