// Package launcher runs the demo: it starts a deployment as separate processes,
// sends load to it for a limited time, prints a summary of the responses, and
// stops the processes.
//
// In production the platform starts all processes; nodes start none.
//
// # Usage
//
//	l := &launcher.Launcher{Bin: "bin", Duration: 8 * time.Second, Out: os.Stdout}
//	err := l.Run(ctx)
package launcher

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"io"
	"math/rand/v2"
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
	// electionTime is the time in which a newly started fleet elects the owners
	// of its rate-limit buckets. A started node supports no owner until every
	// lease that a previous process of it may have supported has expired.
	electionTime        = 3 * time.Second
	callTimeout         = 4 * time.Second
	certificateValidity = 24 * time.Hour
)

type (
	// A Launcher runs deployments one after the other. Its fields must be set
	// before Run is called.
	Launcher struct {
		Bin      string        // directory of apricotd and standin
		Duration time.Duration // of the load
		Only     string        // name of the deployment to run; all if empty
		Out      io.Writer
	}

	// A fleet is one running deployment.
	fleet struct {
		*Launcher
		deployment *Deployment
		directory  string
		platform   netip.AddrPort
		vms        []*vm
		keys       map[string]string // API keys by organisation
		nodes      []*exec.Cmd
		standins   []*exec.Cmd // platform and backend servers
	}

	// A vm is a VM with a backend server and its node.
	vm struct {
		id         string
		dataCentre DataCentre
		service    Service
		// Listen addresses of the node, named as in its settings.
		callers   netip.AddrPort
		backend   netip.AddrPort
		peers     netip.AddrPort
		operators netip.AddrPort
		// Listen address of the backend server.
		server netip.AddrPort
	}
)

// Run runs the deployments and prints a summary of each.
func (l *Launcher) Run(ctx context.Context) error {
	for _, name := range Names() {
		if l.Only != "" && l.Only != name {
			continue
		}
		if err := l.runDeployment(ctx, name); err != nil {
			return fmt.Errorf("run deployment %s: %w", name, err)
		}
	}
	return nil
}

func (l *Launcher) runDeployment(ctx context.Context, name string) error {
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
	if err := f.writeFiles(); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(l.Out, "\n%s: %d VMs in %d data centres, one process per component, mutual TLS between nodes\n",
		d.Name, len(f.vms), len(d.DataCentre))
	g := f.newGenerator()
	start := time.Now()
	outcomes := g.Run(ctx)
	loadgen.Print(l.Out, outcomes, time.Since(start))
	return ctx.Err()
}

// writeFiles assigns ports to the VMs and writes all settings files, tables and
// certificates.
func (f *fleet) writeFiles() error {
	if err := f.assignPorts(); err != nil {
		return err
	}
	if err := f.writeTables(); err != nil {
		return err
	}
	authority, err := certifier.NewAuthority(time.Now(), certificateValidity)
	if err != nil {
		return fmt.Errorf("make authority: %w", err)
	}
	if err := f.writeFile("authority.pem", authority.PEM); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := f.writeVM(v, authority); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) assignPorts() error {
	const portsPerVM = 5
	count := len(f.deployment.DataCentre) * len(f.deployment.Service)
	ports, err := freePorts(ownAddress(), 1+portsPerVM*count)
	if err != nil {
		return err
	}
	f.platform = ports[0]
	ports = ports[1:]
	for _, dc := range f.deployment.DataCentre {
		for _, s := range f.deployment.Service {
			f.vms = append(f.vms, &vm{
				id:         fmt.Sprintf("%s-%s-1", dc.Name, s.Pool),
				dataCentre: dc,
				service:    s,
				callers:    ports[0],
				backend:    ports[1],
				peers:      ports[2],
				operators:  ports[3],
				server:     ports[4],
			})
			ports = ports[portsPerVM:]
		}
	}
	return nil
}

