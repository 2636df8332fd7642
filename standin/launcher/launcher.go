// Package launcher runs the demo: it starts a deployment as separate
// processes, sends a bounded load through it, prints what came back, and stops
// everything that it started.
//
// The launcher stands in for the platform's way of starting processes; the
// nodes themselves start none.
//
// # Usage
//
//	l := &launcher.Launcher{Bin: "bin", Duration: 8 * time.Second, Out: os.Stdout}
//	err := l.Run(ctx)
package launcher

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/certifier"
	"apricotrudder.dev/apricotd/observer"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/standin/loadgen"
	"apricotrudder.dev/standin/publisher"
)

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 100 * time.Millisecond
	stopTimeout  = 10 * time.Second
	// settleTime lets a cold fleet find owners for its buckets: no node vouches
	// for an owner before every lease that an earlier process of it may have
	// supported has run out.
	settleTime  = 3 * time.Second
	callTimeout = 4 * time.Second
	validity    = 24 * time.Hour
)

type (
	// A Launcher runs deployments one after the other. Its fields must be set
	// before Run.
	Launcher struct {
		Bin      string // directory of apricotd and standin
		Duration time.Duration
		Only     string // one deployment; all if empty
		Out      io.Writer
	}

	// A fleet is one running deployment.
	fleet struct {
		*Launcher
		deployment *Deployment
		directory  string
		platform   netip.AddrPort
		machines   []*machine
		keys       map[string]string // by organisation
		nodes      []*exec.Cmd
		others     []*exec.Cmd
	}

	// A machine is one VM: a backend server and its node.
	machine struct {
		id         string
		dataCentre DataCentre
		service    Service
		callers    netip.AddrPort
		backend    netip.AddrPort
		peers      netip.AddrPort
		operators  netip.AddrPort
		server     netip.AddrPort
	}
)

// Run runs the deployments and prints a summary of each.
func (l *Launcher) Run(ctx context.Context) error {
	for _, name := range Names() {
		if l.Only != "" && l.Only != name {
			continue
		}
		if err := l.runOne(ctx, name); err != nil {
			return fmt.Errorf("run deployment %s: %w", name, err)
		}
	}
	return nil
}

func (l *Launcher) runOne(ctx context.Context, name string) error {
	d, err := Load(name)
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "apricotrudder-demo-")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	defer os.RemoveAll(directory)
	f := &fleet{Launcher: l, deployment: d, directory: directory, keys: make(map[string]string)}
	defer f.stop()
	if err := f.write(); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(l.Out, "\n%s: %d VMs in %d data centres, every part its own process, mutual TLS between nodes\n",
		d.Name, len(f.machines), len(d.DataCentre))
	g := f.newGenerator()
	begun := time.Now()
	outcomes := g.Run(ctx)
	loadgen.Print(l.Out, outcomes, time.Since(begun))
	return ctx.Err()
}

