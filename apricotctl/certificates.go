package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"apricotrudder.dev/apricotd/certifier"
)

type certificatesCommand struct {
	Out      string        `long:"out" required:"true" value-name:"DIR" description:"directory for the PEM files"`
	Validity time.Duration `long:"validity" default:"8760h" description:"how long the certificates are valid"`
	Args     struct {
		VMs []string `positional-arg-name:"VM" required:"1"`
	} `positional-args:"true"`
}

// Execute creates a new certificate authority and one certificate for each VM.
// The authority's private key is not stored, so every run creates a new
// authority.
func (c *certificatesCommand) Execute([]string) error {
	authority, err := certifier.NewAuthority(time.Now(), c.Validity)
	if err != nil {
		return fmt.Errorf("make authority: %w", err)
	}
	if err := c.write("authority.pem", authority.PEM); err != nil {
		return err
	}
	for _, vm := range c.Args.VMs {
		certificate, key, err := authority.Issue(vm, time.Now(), c.Validity)
		if err != nil {
			return fmt.Errorf("issue certificate: %w", err)
		}
		if err := c.write(vm+".pem", certificate); err != nil {
			return err
		}
		if err := c.write(vm+".key", key); err != nil {
			return err
		}
	}
	return nil
}

func (c *certificatesCommand) write(name string, data []byte) error {
	if err := os.WriteFile(filepath.Join(c.Out, name), data, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}
