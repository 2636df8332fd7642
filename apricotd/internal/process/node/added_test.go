package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/certifier"
	"apricotrudder.dev/apricotd/decoder"
	"apricotrudder.dev/apricotd/internal/process/loader"
	"apricotrudder.dev/standin/publisher"
)

// BenchmarkAddedTime measures the latency that two nodes add to a request, over
// loopback with mutual TLS. It sends requests at a steady rate, each once through
// the nodes and once directly to the backend server, and reports the difference
// of the latency quantiles.
func BenchmarkAddedTime(b *testing.B) {
	for _, rate := range []int{400, 1600, 4000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			p := newNodePair(b)
			defer p.close()
			const seconds = 5
			for b.Loop() {
				through, direct := p.measureLatency(rate, seconds*rate)
				reportQuantiles(b, through, direct)
			}
		})
	}
}

func reportQuantiles(b *testing.B, through, direct []time.Duration) {
	for _, q := range []float64{0.50, 0.99} {
		quantile := func(d []time.Duration) float64 {
			return float64(d[int(q*float64(len(d)-1))].Microseconds())
		}
		name := fmt.Sprintf("µs-p%.0f", q*100)
		b.ReportMetric(quantile(through)-quantile(direct), "added-"+name)
		b.ReportMetric(quantile(direct), "direct-"+name)
	}
}

// A nodePair is an ingress node and a second node with its backend server.
type nodePair struct {
	b        *testing.B
	targets  [2]string // URLs through the nodes and direct
	client   *http.Client
	cleanups []func()
}

func newNodePair(b *testing.B) *nodePair {
	p := &nodePair{b: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	backend := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = io.WriteString(w, `{"slots":1000}`)
			return
		}
		_, _ = io.WriteString(w, "answer")
	})
	addresses := freeAddresses(b, 11)
	serve := func(address netip.AddrPort, h http.Handler) {
		s := &http.Server{Addr: address.String(), Handler: h}
		go func() { _ = s.ListenAndServe() }()
		p.cleanups = append(p.cleanups, func() { _ = s.Close() })
	}
	serve(addresses[0], backend)
	tables := &publisher.Publisher{}
	serve(addresses[1], tables)
	authority, err := certifier.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	texts := defaultTables()
	texts["pools"] = "[[pool]]\nname = \"catalogue\"\nslots = 1000\nconnections = 2000\n[[pool]]\nname = \"licensing\"\nslots = 10\nconnections = 100\n"
	tables.Update("config", func(values map[string]string) {
		for name, text := range texts {
			values[name] = text
		}
	})
	var vms []publisher.VM
	for i, pool := range []string{"licensing", "catalogue"} {
		vms = append(vms, publisher.VM{ID: pool + "-1", Region: "r", DataCentre: "d", Pool: pool, Address: addresses[2+4*i].String(), State: "live"})
	}
	publisher.PublishVMs(tables, vms)
	for i, vm := range vms {
		p.startNode(vm, authority, addresses[2+4*i:], addresses[0], addresses[1])
	}
	p.targets = [2]string{"http://" + addresses[3].String() + "/status", "http://" + addresses[0].String() + "/status"}
	time.Sleep(4 * time.Second)
	return p
}

func (p *nodePair) startNode(vm publisher.VM, authority *certifier.Authority, at []netip.AddrPort, backend, platform netip.AddrPort) {
	certificate, key, err := authority.Issue(vm.ID, time.Now(), time.Hour)
	if err != nil {
		p.b.Fatal(err)
	}
	config, err := certifier.Parse(certificate, key, authority.PEM)
	if err != nil {
		p.b.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{
		Settings: &loader.Settings{
			VM: vm.ID, Region: "r", DataCentre: "d", Pool: vm.Pool,
			Listen:   loader.Listen{Peers: at[0], Callers: at[1], Backend: at[2], Operators: at[3]},
			Backend:  loader.Backend{Address: backend, ProbeInterval: decoder.Duration(500 * time.Millisecond)},
			Platform: loader.Platform{Addresses: []netip.AddrPort{platform}, Timeout: decoder.Duration(500 * time.Millisecond)},
			Limits:   loader.Limits{HeaderBytes: 16 << 10, DrainTimeout: decoder.Duration(time.Second)},
		},
		Log: log,
		TLS: config,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			p.b.Error(err)
		}
	}()
	p.cleanups = append([]func(){func() { cancel(); <-done }}, p.cleanups...)
}

func (p *nodePair) close() {
	for _, cleanup := range p.cleanups {
		cleanup()
	}
}

// measureLatency sends n pairs of requests at the given rate, one through the
// nodes and one direct, and returns their sorted latencies.
func (p *nodePair) measureLatency(rate, n int) (through, direct []time.Duration) {
	times := [2][]time.Duration{make([]time.Duration, n), make([]time.Duration, n)}
	var wg sync.WaitGroup
	begun := time.Now()
	for i := range n {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		for target := range p.targets {
			wg.Go(func() { times[target][i] = p.timeRequest(p.targets[target]) })
		}
	}
	wg.Wait()
	slices.Sort(times[0])
	slices.Sort(times[1])
	return times[0], times[1]
}

func (p *nodePair) timeRequest(target string) time.Duration {
	begun := time.Now()
	response, err := p.client.Get(target)
	if err != nil {
		p.b.Error(err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		p.b.Errorf("got status %d (%v), want 200", response.StatusCode, err)
	}
	return time.Since(begun)
}

func freeAddresses(b *testing.B, n int) []netip.AddrPort {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return out
}
