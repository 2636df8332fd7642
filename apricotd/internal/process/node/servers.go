package node

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	closeTimeout  = 2 * time.Second
	// compressFrom is the size from which answers to peers are compressed, in
	// bytes. Below it the work costs more than the bytes.
	compressFrom = 4 << 10
)

type (
	// servers are the node's four listeners and what serves them.
	servers struct {
		active atomic.Int64 // requests of callers being served
		all    []*server
	}

	server struct {
		name     string
		http     *http.Server
		listener net.Listener
	}
)

// open opens all listeners before anything is served, so that a node either
// starts whole or fails with the address that is taken.
func (n *Node) open() error {
	l := n.Settings.Listen
	for _, s := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", l.Callers, n.counted(n.router.Callers())},
		{"backend", l.Backend, n.router.Backend()},
		{"peers", l.Peers, n.peerHandler()},
		{"operators", l.Operators, n.operatorHandler()},
	} {
		listener, err := n.listen(s.address)
		if err != nil {
			n.closeListeners()
			return fmt.Errorf("listen for %s: %w", s.name, err)
		}
		n.servers.all = append(n.servers.all, n.newServer(s.name, listener, s.handler))
	}
	return nil
}

func (n *Node) listen(address netip.AddrPort) (net.Listener, error) {
	if n.Listen != nil {
		return n.Listen(address)
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	return listener, nil
}

func (n *Node) newServer(name string, listener net.Listener, handler http.Handler) *server {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    n.Settings.Limits.HeaderBytes,
		Protocols:         new(http.Protocols),
	}
	s.ErrorLog = log.New(&serverLog{node: n, name: name}, "", 0)
	switch {
	case name != "peers":
		s.Protocols.SetHTTP1(true)
	case n.TLS == nil:
		s.Protocols.SetUnencryptedHTTP2(true)
	default:
		s.Protocols.SetHTTP2(true)
		s.TLSConfig = n.TLS
	}
	return &server{name: name, http: s, listener: listener}
}

// serve serves all listeners and returns the channel that gets the first
// failure.
func (n *Node) serve() <-chan error {
	failed := make(chan error, len(n.servers.all))
	for _, s := range n.servers.all {
		go func() {
			if err := s.serve(); err != nil {
				failed <- err
			}
		}()
	}
	return failed
}

func (s *server) serve() error {
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}

// close ends the servers in the order of their listing; operators can look on
// until the end.
func (n *Node) close() {
	for _, s := range n.servers.all {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		if err := s.http.Shutdown(ctx); err != nil {
			n.Log.WithField("server", s.name).Warn(err)
			_ = s.http.Close()
		}
		cancel()
	}
	n.forwarder.Close()
	n.dispatcher.Close()
}

func (n *Node) closeListeners() {
	for _, s := range n.servers.all {
		_ = s.listener.Close()
	}
}

// counted counts the requests of callers, so that a graceful stop can wait for
// them, and asks callers to leave once the stop has begun.
func (n *Node) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.servers.active.Add(1)
		defer n.servers.active.Add(-1)
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		if !n.spreader.Current().Ready {
			reporter.Write(w, "", reporter.Refused{Reason: reporter.NotReady, Detail: "this node is starting", RetryAfter: time.Second})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerwireconnect.NewPeerServiceHandler(&peerService{node: n}, connect.WithCompressMinBytes(compressFrom)))
	return mux
}

// A serverLog turns the lines of net/http's error log into log entries. Failed
// handshakes of peers enter the audit trail, since they show strangers.
type serverLog struct {
	node *Node
	name string
}

// Write takes one line.
func (l *serverLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.Contains(text, "TLS handshake error") {
		l.node.audit.Refused(string(auditor.PeerRefused), text, 0)
		return len(line), nil
	}
	l.node.Log.WithField("server", l.name).Warn(text)
	return len(line), nil
}
