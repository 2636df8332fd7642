package checker

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

const (
	routePrefix        = "route/"
	poolPrefix         = "pool/"
	organisationPrefix = "organisation/"
)

// Rows returns the Config as the rows in which it is spread between nodes.
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

// FromRows rebuilds and checks a Config from its rows.
func FromRows(version uint64, rows map[string][]byte) (*Config, error) {
	var t tables
	for _, key := range sortedKeys(rows) {
		if err := t.decodeRow(key, rows[key]); err != nil {
			return nil, fmt.Errorf("decode row %s: %w", key, err)
		}
	}
	return t.config(version)
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
