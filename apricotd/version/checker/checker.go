// Package checker turns the published tables into a Config, or tells why they
// cannot be accepted.
//
// It guarantees that acceptance is a pure function of the three documents: the
// node, apricotctl and every other node reach the same verdict. A Config is
// accepted whole or not at all, and is never changed afterwards, so it may be
// shared between goroutines without locks.
//
// # Usage
//
//	cfg, err := checker.Check(version, checker.Documents{"routes": r, "pools": p, "organisations": o})
//
// Cost is linear in the number of rows. Rows and FromRows translate a Config
// to the rows in which it is spread between nodes and back; FromRows applies
// the same checks.
package checker

import (
	"crypto/sha256"
	"encoding/hex"
	stderrors "errors"
	"fmt"
	"strings"

	"apricotrudder.dev/apricotd/decoder"
)

// The names of the published documents.
const (
	RoutesTable        = "routes"
	PoolsTable         = "pools"
	OrganisationsTable = "organisations"
)

type (
	// Documents are the published tables as TOML text, by name. A table may be
	// published whole, as "routes", or in parts, as "routes/licensing".
	Documents map[string][]byte

	// A KeyDigest is the SHA-256 digest of a caller's key.
	KeyDigest [sha256.Size]byte

	// A Config is one accepted version of the published tables.
	Config struct {
		Version       uint64
		Routes        map[string]*Route
		Pools         map[string]*Pool
		Organisations map[string]*Organisation
		// Keys maps each granted key's digest to its organisation's name.
		Keys map[KeyDigest]string

		patterns map[string]string // shape of a method and path to route
	}

	tables struct {
		routes        []*Route
		pools         []*Pool
		organisations []*Organisation
	}
)

// Digest returns the digest under which a key is published.
func Digest(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// String returns the digest in hexadecimal.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// Check reads and checks the documents. The error joins one *decoder.Error for
// every fault found.
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
	return t.config(version)
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

func (t tables) config(version uint64) (*Config, error) {
	cfg := &Config{
		Version:       version,
		Routes:        make(map[string]*Route, len(t.routes)),
		Pools:         make(map[string]*Pool, len(t.pools)),
		Organisations: make(map[string]*Organisation, len(t.organisations)),
		Keys:          make(map[KeyDigest]string),
		patterns:      make(map[string]string, len(t.routes)),
	}
	f := &faults{}
	t.check(f, cfg)
	if err := stderrors.Join(f.errs...); err != nil {
		return nil, fmt.Errorf("check tables: %w", err)
	}
	return cfg, nil
}

// check adds all rows to a Config.
func (t tables) check(f *faults, cfg *Config) {
	for i, p := range t.pools {
		checkPool(f, p, i, cfg.Pools)
	}
	for i, r := range t.routes {
		checkRoute(f, r, i, cfg, cfg.patterns)
	}
	for i, o := range t.organisations {
		checkOrganisation(f, o, i, cfg)
	}
}

// IsGranted tells whether the key with this digest is granted to the
// organisation.
func (c *Config) IsGranted(digest []byte, organisation string) bool {
	if len(digest) != sha256.Size {
		return false
	}
	holder, ok := c.Keys[KeyDigest(digest)]
	return ok && holder == organisation
}

// A faults value collects every fault, so that an operator mends a table in
// one go.
type faults struct {
	errs []error
}

func (f *faults) add(table, place, key, got, want string) {
	f.errs = append(f.errs, &decoder.Error{
		Document: table,
		Place:    place,
		Key:      key,
		Got:      got,
		Want:     want,
	})
}
