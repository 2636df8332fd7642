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
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 2 * time.Second
	// compressMinBytes is the minimum size of compressed responses to peers.
	// Compressing smaller ones costs more CPU time than the saved bytes are worth.
	compressMinBytes = 4 << 10
)

type (
	// servers holds the node's four HTTP servers and their listeners.
	servers struct {
		activeRequests atomic.Int64 // caller requests being served
		all            []*server
	}

	server struct {
		name     string
		http     *http.Server
		listener net.Listener
	}
)

// openListeners opens all listeners before any of them is served, so that a node
// whose address is already in use fails at startup and serves nothing.
func (n *Node) openListeners() error {
	l := n.Settings.Listen
	for _, s := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", l.Callers, n.callerHandler(n.router.Callers())},
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
	s.ErrorLog = log.New(&errorLogWriter{node: n, name: name}, "", 0)
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

// serve starts serving on all listeners and returns a channel that receives the
// errors of servers that fail.
func (n *Node) serve() <-chan error {
	serveErrors := make(chan error, len(n.servers.all))
	for _, s := range n.servers.all {
		go func() {
			if err := s.serve(); err != nil {
				serveErrors <- err
			}
		}()
	}
	return serveErrors
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

// close closes the servers in the order in which they were opened. The
// operators' server is the last, so that status and metrics stay available
// while the others close.
func (n *Node) close() {
	for _, s := range n.servers.all {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
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

// callerHandler counts the running requests of callers, so that a graceful
// shutdown can wait for them. While the node is stopping it asks callers to
// close their connections, and until the node is ready it rejects requests.
func (n *Node) callerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.servers.activeRequests.Add(1)
		defer n.servers.activeRequests.Add(-1)
		if n.stopping.Load() {
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
	mux.Handle(peerwireconnect.NewPeerServiceHandler(&peerService{node: n}, connect.WithCompressMinBytes(compressMinBytes)))
	return mux
}

// An errorLogWriter writes the lines of net/http's error log to the node's log.
// Failed TLS handshakes go to the audit trail instead, because they may come
// from clients that are not authorized as peers.
type errorLogWriter struct {
	node *Node
	name string
}

// Write implements io.Writer for one line of the log.
func (l *errorLogWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.Contains(text, "TLS handshake error") {
		l.node.audit.RecordRefusal(string(auditor.PeerRefused), text, 0)
		return len(line), nil
	}
	l.node.Log.WithField("server", l.name).Warn(text)
	return len(line), nil
}
