package checker

import (
	"encoding/hex"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"maps"
	"sort"
	"strings"
)

const (
	routePrefix        = "route/"
	poolPrefix         = "pool/"
	organisationPrefix = "organisation/"
)

// Rows returns the Config as the rows that nodes replicate, by key.
func (c *Config) Rows() (map[string][]byte, error) {
	rows := make(map[string][]byte, len(c.Routes)+len(c.Pools)+len(c.Organisations))
	for name, r := range c.Routes {
		if err := addRow(rows, routePrefix+name, r); err != nil {
			return nil, err
		}
	}
	for name, p := range c.Pools {
		if err := addRow(rows, poolPrefix+name, p); err != nil {
			return nil, err
		}
	}
	for name, o := range c.Organisations {
		if err := addRow(rows, organisationPrefix+name, o); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func addRow(rows map[string][]byte, key string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %s: %w", key, err)
	}
	rows[key] = data
	return nil
}

// FromRows decodes and validates a Config from its rows.
func FromRows(version uint64, rows map[string][]byte) (*Config, error) {
	var t tables
	for _, key := range sortedKeys(rows) {
		if err := t.decodeRow(key, rows[key]); err != nil {
			return nil, fmt.Errorf("decode row %s: %w", key, err)
		}
	}
	return t.newConfig(version)
}

// WithChanges returns the Config of a later version, with the changed rows added
// or replaced and the removed keys deleted. It succeeds exactly if FromRows
// succeeds on the resulting rows, but only copies the maps and validates the
// changed rows and the routes' references to pools. A nil c has no rows.
func (c *Config) WithChanges(version uint64, changed map[string][]byte, removed []string) (*Config, error) {
	if c == nil {
		return FromRows(version, changed)
	}
	next := &Config{
		Version:       version,
		Routes:        maps.Clone(c.Routes),
		Pools:         maps.Clone(c.Pools),
		Organisations: maps.Clone(c.Organisations),
		Keys:          maps.Clone(c.Keys),
		patterns:      maps.Clone(c.patterns),
	}
	for _, key := range removed {
		next.remove(key)
	}
	var t tables
	for _, key := range sortedKeys(changed) {
		next.remove(key)
		if err := t.decodeRow(key, changed[key]); err != nil {
			return nil, fmt.Errorf("decode row %s: %w", key, err)
		}
	}
	errs := &errorList{}
	t.addTo(errs, next)
	next.checkPoolReferences(errs)
	if err := stderrors.Join(errs.list...); err != nil {
		return nil, fmt.Errorf("check rows: %w", err)
	}
	return next, nil
}

// remove deletes a row and the index entries derived from it.
func (c *Config) remove(key string) {
	table, name, _ := strings.Cut(key, "/")
	switch table + "/" {
	case routePrefix:
		if r := c.Routes[name]; r != nil {
			delete(c.patterns, r.Method+" "+canonicalPattern(r.Path))
			delete(c.Routes, name)
		}
	case poolPrefix:
		delete(c.Pools, name)
	case organisationPrefix:
		c.removeKeys(name)
		delete(c.Organisations, name)
	}
}

func (c *Config) removeKeys(organisation string) {
	o := c.Organisations[organisation]
	if o == nil {
		return
	}
	for _, hexDigest := range o.Keys {
		var d KeyDigest
		if _, err := hex.Decode(d[:], []byte(hexDigest)); err == nil {
			delete(c.Keys, d)
		}
	}
}

// checkPoolReferences reports routes whose pool does not exist. Routes that have
// not changed are included because their pool may have been removed.
func (c *Config) checkPoolReferences(errs *errorList) {
	for name, r := range c.Routes {
		if _, ok := c.Pools[r.Pool]; !ok {
			errs.add(RoutesTable, fmt.Sprintf("route %q", name), "pool", fmt.Sprintf("%q", r.Pool), "the name of a pool in the pools table")
		}
	}
}

func (t *tables) decodeRow(key string, data []byte) error {
	switch {
	case strings.HasPrefix(key, routePrefix):
		r := &Route{}
		t.routes = append(t.routes, r)
		return json.Unmarshal(data, r)
	case strings.HasPrefix(key, poolPrefix):
		p := &Pool{}
		t.pools = append(t.pools, p)
		return json.Unmarshal(data, p)
	case strings.HasPrefix(key, organisationPrefix):
		o := &Organisation{}
		t.organisations = append(t.organisations, o)
		return json.Unmarshal(data, o)
	}
	return fmt.Errorf("got row key %q, want a route, pool or organisation", key)
}

func sortedKeys(rows map[string][]byte) []string {
	keys := make([]string, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
