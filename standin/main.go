// Command standin takes the place of everything around the nodes: the
// platform, the backend servers and the callers. Tests and the demo use it.
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
	headerTimeout = 5 * time.Second
	crashStatus   = 3
)

type (
	platformCommand struct {
		Tables string        `long:"tables" required:"true" description:"directory of routes.toml, pools.toml, organisations.toml and vms.toml"`
		Listen string        `long:"listen" required:"true" description:"IP address and port"`
		Lag    time.Duration `long:"lag" description:"delay of the VM list"`
	}

	backendCommand struct {
		Config string `long:"config" required:"true" description:"settings of the backend server (TOML)"`
	}

	demoCommand struct {
		Bin      string        `long:"bin" required:"true" description:"directory of the programs"`
		Duration time.Duration `long:"duration" default:"8s" description:"length of the load"`
		Only     string        `long:"only" description:"tatrasound or fuzopont; both if empty"`
	}

	plotCommand struct {
		Results string `long:"results" default:"docs/experiments.json" description:"results of TestExperiments"`
		Folder  string `long:"folder" default:"docs" description:"where the page and the plots go"`
	}

	options struct {
		Platform platformCommand `command:"platform" description:"publish tables and the VM list"`
		Backend  backendCommand  `command:"backend" description:"be a backend server"`
		Demo     demoCommand     `command:"demo" description:"start both deployments, send a load, and stop them"`
		Plot     plotCommand     `command:"plot" description:"write the page of experiments and its plots"`
	}
)

func main() {
	if _, err := flags.NewParser(&options{}, flags.Default).Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

// Execute publishes until SIGTERM.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p := &publisher.Publisher{}
	failed := make(chan error, 1)
	go func() { failed <- serveUntil(ctx, c.Listen, p, nil) }()
	files := &publisher.DirectoryPublisher{Directory: c.Tables, Publisher: p, Lag: c.Lag}
	if err := files.Run(ctx); err != nil {
		return err
	}
	if err := <-failed; err != nil {
		return err
	}
	fmt.Printf("calls answered: %d\n", p.Calls())
	return nil
}

// Execute serves until SIGTERM.
func (c *backendCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var s launcher.BackendSettings
	if _, err := toml.DecodeFile(c.Config, &s); err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	node, err := netip.ParseAddrPort(s.Node)
	if err != nil {
		return fmt.Errorf("parse address of the node: %w", err)
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
		Crash:       func() { os.Exit(crashStatus) },
		Client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Connections}},
	}
	return serveUntil(ctx, s.Listen, r, r.Limit)
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l := &launcher.Launcher{Bin: c.Bin, Duration: c.Duration, Only: c.Only, Out: os.Stdout}
	return l.Run(ctx)
}

// Execute writes the page.
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

// serveUntil serves until the context ends, through limit if it is given.
func serveUntil(ctx context.Context, address string, handler http.Handler, limit func(net.Listener) net.Listener) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if limit != nil {
		listener = limit(listener)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() {
		// Requests being served have ended: the nodes are stopped first.
		_ = s.Close()
	})
	if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
