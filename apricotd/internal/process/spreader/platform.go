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

// The folders of the platform's configuration service.
const (
	ConfigFolder Folder = "config"
	VMsFolder    Folder = "vms"
)

const (
	maxResponseBytes = 64 << 20
	// versionsPerEra is the number of versions that fit into one era; a decimal power,
	// so that both parts of a version are readable.
	versionsPerEra = 1_000_000_000_000
	// maxEra keeps versions within 64 bits.
	maxEra = 10_000_000
	// maxEraStep is the greatest credible rise of the era between two versions.
	maxEraStep = 1000
)

type (
	// A Folder is the name of a set of values that is read in one call and has
	// one version.
	Folder string

	// A Change is the difference between two versions of a folder.
	Change struct {
		// From is the version that the change applies to. It is 0 if Values
		// holds the whole folder.
		From    uint64 `json:"from"`
		Version uint64 `json:"version"`
		// Era is the era in which Version was written. A platform that is restored
		// from a copy begins a new one, as the copy's versions are given out again.
		Era     uint64            `json:"era"`
		Values  map[string]string `json:"values,omitempty"`
		Removed []string          `json:"removed,omitempty"`
	}

	// A Position is the version of a folder as the platform states it.
	Position struct {
		Era     uint64
		Version uint64
	}

	// A Platform is a read-only client of the configuration service.
	Platform interface {
		// Read returns the changes of a folder after the given version. If
		// there are none, it waits for one, for at most wait, and then returns
		// a Change with the same version.
		Read(ctx context.Context, folder Folder, after Position, wait time.Duration) (*Change, error)
	}

	// An HTTPPlatform is a Platform that uses HTTP.
	HTTPPlatform struct {
		Addresses []netip.AddrPort
		Timeout   time.Duration // of a call, in addition to the wait of a long poll
		// Dial opens connections. If it is nil, TCP is used.
		Dial forwarder.Dialer

		client  *http.Client
		current atomic.Uint32 // index of the address in use, modulo len(Addresses)
	}
)

var _ Platform = (*HTTPPlatform)(nil)

// version returns the number by which nodes order what the platform has published:
// first by era, then by the platform's version. Versions of the first era, 0, are
// the platform's own, which is all that nodes and platforms without eras know.
func (p Position) version() (uint64, error) {
	switch {
	case p.Era == 0:
		return p.Version, nil
	case p.Era > maxEra:
		return 0, fmt.Errorf("got era %d, want at most %d", p.Era, uint64(maxEra))
	case p.Version >= versionsPerEra:
		return 0, fmt.Errorf("got version %d in era %d, want a lower one than %d", p.Version, p.Era, uint64(versionsPerEra))
	}
	return p.Era*versionsPerEra + p.Version, nil
}

// Start creates the HTTP client. It must be called before Read.
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

// Read implements Platform. If a call fails, the next one uses the next address.
func (p *HTTPPlatform) Read(ctx context.Context, folder Folder, after Position, wait time.Duration) (*Change, error) {
	i := p.current.Load()
	change, err := p.read(ctx, p.Addresses[int(i)%len(p.Addresses)], folder, after, wait)
	if err != nil {
		p.current.CompareAndSwap(i, i+1)
		return nil, fmt.Errorf("read folder %s: %w", folder, err)
	}
	return change, nil
}

func (p *HTTPPlatform) read(ctx context.Context, address netip.AddrPort, folder Folder, after Position, wait time.Duration) (*Change, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout+wait)
	defer cancel()
	query := url.Values{
		"after":  {strconv.FormatUint(after.Version, 10)},
		"era":    {strconv.FormatUint(after.Era, 10)},
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(change); err != nil {
		return nil, fmt.Errorf("decode platform response: %w", err)
	}
	return change, nil
}