func (f *fleet) writeTables() error {
	for _, o := range f.deployment.Organisation {
		f.keys[o.Name] = crand.Text()
	}
	digest := func(key string) string { return checker.Digest(key).String() }
	var list publisher.VMList
	for _, v := range f.vms {
		list.VM = append(list.VM, publisher.VM{
			ID:         v.id,
			Region:     v.dataCentre.Region,
			DataCentre: v.dataCentre.Name,
			Pool:       v.service.Pool,
			Address:    v.peers.String(),
			State:      "live",
		})
	}
	vmList, err := toml.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode VM list: %w", err)
	}
	for name, data := range map[string][]byte{
		"tables/routes.toml":        []byte(f.deployment.routes),
		"tables/pools.toml":         []byte(f.deployment.pools),
		"tables/organisations.toml": []byte(f.deployment.organisationsTable(digest, f.keys)),
		"tables/vms.toml":           vmList,
	} {
		if err := f.writeFile(name, data); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) writeVM(v *vm, authority *certifier.Authority) error {
	certificate, key, err := authority.Issue(v.id, time.Now(), certificateValidity)
	if err != nil {
		return fmt.Errorf("issue certificate: %w", err)
	}
	server, err := toml.Marshal(BackendSettings{
		Service:       v.service.Pool,
		Listen:        v.server.String(),
		Node:          v.backend.String(),
		Slots:         v.service.Slots,
		Connections:   v.service.Connections,
		ServiceMicros: v.service.ServiceMicros,
		Handle:        v.service.Handle,
	})
	if err != nil {
		return fmt.Errorf("encode settings of backend server: %w", err)
	}
	for name, data := range map[string][]byte{
		v.id + ".pem":          certificate,
		v.id + ".key":          key,
		v.id + ".backend.toml": server,
		v.id + ".node.toml":    []byte(f.nodeSettings(v)),
	} {
		if err := f.writeFile(name, data); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) nodeSettings(v *vm) string {
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
`, v.id, v.dataCentre.Region, v.dataCentre.Name, v.service.Pool,
		v.callers, v.backend, v.peers, v.operators, v.server, f.platform,
		f.path(v.id+".pem"), f.path(v.id+".key"), f.path("authority.pem"))
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
	platform, err := f.startProcess("standin", "platform", "--tables", f.path("tables"), "--listen", f.platform.String())
	if err != nil {
		return err
	}
	f.standins = append(f.standins, platform)
	for _, v := range f.vms {
		server, err := f.startProcess("standin", "backend", "--config", f.path(v.id+".backend.toml"))
		if err != nil {
			return err
		}
		f.standins = append(f.standins, server)
		node, err := f.startProcess("apricotd", "--config", f.path(v.id+".node.toml"))
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
	}
	return nil
}

func (f *fleet) startProcess(program string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(filepath.Join(f.Bin, program), args...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	return cmd, nil
}

// waitReady waits until every node is ready and knows the slots of its backend
// server, and then for the election of owners.
func (f *fleet) waitReady(ctx context.Context) error {
	o := &observer.Observer{Client: &http.Client{Timeout: time.Second}}
	deadline := time.Now().Add(readyTimeout)
	for _, v := range f.vms {
		for {
			s, err := o.Status(ctx, v.operators)
			if err == nil && s.Ready && s.Fresh && s.Limit > 0 {
				break
			}
			if ctx.Err() != nil || time.Now().After(deadline) {
				return errors.Errorf("node %s is not ready after %v: status %+v, error %v", v.id, readyTimeout, s, err)
			}
			time.Sleep(readyPoll)
		}
	}
	time.Sleep(electionTime)
	return nil
}

func (f *fleet) newGenerator() *loadgen.Generator {
	g := &loadgen.Generator{
		Mix:      f.deployment.Kind,
		Duration: f.Duration,
		Timeout:  callTimeout,
		Client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	for _, v := range f.vms {
		g.Targets = append(g.Targets, v.callers)
	}
	for _, o := range f.deployment.Organisation {
		g.Organisations = append(g.Organisations, loadgen.Organisation{Name: o.Name, Key: f.keys[o.Name], Rate: o.Send})
	}
	return g
}

// stop terminates the nodes before the platform and the backend servers, which
// they need for a graceful stop.
func (f *fleet) stop() {
	terminateAll(f.nodes)
	terminateAll(f.standins)
}

// terminateAll sends SIGTERM to all processes and waits for them. It kills those
// that take longer than stopTimeout.
func terminateAll(processes []*exec.Cmd) {
	for _, p := range processes {
		// An error means that the process has already exited.
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range processes {
		timer := time.AfterFunc(stopTimeout, func() { _ = p.Process.Kill() })
		_ = p.Wait()
		timer.Stop()
	}
}

// ownAddress returns a loopback address that hardly any other program uses, since a port
// that is free may be given to another server before the process listens on it. Systems
// that have only 127.0.0.1 get that.
func ownAddress() netip.Addr {
	a := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), 1})
	l, err := net.Listen("tcp", netip.AddrPortFrom(a, 0).String())
	if err != nil {
		return netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	_ = l.Close()
	return a
}

// freePorts returns n ports of an address that are free now.
func freePorts(a netip.Addr, n int) ([]netip.AddrPort, error) {
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
		l, err := net.Listen("tcp", netip.AddrPortFrom(a, 0).String())
		if err != nil {
			return nil, fmt.Errorf("find free port: %w", err)
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports, nil
}
