// Package checker decodes and validates the published tables.
//
// Validation is a pure function of the published documents, so all nodes and
// apricotctl accept or reject the same tables. Tables are accepted as a whole or
// not at all. A Config is immutable and safe for concurrent use.
//
// # Usage
//
//	cfg, err := checker.Check(version, checker.Documents{"routes": r, "pools": p, "organisations": o})
//
// Cost is linear in the number of rows. Rows and FromRows convert a Config to and
// from the rows that nodes replicate; FromRows applies the same checks.
package checker

import (
	"crypto/sha256"
	"encoding/hex"
	stderrors "errors"
	"fmt"
	"strings"

	"apricotrudder.dev/apricotd/decoder"
)

// Names of the published tables.
const (
	RoutesTable        = "routes"
	PoolsTable         = "pools"
	OrganisationsTable = "organisations"
)

type (
	// Documents maps names to published tables in TOML. A table may be published
	// as one document, such as "routes", or in parts, such as "routes/licensing".
	Documents map[string][]byte

	// A KeyDigest is the SHA-256 digest of an organisation's key.
	KeyDigest [sha256.Size]byte

	// A Config is one validated version of the published tables.
	Config struct {
		Version       uint64
		Routes        map[string]*Route
		Pools         map[string]*Pool
		Organisations map[string]*Organisation
		// Keys maps the digest of each key to the name of its organisation.
		Keys map[KeyDigest]string

		patterns map[string]string // canonical method and path to route name
	}

	tables struct {
		routes        []*Route
		pools         []*Pool
		organisations []*Organisation
	}
)

// Digest returns the digest of a key, as published in the organisations table.
func Digest(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// String returns the digest in hexadecimal.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// Check decodes and validates the documents. The error joins a *decoder.Error for
// each problem found.
func Check(version uint64, docs Documents) (*Config, error) {
	var (
		t    tables
		errs []error
	)
	for _, name := range sortedKeys(docs) {
		errs = append(errs, t.decode(name, docs[name]))
	}
	if err := stderrors.Join(errs...); err != nil {
		return nil, fmt.Errorf("read tables: %w", err)
	}
	return t.newConfig(version)
}

func (t *tables) decode(name string, data []byte) error {
	table, _, _ := strings.Cut(name, "/")
	switch table {
	case RoutesTable:
		var doc struct {
			Route []*Route `toml:"route"`
		}
		err := decoder.Decode(name, data, &doc)
		t.routes = append(t.routes, doc.Route...)
		return err
	case PoolsTable:
		var doc struct {
			Pool []*Pool `toml:"pool"`
		}
		err := decoder.Decode(name, data, &doc)
		t.pools = append(t.pools, doc.Pool...)
		return err
	case OrganisationsTable:
		var doc struct {
			Organisation []*Organisation `toml:"organisation"`
		}
		err := decoder.Decode(name, data, &doc)
		t.organisations = append(t.organisations, doc.Organisation...)
		return err
	}
	return &decoder.Error{
		Document: name,
		Got:      "an unknown table",
		Want:     "routes, pools or organisations, or a part such as routes/licensing",
	}
}

func (t tables) newConfig(version uint64) (*Config, error) {
	cfg := &Config{
		Version:       version,
		Routes:        make(map[string]*Route, len(t.routes)),
		Pools:         make(map[string]*Pool, len(t.pools)),
		Organisations: make(map[string]*Organisation, len(t.organisations)),
		Keys:          make(map[KeyDigest]string),
		patterns:      make(map[string]string, len(t.routes)),
	}
	errs := &errorList{}
	t.addTo(errs, cfg)
	if err := stderrors.Join(errs.list...); err != nil {
		return nil, fmt.Errorf("check tables: %w", err)
	}
	return cfg, nil
}

// addTo validates all rows and adds them to a Config.
func (t tables) addTo(errs *errorList, cfg *Config) {
	for i, p := range t.pools {
		checkPool(errs, p, i, cfg.Pools)
	}
	for i, r := range t.routes {
		checkRoute(errs, r, i, cfg, cfg.patterns)
	}
	for i, o := range t.organisations {
		checkOrganisation(errs, o, i, cfg)
	}
}

// IsGranted reports whether the key with the given digest belongs to the
// organisation.
func (c *Config) IsGranted(digest []byte, organisation string) bool {
	if len(digest) != sha256.Size {
		return false
	}
	holder, ok := c.Keys[KeyDigest(digest)]
	return ok && holder == organisation
}

// An errorList collects all problems in the tables, so that an operator can fix
// them in one pass.
type errorList struct {
	list []error
}

func (l *errorList) add(table, position, key, got, want string) {
	l.list = append(l.list, &decoder.Error{
		Document: table,
		Position: position,
		Key:      key,
		Got:      got,
		Want:     want,
	})
}
