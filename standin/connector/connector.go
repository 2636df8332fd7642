// Package connector stands in for the network.
//
// It connects parts of a test by IP address within one process, with a latency
// between them, and can cut and heal any two of them. What is sent over a cut
// link waits, as it would in TCP; an address that is killed refuses and breaks
// everything. It works within a testing/synctest bubble.
//
// # Usage
//
//	c := &connector.Connector{}
//	listener, err := c.Listen(address)
//	conn, err := c.Dial(ctx, from, address)
//	c.Cut(from, address.Addr())
package connector

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of the network.
var (
	ErrRefused = errors.New("connection refused")
	ErrTaken   = errors.New("address already in use")
)

type (
	// A Connector is one network. Its zero value is ready.
	Connector struct {
		// Latency returns the one-way latency; nil means none.
		Latency func(from, to netip.Addr) time.Duration

		mu        sync.Mutex
		listeners map[netip.AddrPort]*listener
		cuts      map[link]bool
		changed   chan struct{} // closed when a link heals
		conns     map[*conn]bool
		bytes     atomic.Int64
	}

	// A link is a pair of addresses, the lower one first.
	link struct{ a, b netip.Addr }

	listener struct {
		c       *Connector
		address netip.AddrPort
		queue   chan net.Conn
		once    sync.Once
		closed  chan struct{}
	}
)

// Listen opens a listener.
func (c *Connector) Listen(address netip.AddrPort) (net.Listener, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listeners == nil {
		c.listeners = make(map[netip.AddrPort]*listener)
	}
	if c.listeners[address] != nil {
		return nil, fmt.Errorf("listen on %v: %w", address, ErrTaken)
	}
	l := &listener{c: c, address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
	c.listeners[address] = l
	return l, nil
}

// Dial opens a connection. Over a cut link it waits for the context's end.
func (c *Connector) Dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	for c.IsCut(from, to.Addr()) {
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %v: %w", to, ctx.Err())
		case <-c.healed():
		}
	}
	if err := sleep(ctx, 2*c.latency(from, to.Addr())); err != nil {
		return nil, fmt.Errorf("dial %v: %w", to, err)
	}
	c.mu.Lock()
	l := c.listeners[to]
	c.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %v: %w", to, ErrRefused)
	}
	near, far := c.newPair(from, to)
	select {
	case l.queue <- far:
		return near, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %v: %w", to, ErrRefused)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %v: %w", to, ctx.Err())
	}
}

// Bytes returns the number of bytes sent so far between different addresses.
func (c *Connector) Bytes() int64 {
	return c.bytes.Load()
}

// Cut stops all traffic between two addresses.
func (c *Connector) Cut(a, b netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cuts == nil {
		c.cuts = make(map[link]bool)
	}
	c.cuts[linkOf(a, b)] = true
}

// Heal ends a cut.
func (c *Connector) Heal(a, b netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cuts, linkOf(a, b))
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// IsCut tells whether there is a cut between two addresses.
func (c *Connector) IsCut(a, b netip.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[linkOf(a, b)]
}

// Kill breaks every connection of an address and closes its listeners, as if
// its machine had vanished and another taken its place.
func (c *Connector) Kill(a netip.Addr) {
	c.mu.Lock()
	var broken []*conn
	for conn := range c.conns {
		if conn.local.Addr() == a || conn.remote.Addr() == a {
			broken = append(broken, conn)
		}
	}
	var closed []*listener
	for address, l := range c.listeners {
		if address.Addr() == a {
			closed = append(closed, l)
		}
	}
	c.mu.Unlock()
	for _, l := range closed {
		_ = l.Close()
	}
	for _, conn := range broken {
		_ = conn.Close()
	}
}

func (c *Connector) latency(a, b netip.Addr) time.Duration {
	if c.Latency == nil || a == b {
		return 0
	}
	return c.Latency(a, b)
}

func (c *Connector) healed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

func linkOf(a, b netip.Addr) link {
	if b.Less(a) {
		a, b = b, a
	}
	return link{a, b}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.c.mu.Lock()
		defer l.c.mu.Unlock()
		delete(l.c.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
