// Command apricotd runs a node. One node runs beside each backend server.
//
// Usage:
//
//	apricotd --config apricotd.toml          run until SIGTERM
//	apricotd --config apricotd.toml --check  check the settings and exit
//	apricotd --version
//
// A change of the settings needs a restart; SIGHUP has no effect.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/certifier"
	"apricotrudder.dev/apricotd/internal/process/loader"
	"apricotrudder.dev/apricotd/internal/process/node"
	"apricotrudder.dev/apricotd/signaler"
)

const (
	release     = "0.1.0"
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file (TOML)"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var o options
	if _, err := flags.NewParser(&o, flags.Default).ParseArgs(args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	if o.Version {
		fmt.Println("apricotd", release)
		return 0
	}
	if o.Config == "" {
		fmt.Fprintln(os.Stderr, "apricotd: option --config is required")
		return exitUsage
	}
	if err := runNode(o); err != nil {
		fmt.Fprintln(os.Stderr, "apricotd:", err)
		return exitFailure
	}
	return 0
}

func runNode(o options) error {
	s, err := loader.Load(o.Config)
	if err != nil {
		return err
	}
	n := &node.Node{Settings: s, Log: newLog(s.Log.Level), Version: release}
	if !s.TLS.IsPlain() {
		n.TLS, err = certifier.Load(s.TLS.Certificate, s.TLS.Key, s.TLS.Authority)
		if err != nil {
			return fmt.Errorf("load TLS files: %w", err)
		}
	}
	if o.Check {
		fmt.Println("settings are valid")
		return nil
	}
	stop, _ := signaler.Catch()
	return n.Run(stop)
}

func newLog(level string) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}
