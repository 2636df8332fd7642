// Package loader reads and validates the node's settings file.
//
// It returns settings that are complete and well-formed, or an error that names
// the file, the key, the value found and the value expected. The settings file
// holds what is fixed while the process runs, such as its addresses and data
// centre; everything that may change comes from the published tables.
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
	// Settings is the decoded settings file.
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

	// Listen holds the addresses on which the node accepts connections.
	Listen struct {
		Callers   netip.AddrPort `toml:"callers"`
		Backend   netip.AddrPort `toml:"backend"`
		Peers     netip.AddrPort `toml:"peers"`
		Operators netip.AddrPort `toml:"operators"`
	}

	// Backend describes the node's own backend server.
	Backend struct {
		Address       netip.AddrPort   `toml:"address"`
		ProbeInterval decoder.Duration `toml:"probeInterval"`
	}

	// Platform holds the addresses of the platform's configuration service.
	Platform struct {
		Addresses []netip.AddrPort `toml:"addresses"`
		Timeout   decoder.Duration `toml:"timeout"`
	}

	// TLS holds the paths of the PEM files for mutual authentication between
	// nodes. If all are empty, nodes use unencrypted HTTP/2, and
	// Listen.Peers must be a loopback address.
	TLS struct {
		Certificate string `toml:"certificate"`
		Key         string `toml:"key"`
		Authority   string `toml:"authority"`
	}

	// Limits bounds the resources that one caller can occupy.
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

// IsPlain reports whether connections between nodes are unencrypted.
func (t TLS) IsPlain() bool {
	return t == TLS{}
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and validates settings. Errors refer to them by the name document.
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
	addError := func(key, got, want string) {
		errs = append(errs, &decoder.Error{Document: document, Key: key, Got: got, Want: want})
	}
	if !vmPattern.MatchString(s.VM) {
		addError("vm", fmt.Sprintf("%q", s.VM), "a host name of lower-case letters, digits, '-' and '.'")
	}
	for _, f := range []struct{ key, value string }{
		{"region", s.Region}, {"dataCentre", s.DataCentre}, {"pool", s.Pool},
	} {
		if f.value == "" {
			addError(f.key, "nothing", "a name")
		}
	}
	s.checkAddresses(addError)
	s.checkTLS(addError)
	if s.Backend.ProbeInterval < 0 {
		addError("backend.probeInterval", time.Duration(s.Backend.ProbeInterval).String(), "a duration above 0s")
	}
	if n := s.Limits.HeaderBytes; n < minHeaderBytes || n > maxHeaderBytes {
		addError("limits.headerBytes", fmt.Sprint(n), fmt.Sprintf("%d to %d", minHeaderBytes, maxHeaderBytes))
	}
	switch s.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		addError("log.level", fmt.Sprintf("%q", s.Log.Level), `"debug", "info", "warning" or "error"`)
	}
	return stderrors.Join(errs...)
}

func (s *Settings) checkAddresses(addError func(key, got, want string)) {
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
			addError(a.key, "nothing", want)
		}
	}
	if len(s.Platform.Addresses) == 0 {
		addError("platform.addresses", "none", "at least one IP address and port")
	}
	if a := s.Listen.Backend; a.IsValid() && !a.Addr().IsLoopback() {
		addError("listen.backend", a.String(), "a loopback address, because only the node's own backend server may use this listener")
	}
}

func (s *Settings) checkTLS(addError func(key, got, want string)) {
	if s.TLS.IsPlain() {
		if a := s.Listen.Peers; a.IsValid() && !a.Addr().IsLoopback() {
			addError("tls", "nothing", "certificate, key and authority, because listen.peers is not a loopback address")
		}
		return
	}
	for _, f := range []struct{ key, value string }{
		{"tls.certificate", s.TLS.Certificate}, {"tls.key", s.TLS.Key}, {"tls.authority", s.TLS.Authority},
	} {
		if f.value == "" {
			addError(f.key, "nothing", "the path of a PEM file")
		}
	}
}
