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

// BenchmarkAddedTime pairs calls through two nodes, over loopback with mutual
// TLS, with direct calls of the same backend server, at a steady rate, and
// reports the difference of their quantiles.
func BenchmarkAddedTime(b *testing.B) {
	for _, rate := range []int{400, 1600, 4000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			p := newPair(b)
			defer p.close()
			const seconds = 5
			for b.Loop() {
				through, direct := p.load(rate, seconds*rate)
				report(b, through, direct)
			}
		})
	}
}

func report(b *testing.B, through, direct []time.Duration) {
	for _, q := range []float64{0.50, 0.99} {
		at := func(d []time.Duration) float64 {
			return float64(d[int(q*float64(len(d)-1))].Microseconds())
		}
		name := fmt.Sprintf("µs-p%.0f", q*100)
		b.ReportMetric(at(through)-at(direct), "added-"+name)
		b.ReportMetric(at(direct), "direct-"+name)
	}
}

// A pair is an ingress node, and a node with its backend server.
type pair struct {
	b       *testing.B
	targets [2]string // through the nodes, direct
	client  *http.Client
	stop    []func()
}

func newPair(b *testing.B) *pair {
	p := &pair{b: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
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
		p.stop = append(p.stop, func() { _ = s.Close() })
	}
	serve(addresses[0], backend)
	tables := &publisher.Publisher{}
	serve(addresses[1], tables)
	authority, err := certifier.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	rows := defaultTables()
	rows["pools"] = "[[pool]]\nname = \"catalogue\"\nslots = 1000\nconnections = 2000\n[[pool]]\nname = \"licensing\"\nslots = 10\nconnections = 100\n"
	tables.Update("config", func(values map[string]string) {
		for name, text := range rows {
			values[name] = text
		}
	})
	var vms []publisher.VM
	for i, pool := range []string{"licensing", "catalogue"} {
		vms = append(vms, publisher.VM{ID: pool + "-1", Region: "r", DataCentre: "d", Pool: pool, Address: addresses[2+4*i].String(), State: "live"})
	}
	publisher.PublishVMs(tables, vms)
	for i, vm := range vms {
		p.boot(vm, authority, addresses[2+4*i:], addresses[0], addresses[1])
	}
	p.targets = [2]string{"http://" + addresses[3].String() + "/status", "http://" + addresses[0].String() + "/status"}
	time.Sleep(4 * time.Second)
	return p
}

func (p *pair) boot(vm publisher.VM, authority *certifier.Authority, at []netip.AddrPort, backend, platform netip.AddrPort) {
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
	p.stop = append([]func(){func() { cancel(); <-done }}, p.stop...)
}

func (p *pair) close() {
	for _, stop := range p.stop {
		stop()
	}
}

// load sends n calls each way, alternating, at the rate.
func (p *pair) load(rate, n int) (through, direct []time.Duration) {
	times := [2][]time.Duration{make([]time.Duration, n), make([]time.Duration, n)}
	var wg sync.WaitGroup
	begun := time.Now()
	for i := range n {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		for way := range p.targets {
			wg.Go(func() { times[way][i] = p.call(p.targets[way]) })
		}
	}
	wg.Wait()
	slices.Sort(times[0])
	slices.Sort(times[1])
	return times[0], times[1]
}

func (p *pair) call(target string) time.Duration {
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