// write lays out the VMs and writes every settings file, table and certificate.
func (f *fleet) write() error {
	if err := f.layOut(); err != nil {
		return err
	}
	if err := f.writeTables(); err != nil {
		return err
	}
	authority, err := certifier.NewAuthority(time.Now(), validity)
	if err != nil {
		return fmt.Errorf("make authority: %w", err)
	}
	if err := f.writeFile("authority.pem", authority.PEM); err != nil {
		return err
	}
	for _, m := range f.machines {
		if err := f.writeMachine(m, authority); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) layOut() error {
	const perMachine = 5
	count := len(f.deployment.DataCentre) * len(f.deployment.Service)
	ports, err := freePorts(1 + perMachine*count)
	if err != nil {
		return err
	}
	f.platform = ports[0]
	ports = ports[1:]
	for _, dc := range f.deployment.DataCentre {
		for _, s := range f.deployment.Service {
			f.machines = append(f.machines, &machine{
				id:         fmt.Sprintf("%s-%s-1", dc.Name, s.Pool),
				dataCentre: dc,
				service:    s,
				callers:    ports[0],
				backend:    ports[1],
				peers:      ports[2],
				operators:  ports[3],
				server:     ports[4],
			})
			ports = ports[perMachine:]
		}
	}
	return nil
}

func (f *fleet) writeTables() error {
	for _, o := range f.deployment.Organisation {
		f.keys[o.Name] = rand.Text()
	}
	digest := func(key string) string { return checker.Digest(key).String() }
	var list publisher.VMList
	for _, m := range f.machines {
		list.VM = append(list.VM, publisher.VM{
			ID:         m.id,
			Region:     m.dataCentre.Region,
			DataCentre: m.dataCentre.Name,
			Pool:       m.service.Pool,
			Address:    m.peers.String(),
			State:      "live",
		})
	}
	vms, err := toml.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode VM list: %w", err)
	}
	for name, data := range map[string][]byte{
		"tables/routes.toml":        []byte(f.deployment.routes),
		"tables/pools.toml":         []byte(f.deployment.pools),
		"tables/organisations.toml": []byte(f.deployment.organisationsTable(digest, f.keys)),
		"tables/vms.toml":           vms,
	} {
		if err := f.writeFile(name, data); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) writeMachine(m *machine, authority *certifier.Authority) error {
	certificate, key, err := authority.Issue(m.id, time.Now(), validity)
	if err != nil {
		return fmt.Errorf("issue certificate: %w", err)
	}
	server, err := toml.Marshal(BackendSettings{
		Service:       m.service.Pool,
		Listen:        m.server.String(),
		Node:          m.backend.String(),
		Slots:         m.service.Slots,
		Connections:   m.service.Connections,
		ServiceMicros: m.service.ServiceMicros,
		Handle:        m.service.Handle,
	})
	if err != nil {
		return fmt.Errorf("encode settings of backend server: %w", err)
	}
	for name, data := range map[string][]byte{
		m.id + ".pem":          certificate,
		m.id + ".key":          key,
		m.id + ".backend.toml": server,
		m.id + ".node.toml":    []byte(f.nodeSettings(m)),
	} {
		if err := f.writeFile(name, data); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) nodeSettings(m *machine) string {
	return fmt.Sprintf(`vm = %q
region = %q
dataCentre = %q
pool = %q

[listen]
callers = %q
backend = %q
peers = %q
operators = %q

[backend]
address = %q

[platform]
addresses = [%q]

[tls]
certificate = %q
key = %q
authority = %q

[log]
level = "warning"
`, m.id, m.dataCentre.Region, m.dataCentre.Name, m.service.Pool,
		m.callers, m.backend, m.peers, m.operators, m.server, f.platform,
		f.path(m.id+".pem"), f.path(m.id+".key"), f.path("authority.pem"))
}

func (f *fleet) path(name string) string {
	return filepath.Join(f.directory, name)
}

func (f *fleet) writeFile(name string, data []byte) error {
	path := f.path(name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

func (f *fleet) start() error {
	platform, err := f.launch("standin", "platform", "--tables", f.path("tables"), "--listen", f.platform.String())
	if err != nil {
		return err
	}
	f.others = append(f.others, platform)
	for _, m := range f.machines {
		server, err := f.launch("standin", "backend", "--config", f.path(m.id+".backend.toml"))
		if err != nil {
			return err
		}
		f.others = append(f.others, server)
		node, err := f.launch("apricotd", "--config", f.path(m.id+".node.toml"))
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
	}
	return nil
}

func (f *fleet) launch(program string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(filepath.Join(f.Bin, program), args...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	return cmd, nil
}

// waitReady waits until every node is ready and has the backend server's slots.
func (f *fleet) waitReady(ctx context.Context) error {
	o := &observer.Observer{Client: &http.Client{Timeout: time.Second}}
	deadline := time.Now().Add(readyTimeout)
	for _, m := range f.machines {
		for {
			s, err := o.Status(ctx, m.operators)
			if err == nil && s.Ready && s.Fresh && s.Limit > 0 {
				break
			}
			if ctx.Err() != nil || time.Now().After(deadline) {
				return errors.Errorf("node %s is not ready after %v: %+v, %v", m.id, readyTimeout, s, err)
			}
			time.Sleep(readyPoll)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func (f *fleet) newGenerator() *loadgen.Generator {
	c := &loadgen.Generator{
		Mix:      f.deployment.Kind,
		Duration: f.Duration,
		Timeout:  callTimeout,
		Client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	for _, m := range f.machines {
		c.Targets = append(c.Targets, m.callers)
	}
	for _, o := range f.deployment.Organisation {
		c.Organisations = append(c.Organisations, loadgen.Organisation{Name: o.Name, Key: f.keys[o.Name], Rate: o.Send})
	}
	return c
}

// stop ends the nodes first, so that their graceful stop finds everything else
// in place.
func (f *fleet) stop() {
	stopAll(f.nodes)
	stopAll(f.others)
}

func stopAll(processes []*exec.Cmd) {
	for _, p := range processes {
		// A failure means that the process has ended already.
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range processes {
		timer := time.AfterFunc(stopTimeout, func() { _ = p.Process.Kill() })
		_ = p.Wait()
		timer.Stop()
	}
}

// freePorts finds loopback ports that are free now.
func freePorts(n int) ([]netip.AddrPort, error) {
	var (
		ports     []netip.AddrPort
		listeners []net.Listener
	)
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find free port: %w", err)
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports, nil
}
