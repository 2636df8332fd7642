// Command standin simulates the environment of the nodes: the platform, the
// backend servers and the callers. It is used for tests and for the demo.
//
// Usage:
//
//	standin platform --tables DIR --listen 127.0.0.1:9000
//	standin backend --config backend.toml
//	standin demo --bin DIR
//	standin plot --results docs/experiments.json --folder docs
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"apricotrudder.dev/standin/launcher"
	"apricotrudder.dev/standin/plotter"
	"apricotrudder.dev/standin/publisher"
	"apricotrudder.dev/standin/responder"
)

const (
	readHeaderTimeout = 5 * time.Second
	crashExitCode     = 3
)

type (
	platformCommand struct {
		Tables string        `long:"tables" required:"true" description:"directory of routes.toml, pools.toml, organisations.toml and vms.toml"`
		Listen string        `long:"listen" required:"true" description:"IP address and port"`
		Lag    time.Duration `long:"lag" description:"publication delay of the VM list"`
	}

	backendCommand struct {
		Config string `long:"config" required:"true" description:"settings file of the backend server (TOML)"`
	}

	demoCommand struct {
		Bin      string        `long:"bin" required:"true" description:"directory of the binaries"`
		Duration time.Duration `long:"duration" default:"8s" description:"duration of the load"`
		Only     string        `long:"only" description:"deployment to run: tatrasound or fuzopont; both if empty"`
	}

	plotCommand struct {
		Results string `long:"results" default:"docs/experiments.json" description:"results of TestExperiments (JSON)"`
		Folder  string `long:"folder" default:"docs" description:"output directory of the page and the plots"`
	}

	options struct {
		Platform platformCommand `command:"platform" description:"run a simulated platform that publishes the tables and the VM list"`
		Backend  backendCommand  `command:"backend" description:"run a simulated backend server"`
		Demo     demoCommand     `command:"demo" description:"run the deployments under load and print a summary"`
		Plot     plotCommand     `command:"plot" description:"write the page of experiment results and its plots"`
	}
)

func main() {
	if _, err := flags.NewParser(&options{}, flags.Default).Parse(); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

// Execute publishes tables and the VM list until SIGTERM.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p := &publisher.Publisher{}
	serveErr := make(chan error, 1)
	go func() { serveErr <- serveUntilDone(ctx, c.Listen, p, nil) }()
	d := &publisher.DirectoryPublisher{Directory: c.Tables, Publisher: p, Lag: c.Lag}
	if err := d.Run(ctx); err != nil {
		return err
	}
	if err := <-serveErr; err != nil {
		return err
	}
	fmt.Printf("calls received: %d\n", p.Calls())
	return nil
}

// Execute serves requests until SIGTERM.
func (c *backendCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var s launcher.BackendSettings
	if _, err := toml.DecodeFile(c.Config, &s); err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	node, err := netip.ParseAddrPort(s.Node)
	if err != nil {
		return fmt.Errorf("parse node address: %w", err)
	}
	r := &responder.Responder{
		Service:     s.Service,
		Node:        node,
		Slots:       s.Slots,
		Connections: s.Connections,
		ServiceTime: time.Duration(s.ServiceMicros) * time.Microsecond,
		ColdStart:   time.Duration(s.ColdStartMs) * time.Millisecond,
		ReportLag:   time.Duration(s.ReportLagMs) * time.Millisecond,
		ReportSlots: s.ReportSlots,
		Handles:     s.Handle,
		Crash:       func() { os.Exit(crashExitCode) },
		Client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Connections}},
	}
	return serveUntilDone(ctx, s.Listen, r, r.Limit)
}

// Execute runs the demo and prints a summary.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l := &launcher.Launcher{Bin: c.Bin, Duration: c.Duration, Only: c.Only, Out: os.Stdout}
	return l.Run(ctx)
}

// Execute writes the page and its plots.
func (c *plotCommand) Execute([]string) error {
	raw, err := os.ReadFile(c.Results)
	if err != nil {
		return fmt.Errorf("read results: %w", err)
	}
	var results []plotter.Result
	if err := json.Unmarshal(raw, &results); err != nil {
		return fmt.Errorf("decode results: %w", err)
	}
	return plotter.Write(results, c.Folder)
}

// serveUntilDone serves HTTP until the context is done. If limit is not nil, it
// wraps the listener.
func serveUntilDone(ctx context.Context, address string, handler http.Handler, limit func(net.Listener) net.Listener) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if limit != nil {
		listener = limit(listener)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() {
		// No requests are in progress, since the nodes are stopped first.
		_ = server.Close()
	})
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
