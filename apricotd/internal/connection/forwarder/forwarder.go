// Package forwarder is the RPC client for the node's peers.
//
// It guarantees that a connection leads to the requested VM: with TLS, the peer
// must present a certificate for that VM's id, signed by the fleet's authority.
// All calls to one peer share one HTTP/2 connection.
//
// # Usage
//
//	f := &forwarder.Forwarder{TLS: config, Locate: locate}
//	f.Start()
//	response, err := f.Peer("ba-petrzalka-licensing-1").Forward(ctx, request)
//
// Each recently used peer costs one connection; idle connections are closed.
package forwarder

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"apricotrudder.dev/wire/peerwire"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	// A connection on which nothing is received for sendPingTimeout is probed
	// with an HTTP/2 ping and closed if no reply arrives within pingTimeout.
	sendPingTimeout = 2 * time.Second
	pingTimeout     = time.Second
)

type (
	// A Dialer opens a connection to an address.
	Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	// A NotSentError reports that no connection to a peer was obtained, so that
	// the request cannot have been executed.
	NotSentError struct {
		VM  string
		Err error
	}

	// A Forwarder sends RPCs to peers. Its fields must be set before Start.
	Forwarder struct {
		// TLS authenticates both sides. If nil, connections use HTTP/2 without
		// TLS.
		TLS *tls.Config
		// Locate returns the address of a VM.
		Locate func(id string) (netip.AddrPort, bool)
		// Dial opens connections. If nil, connections use TCP.
		Dial Dialer

		transport *http.Transport
		client    *http.Client
		mu        sync.Mutex
		clients   map[string]peerwireconnect.PeerServiceClient
	}
)

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("peer %s not reached: %v", e.VM, e.Err)
}

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// Start prepares the transport.
func (f *Forwarder) Start() {
	if f.Dial == nil {
		f.Dial = DialTCP
	}
	f.transport = &http.Transport{
		DialContext:        f.dial,
		TLSClientConfig:    f.TLS,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          new(http.Protocols),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
	}
	f.transport.Protocols.SetHTTP2(f.TLS != nil)
	f.transport.Protocols.SetUnencryptedHTTP2(f.TLS == nil)
	f.client = &http.Client{Transport: f.transport}
	f.clients = make(map[string]peerwireconnect.PeerServiceClient)
}

// Close closes idle connections. Others are closed when their calls end.
func (f *Forwarder) Close() {
	f.transport.CloseIdleConnections()
}

// Peer returns the client for a VM. It does not open a connection.
func (f *Forwarder) Peer(id string) peerwireconnect.PeerServiceClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.clients[id]; ok {
		return p
	}
	scheme := "http://"
	if f.TLS != nil {
		scheme = "https://"
	}
	p := peerwireconnect.NewPeerServiceClient(f.client, scheme+id)
	f.clients[id] = p
	return p
}

// RemoveUnlisted removes the clients of VMs that are not listed any more.
func (f *Forwarder) RemoveUnlisted(isListed func(id string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.clients {
		if !isListed(id) {
			delete(f.clients, id)
		}
	}
}

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial %v: %w", address, err)
	}
	return conn, nil
}

func (f *Forwarder) dial(ctx context.Context, _, hostPort string) (net.Conn, error) {
	id, _, err := net.SplitHostPort(hostPort)
	if err != nil {
		return nil, fmt.Errorf("split peer name: %w", err)
	}
	address, ok := f.Locate(id)
	if !ok {
		return nil, fmt.Errorf("locate peer: got %q, want a VM on the list", id)
	}
	return f.Dial(ctx, address)
}

// Forward sends a request to the node of a VM. After a *NotSentError the
// request has not been executed; after any other error it may have been.
func (f *Forwarder) Forward(ctx context.Context, vm string, r *peerwire.ForwardRequest) (*peerwire.ForwardResponse, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := f.Peer(vm).Forward(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(r))
	if err == nil {
		return response.Msg, nil
	}
	if !connected.Load() {
		return nil, &NotSentError{VM: vm, Err: err}
	}
	return nil, fmt.Errorf("exchange with %s: %w", vm, err)
}
