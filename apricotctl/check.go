package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"apricotrudder.dev/apricotd/version/checker"
)

type checkCommand struct {
	Args struct {
		Tables []string `positional-arg-name:"TABLE" required:"1" description:"routes.toml, pools.toml, organisations.toml, or parts such as routes.licensing.toml"`
	} `positional-args:"true"`
}

// Execute validates the tables as one configuration.
func (c *checkCommand) Execute([]string) error {
	docs := make(checker.Documents)
	for _, path := range c.Args.Tables {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read table: %w", err)
		}
		docs[tableName(path)] = data
	}
	cfg, err := checker.Check(0, docs)
	if err != nil {
		return err
	}
	fmt.Printf("tables are valid: %d routes, %d pools, %d organisations, %d keys\n",
		len(cfg.Routes), len(cfg.Pools), len(cfg.Organisations), len(cfg.Keys))
	return nil
}

// tableName returns the name under which the table in a file is published.
func tableName(path string) string {
	name := strings.TrimSuffix(filepath.Base(path), ".toml")
	return strings.Replace(name, ".", "/", 1)
}
