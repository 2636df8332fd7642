package launcher

import (
	"embed"
	"fmt"
	"path"
	"strings"

	"github.com/BurntSushi/toml"

	"apricotrudder.dev/standin/loadgen"
	"apricotrudder.dev/standin/responder"
)

//go:embed deployments
var deployments embed.FS

type (
	// A Deployment describes the fleet of one user and its load.
	Deployment struct {
		Name         string                `toml:"name"`
		DataCentre   []DataCentre          `toml:"dataCentre"`
		Service      []Service             `toml:"service"`
		Kind         []loadgen.RequestKind `toml:"kind"`
		Organisation []Organisation        `toml:"organisation"`

		routes string
		pools  string
	}

	// A DataCentre is one data centre of a deployment.
	DataCentre struct {
		Name   string `toml:"name"`
		Region string `toml:"region"`
	}

	// A Service is a pool that has one backend server in each data centre.
	Service struct {
		Pool          string             `toml:"pool"`
		Slots         int                `toml:"slots"`
		Connections   int                `toml:"connections"`
		ServiceMicros int                `toml:"serviceMicros"`
		Handle        []responder.Handle `toml:"handle"`
	}

	// An Organisation has a rate limit and generates load.
	Organisation struct {
		Name  string  `toml:"name"`
		Rate  float64 `toml:"rate"`
		Burst float64 `toml:"burst"`
		Send  float64 `toml:"send"` // load in requests per second
	}

	// BackendSettings is the settings file of a simulated backend server.
	BackendSettings struct {
		Service       string             `toml:"service"`
		Listen        string             `toml:"listen"`
		Node          string             `toml:"node"`
		Slots         int                `toml:"slots"`
		Connections   int                `toml:"connections"`
		ServiceMicros int                `toml:"serviceMicros"`
		ColdStartMs   int                `toml:"coldStartMs"`
		ReportLagMs   int                `toml:"reportLagMs"`
		ReportSlots   int                `toml:"reportSlots"` // reported instead of slots
		Handle        []responder.Handle `toml:"handle"`
	}
)

// Names returns the names of the embedded deployments.
func Names() []string {
	return []string{"tatrasound", "fuzopont"}
}

// Load reads an embedded deployment.
func Load(name string) (*Deployment, error) {
	read := func(file string) (string, error) {
		data, err := deployments.ReadFile(path.Join("deployments", name, file))
		if err != nil {
			return "", fmt.Errorf("read deployment %s: %w", name, err)
		}
		return string(data), nil
	}
	d := &Deployment{}
	text, err := read("deployment.toml")
	if err != nil {
		return nil, err
	}
	if _, err := toml.Decode(text, d); err != nil {
		return nil, fmt.Errorf("decode deployment %s: %w", name, err)
	}
	if d.routes, err = read("routes.toml"); err != nil {
		return nil, err
	}
	if d.pools, err = read("pools.toml"); err != nil {
		return nil, err
	}
	return d, nil
}

// organisationsTable returns the table of organisations as TOML, with the digests
// of the given keys.
func (d *Deployment) organisationsTable(digest func(key string) string, keys map[string]string) string {
	var b strings.Builder
	for _, o := range d.Organisation {
		fmt.Fprintf(&b, "[[organisation]]\nname = %q\nrate = %g\nburst = %g\nkeys = [%q]\n\n", o.Name, o.Rate, o.Burst, digest(keys[o.Name]))
	}
	return b.String()
}
