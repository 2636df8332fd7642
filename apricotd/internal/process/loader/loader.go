// Package loader reads the node's settings file.
//
// It guarantees that the settings are complete and well-formed, or that the
// error names the file, the key, what was found and what was wanted. A process
// learns its addresses and data centre from here; everything that may change
// while it runs comes from the published tables instead.
//
// # Usage
//
//	s, err := loader.Load("apricotd.toml")
package loader

import (
	stderrors "errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"apricotrudder.dev/apricotd/decoder"
)

const (
	defaultProbeInterval   = 500 * time.Millisecond
	defaultPlatformTimeout = 500 * time.Millisecond
	defaultHeaderBytes     = 16 << 10
	defaultDrainTimeout    = 30 * time.Second
	minHeaderBytes         = 1 << 10
	maxHeaderBytes         = 1 << 20
)

type (
	// Settings is the content of the settings file.
	Settings struct {
		VM         string   `toml:"vm"`
		Region     string   `toml:"region"`
		DataCentre string   `toml:"dataCentre"`
		Pool       string   `toml:"pool"`
		Listen     Listen   `toml:"listen"`
		Backend    Backend  `toml:"backend"`
		Platform   Platform `toml:"platform"`
		TLS        TLS      `toml:"tls"`
		Limits     Limits   `toml:"limits"`
		Log        Log      `toml:"log"`
	}

	// Listen holds the addresses on which the node serves.
	Listen struct {
		Callers   netip.AddrPort `toml:"callers"`
		Backend   netip.AddrPort `toml:"backend"`
		Peers     netip.AddrPort `toml:"peers"`
		Operators netip.AddrPort `toml:"operators"`
	}

	// Backend tells where the node's own backend server is.
	Backend struct {
		Address       netip.AddrPort   `toml:"address"`
		ProbeInterval decoder.Duration `toml:"probeInterval"`
	}

	// Platform tells where the platform's configuration service is.
	Platform struct {
		Addresses []netip.AddrPort `toml:"addresses"`
		Timeout   decoder.Duration `toml:"timeout"`
	}

	// TLS names the PEM files with which nodes authenticate one another.
	// Without them nodes speak plain HTTP/2 and refuse to serve peers on any
	// address but loopback.
	TLS struct {
		Certificate string `toml:"certificate"`
		Key         string `toml:"key"`
		Authority   string `toml:"authority"`
	}

	// Limits bounds what one caller may make the node hold.
	Limits struct {
		HeaderBytes  int              `toml:"headerBytes"`
		DrainTimeout decoder.Duration `toml:"drainTimeout"`
	}

	// Log sets the log level: "debug", "info", "warning" or "error".
	Log struct {
		Level string `toml:"level"`
	}
)

var vmPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// IsPlain tells whether nodes speak without TLS.
func (t TLS) IsPlain() bool {
	return t == TLS{}
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse checks settings that are already read; document names them in errors.
func Parse(document string, data []byte) (*Settings, error) {
	s := &Settings{}
	if err := decoder.Decode(document, data, s); err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s.setDefaults()
	if err := s.check(document); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	if s.Backend.ProbeInterval == 0 {
		s.Backend.ProbeInterval = decoder.Duration(defaultProbeInterval)
	}
	if s.Platform.Timeout == 0 {
		s.Platform.Timeout = decoder.Duration(defaultPlatformTimeout)
	}
	if s.Limits.HeaderBytes == 0 {
		s.Limits.HeaderBytes = defaultHeaderBytes
	}
	if s.Limits.DrainTimeout == 0 {
		s.Limits.DrainTimeout = decoder.Duration(defaultDrainTimeout)
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
}

func (s *Settings) check(document string) error {
	var errs []error
	fault := func(key, got, want string) {
		errs = append(errs, &decoder.Error{Document: document, Key: key, Got: got, Want: want})
	}
	if !vmPattern.MatchString(s.VM) {
		fault("vm", fmt.Sprintf("%q", s.VM), "a host name of lower-case letters, digits, '-' and '.'")
	}
	for _, f := range []struct{ key, value string }{
		{"region", s.Region}, {"dataCentre", s.DataCentre}, {"pool", s.Pool},
	} {
		if f.value == "" {
			fault(f.key, "nothing", "a name")
		}
	}
	s.checkAddresses(fault)
	s.checkTLS(fault)
	if s.Backend.ProbeInterval < 0 {
		fault("backend.probeInterval", time.Duration(s.Backend.ProbeInterval).String(), "a duration above 0s")
	}
	if n := s.Limits.HeaderBytes; n < minHeaderBytes || n > maxHeaderBytes {
		fault("limits.headerBytes", fmt.Sprint(n), fmt.Sprintf("%d to %d", minHeaderBytes, maxHeaderBytes))
	}
	switch s.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		fault("log.level", fmt.Sprintf("%q", s.Log.Level), `"debug", "info", "warning" or "error"`)
	}
	return stderrors.Join(errs...)
}

func (s *Settings) checkAddresses(fault func(key, got, want string)) {
	const want = `an IP address and port such as "127.0.0.1:7001"`
	for _, a := range []struct {
		key     string
		address netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers},
		{"listen.backend", s.Listen.Backend},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
		{"backend.address", s.Backend.Address},
	} {
		if !a.address.IsValid() {
			fault(a.key, "nothing", want)
		}
	}
	if len(s.Platform.Addresses) == 0 {
		fault("platform.addresses", "none", "at least one IP address and port")
	}
	if a := s.Listen.Backend; a.IsValid() && !a.Addr().IsLoopback() {
		fault("listen.backend", a.String(), "a loopback address, since only the own backend server may use it")
	}
}

func (s *Settings) checkTLS(fault func(key, got, want string)) {
	if s.TLS.IsPlain() {
		if a := s.Listen.Peers; a.IsValid() && !a.Addr().IsLoopback() {
			fault("tls", "nothing", "certificate, key and authority, since listen.peers is not a loopback address")
		}
		return
	}
	for _, f := range []struct{ key, value string }{
		{"tls.certificate", s.TLS.Certificate}, {"tls.key", s.TLS.Key}, {"tls.authority", s.TLS.Authority},
	} {
		if f.value == "" {
			fault(f.key, "nothing", "the path of a PEM file")
		}
	}
}
