package spreader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/forwarder"
)

// The folders that the platform publishes.
const (
	ConfigFolder Folder = "config"
	VMsFolder    Folder = "vms"
)

const maxPlatformAnswer = 64 << 20 // bytes

type (
	// A Folder names a set of values that is read in one call, at one version.
	Folder string

	// A Change leads from one version of a folder to a later one.
	Change struct {
		// From is 0 when Values holds the whole folder.
		From    uint64            `json:"from"`
		Version uint64            `json:"version"`
		Values  map[string]string `json:"values,omitempty"`
		Removed []string          `json:"removed,omitempty"`
	}

	// A Platform is the configuration service. It can only be read.
	Platform interface {
		// Read returns what changed in a folder after a version. It waits up
		// to wait for a change and returns the same version if there is none.
		Read(ctx context.Context, folder Folder, after uint64, wait time.Duration) (*Change, error)
	}

	// An HTTPPlatform reads the configuration service over HTTP.
	HTTPPlatform struct {
		Addresses []netip.AddrPort
		Timeout   time.Duration // beyond the wait
		// Dial opens connections; nil means TCP.
		Dial forwarder.Dialer

		client  *http.Client
		current atomic.Uint32 // index of the address that last answered
	}
)

var _ Platform = (*HTTPPlatform)(nil)

// Start prepares the client.
func (p *HTTPPlatform) Start() {
	if p.Dial == nil {
		p.Dial = forwarder.DialTCP
	}
	p.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, hostPort string) (net.Conn, error) {
			address, err := netip.ParseAddrPort(hostPort)
			if err != nil {
				return nil, fmt.Errorf("parse platform address: %w", err)
			}
			return p.Dial(ctx, address)
		},
	}}
}

// Close closes idle connections.
func (p *HTTPPlatform) Close() {
	p.client.CloseIdleConnections()
}

// Read implements Platform. After a failure the next call tries the next
// address.
func (p *HTTPPlatform) Read(ctx context.Context, folder Folder, after uint64, wait time.Duration) (*Change, error) {
	i := p.current.Load()
	change, err := p.read(ctx, p.Addresses[int(i)%len(p.Addresses)], folder, after, wait)
	if err != nil {
		p.current.CompareAndSwap(i, i+1)
		return nil, fmt.Errorf("read folder %s: %w", folder, err)
	}
	return change, nil
}

func (p *HTTPPlatform) read(ctx context.Context, address netip.AddrPort, folder Folder, after uint64, wait time.Duration) (*Change, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout+wait)
	defer cancel()
	query := url.Values{
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	target := url.URL{Scheme: "http", Host: address.String(), Path: "/v1/folders/" + string(folder), RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call platform: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("call platform: got status %d, want 200", response.StatusCode)
	}
	change := &Change{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPlatformAnswer)).Decode(change); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return change, nil
}
