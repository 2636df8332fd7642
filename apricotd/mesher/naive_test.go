package mesher

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"apricotrudder.dev/standin/connector"
)

// A naiveNode is the baseline of the experiments. It sends each request directly
// to the backend server with the fewest requests in flight from this node, and
// retries once if the server responds that it did not run the request. It has no
// rate limits, priorities or load shedding.
type naiveNode struct {
	fleet   *fleet
	address netip.Addr

	mu       sync.Mutex
	inFlight map[*vm]int
}

// startNaive starts a naiveNode on a VM instead of a node.
func (f *fleet) startNaive(name string) {
	m := f.vms[name]
	listener, err := f.network.Listen(netip.AddrPortFrom(m.address, callersPort))
	if err != nil {
		f.t.Fatalf("listen for callers: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	m.cancel, m.done = cancel, make(chan struct{})
	n := &naiveNode{fleet: f, address: m.address, inFlight: make(map[*vm]int)}
	go func() {
		defer close(m.done)
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(ctx, nc)
		}
	}()
}

func (n *naiveNode) serve(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status := http.StatusServiceUnavailable
	tried := make(map[*vm]bool)
	for len(tried) < 2 && status == http.StatusServiceUnavailable {
		m := n.pickServer(strings.Split(r.URL.Path, "/")[1], tried)
		if m == nil {
			break
		}
		tried[m] = true
		if status, err = n.forward(ctx, m, r, string(body)); err != nil {
			status = http.StatusBadGateway
		}
	}
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
}

// pickServer returns the VM of a pool that has the fewest requests in flight from
// this node and has not been tried, and counts the request. It returns nil if all
// have been tried.
func (n *naiveNode) pickServer(pool string, tried map[*vm]bool) *vm {
	if pool == "order" {
		pool = "orders"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var best *vm
	for _, m := range n.fleet.vms { // the random order of the map breaks ties
		if m.placement.pool == pool && !tried[m] && (best == nil || n.inFlight[m] < n.inFlight[best]) {
			best = m
		}
	}
	if best != nil {
		n.inFlight[best]++
	}
	return best
}

// forward sends the request to a backend server and returns the status of the
// response. A refused connection counts as a 503, since the request was not run.
func (n *naiveNode) forward(ctx context.Context, m *vm, r *http.Request, body string) (int, error) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.inFlight[m]--
	}()
	nc, err := n.fleet.network.Dial(ctx, n.address, netip.AddrPortFrom(m.address, serverPort))
	if errors.Is(err, connector.ErrRefused) {
		return http.StatusServiceUnavailable, nil
	}
	if err != nil {
		return 0, fmt.Errorf("dial server: %w", err)
	}
	defer nc.Close()
	if _, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\nId: %s\r\nWant: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.Method, r.URL.RequestURI(), r.Host, r.Header.Get("Id"), m.worker.id, len(body), body); err != nil {
		return 0, fmt.Errorf("send request: %w", err)
	}
	resp := readResponse(bufio.NewReader(nc), r.Method)
	return resp.status, resp.err
}
