package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	tableSuffix  = ".toml"
	vmsFile      = "vms.toml"
	configFolder = "config"
	vmsFolder    = "vms"
	scanInterval = 200 * time.Millisecond
)

type (
	// A VM is one entry of the VM list.
	VM struct {
		ID         string `toml:"id" json:"id"`
		Region     string `toml:"region" json:"region"`
		DataCentre string `toml:"dataCentre" json:"dataCentre"`
		Pool       string `toml:"pool" json:"pool"`
		Address    string `toml:"address" json:"address"`
		State      string `toml:"state" json:"state"`
	}

	// A VMList is the content of vms.toml.
	VMList struct {
		VM []VM `toml:"vm"`
	}

	// A DirectoryPublisher publishes the files of a directory: vms.toml as the
	// VM list and all other *.toml files as tables. It publishes a file again
	// when it changes. The VM list is published after a delay of Lag.
	DirectoryPublisher struct {
		Directory string
		Publisher *Publisher
		Lag       time.Duration

		lastRead map[string]string // content by file name
	}
)

// Run publishes the files until the context is done. It returns an error if the
// first scan fails. After an error in a later scan, the last published values
// stay in place.
func (d *DirectoryPublisher) Run(ctx context.Context) error {
	d.lastRead = make(map[string]string)
	if err := d.scan(ctx); err != nil {
		return fmt.Errorf("publish %s: %w", d.Directory, err)
	}
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// A scan may read a partially written file; the next one reads it again.
			_ = d.scan(ctx)
		}
	}
}

func (d *DirectoryPublisher) scan(ctx context.Context) error {
	paths, err := filepath.Glob(filepath.Join(d.Directory, "*"+tableSuffix))
	if err != nil {
		return fmt.Errorf("list tables: %w", err)
	}
	changed := make(map[string]string)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read table: %w", err)
		}
		name := filepath.Base(path)
		if d.lastRead[name] != string(data) {
			d.lastRead[name] = string(data)
			changed[name] = string(data)
		}
	}
	return d.publish(ctx, changed)
}

// publish publishes all changed tables as one version.
func (d *DirectoryPublisher) publish(ctx context.Context, changed map[string]string) error {
	if text, ok := changed[vmsFile]; ok {
		delete(changed, vmsFile)
		if err := d.publishVMs(ctx, text); err != nil {
			return err
		}
	}
	if len(changed) == 0 {
		return nil
	}
	d.Publisher.Update(configFolder, func(values map[string]string) {
		for name, text := range changed {
			values[strings.TrimSuffix(name, tableSuffix)] = text
		}
	})
	return nil
}

func (d *DirectoryPublisher) publishVMs(ctx context.Context, text string) error {
	var list VMList
	if _, err := toml.Decode(text, &list); err != nil {
		return fmt.Errorf("read %s: %w", vmsFile, err)
	}
	if err := sleep(ctx, d.Lag); err != nil {
		return err
	}
	PublishVMs(d.Publisher, list.VM)
	return nil
}

// PublishVMs publishes a VM list.
func PublishVMs(p *Publisher, vms []VM) {
	p.Update(vmsFolder, func(values map[string]string) {
		clear(values)
		for _, vm := range vms {
			data, err := json.Marshal(vm)
			if err != nil {
				panic(fmt.Sprintf("encode VM: %v", err))
			}
			values[vm.ID] = string(data)
		}
	})
}
