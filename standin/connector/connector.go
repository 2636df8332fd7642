// Package connector simulates a TCP network within one process.
//
// It connects parts of a test by IP address, with a configurable latency, and
// can cut and heal the link between any two addresses. Data that is sent over a
// cut link is delivered after it has healed, as TCP does by retransmission.
// Killing an address closes its connections and listeners. The package works
// within a testing/synctest bubble.
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

// Errors that Dial and Listen return.
var (
	ErrRefused      = errors.New("connection refused")
	ErrAddressInUse = errors.New("address already in use")
)

type (
	// A Connector is a simulated network. Its zero value is ready to use.
	Connector struct {
		// Latency returns the one-way latency; if nil, there is none.
		Latency func(from, to netip.Addr) time.Duration
		// Observe is called with all data when it is written; nil means not. It must
		// not keep the data.
		Observe func(from, to netip.Addr, data []byte)

		mu        sync.Mutex
		listeners map[netip.AddrPort]*listener
		cuts      map[addressPair]bool
		healed    chan struct{} // closed when any link heals; nil if nobody waits
		conns     map[*conn]bool
		bytes     atomic.Int64
	}

	// An addressPair identifies the link between two addresses; a is the lower one.
	addressPair struct{ a, b netip.Addr }

	listener struct {
		network   *Connector
		address   netip.AddrPort
		backlog   chan net.Conn
		closeOnce sync.Once
		closed    chan struct{}
	}
)

// Listen opens a listener on the address.
func (c *Connector) Listen(address netip.AddrPort) (net.Listener, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listeners == nil {
		c.listeners = make(map[netip.AddrPort]*listener)
	}
	if c.listeners[address] != nil {
		return nil, fmt.Errorf("listen on %v: %w", address, ErrAddressInUse)
	}
	l := &listener{network: c, address: address, backlog: make(chan net.Conn), closed: make(chan struct{})}
	c.listeners[address] = l
	return l, nil
}

// Dial opens a connection. If the link is cut, it waits until the link has
// healed or the context is done.
func (c *Connector) Dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	for c.IsCut(from, to.Addr()) {
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %v: %w", to, ctx.Err())
		case <-c.healSignal():
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
	client, server := c.newConnPair(from, to)
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %v: %w", to, ErrRefused)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %v: %w", to, ctx.Err())
	}
}

// Bytes returns the total number of bytes sent between different addresses.
func (c *Connector) Bytes() int64 {
	return c.bytes.Load()
}

// Cut blocks all traffic between two addresses, in both directions.
func (c *Connector) Cut(a, b netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cuts == nil {
		c.cuts = make(map[addressPair]bool)
	}
	c.cuts[newAddressPair(a, b)] = true
}

// Heal unblocks the traffic between two addresses.
func (c *Connector) Heal(a, b netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cuts, newAddressPair(a, b))
	if c.healed != nil {
		close(c.healed)
		c.healed = nil
	}
}

// IsCut reports whether the link between two addresses is cut.
func (c *Connector) IsCut(a, b netip.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[newAddressPair(a, b)]
}

// Kill closes all connections and listeners of an address, as if its VM had
// failed and another one had taken over the address: peers see closed
// connections instead of silence.
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

// healSignal returns a channel that is closed when a link heals.
func (c *Connector) healSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healed == nil {
		c.healed = make(chan struct{})
	}
	return c.healed
}

func newAddressPair(a, b netip.Addr) addressPair {
	if b.Less(a) {
		a, b = b, a
	}
	return addressPair{a, b}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.backlog:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
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
