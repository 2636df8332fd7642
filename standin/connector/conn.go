package connector

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// ephemeralPort is the client port of every connection.
const ephemeralPort = 40000

type (
	// A conn is one endpoint of a connection.
	conn struct {
		network       *Connector
		local, remote netip.AddrPort
		in, out       *stream
	}

	// A stream is one direction of a connection.
	stream struct {
		network  *Connector
		from, to netip.Addr

		mu          sync.Mutex
		chunks      []chunk
		writeClosed bool          // the writer has closed its end
		readClosed  bool          // the reader has closed its end
		deadline    time.Time     // for reads
		changed     chan struct{} // closed and replaced at every change
	}

	// A chunk is data in transit.
	chunk struct {
		due  time.Time // of delivery
		data []byte
	}
)

var _ net.Conn = (*conn)(nil)

func (c *Connector) newConnPair(from netip.Addr, to netip.AddrPort) (client, server *conn) {
	toServer := &stream{network: c, from: from, to: to.Addr(), changed: make(chan struct{})}
	toClient := &stream{network: c, from: to.Addr(), to: from, changed: make(chan struct{})}
	clientAddress := netip.AddrPortFrom(from, ephemeralPort)
	client = &conn{network: c, local: clientAddress, remote: to, in: toClient, out: toServer}
	server = &conn{network: c, local: to, remote: clientAddress, in: toServer, out: toClient}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[*conn]bool)
	}
	c.conns[client] = true
	c.conns[server] = true
	return client, server
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn. It never blocks, since streams are unbounded.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.out.closeWrite()
	c.in.closeRead()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn. It sets the read deadline only, since writes
// never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.deadline = t
	c.in.notify()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeClosed || s.readClosed {
		return 0, net.ErrClosed
	}
	if s.network.Observe != nil {
		s.network.Observe(s.from, s.to, p)
	}
	if s.from != s.to {
		s.network.bytes.Add(int64(len(p)))
	}
	due := time.Now().Add(s.network.latency(s.from, s.to))
	s.chunks = append(s.chunks, chunk{due, append([]byte(nil), p...)})
	s.notify()
	return len(p), nil
}

func (s *stream) read(p []byte) (int, error) {
	for {
		healed := s.network.healSignal()
		isCut := s.network.IsCut(s.from, s.to)
		s.mu.Lock()
		n, wait, err := s.readAvailable(p, isCut)
		changed := s.changed
		s.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		waitForChange(wait, changed, healed)
	}
}

// readAvailable copies data that has arrived. If there is none, it returns the
// longest time to wait before the next try; 0 means to wait for a change.
func (s *stream) readAvailable(p []byte, isCut bool) (n int, wait time.Duration, err error) {
	now := time.Now()
	if s.readClosed {
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
		if s.writeClosed {
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

func (s *stream) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeClosed = true
	s.notify()
}

func (s *stream) closeRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readClosed = true
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitForChange waits until one of the channels is closed, or at most d if d is
// positive.
func waitForChange(d time.Duration, changed, healed <-chan struct{}) {
	if d <= 0 {
		select {
		case <-changed:
		case <-healed:
		}
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-healed:
	}
}

// CloseWrite closes the sending direction only, like net.TCPConn.CloseWrite.
func (c *conn) CloseWrite() error {
	c.out.closeWrite()
	return nil
}
