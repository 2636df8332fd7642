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
	// A VM is one row of the VM list.
	VM struct {
		ID         string `toml:"id" json:"id"`
		Region     string `toml:"region" json:"region"`
		DataCentre string `toml:"dataCentre" json:"dataCentre"`
		Pool       string `toml:"pool" json:"pool"`
		Address    string `toml:"address" json:"address"`
		State      string `toml:"state" json:"state"`
	}

	// VMs is the content of vms.toml.
	VMs struct {
		VM []VM `toml:"vm"`
	}

	// Files publishes the files of a directory: vms.toml as the VM list, all
	// other *.toml files as tables. An edited file is published at once, the
	// VM list after Lag.
	Files struct {
		Directory string
		Publisher *Publisher
		Lag       time.Duration

		seen map[string]string
	}
)

// Run publishes the files until the context ends. It fails if the first read
// does; later failures leave the last published values.
func (f *Files) Run(ctx context.Context) error {
	f.seen = make(map[string]string)
	if err := f.scan(ctx); err != nil {
		return fmt.Errorf("publish %s: %w", f.Directory, err)
	}
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// A file may be half written; the next scan finds it whole.
			_ = f.scan(ctx)
		}
	}
}

func (f *Files) scan(ctx context.Context) error {
	paths, err := filepath.Glob(filepath.Join(f.Directory, "*"+tableSuffix))
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
		if f.seen[name] != string(data) {
			f.seen[name] = string(data)
			changed[name] = string(data)
		}
	}
	return f.publish(ctx, changed)
}

// publish makes one version of all tables that changed together.
func (f *Files) publish(ctx context.Context, changed map[string]string) error {
	if text, ok := changed[vmsFile]; ok {
		delete(changed, vmsFile)
		if err := f.publishVMs(ctx, text); err != nil {
			return err
		}
	}
	if len(changed) == 0 {
		return nil
	}
	f.Publisher.Update(configFolder, func(values map[string]string) {
		for name, text := range changed {
			values[strings.TrimSuffix(name, tableSuffix)] = text
		}
	})
	return nil
}

func (f *Files) publishVMs(ctx context.Context, text string) error {
	var list VMs
	if _, err := toml.Decode(text, &list); err != nil {
		return fmt.Errorf("read %s: %w", vmsFile, err)
	}
	if err := pause(ctx, f.Lag); err != nil {
		return err
	}
	PublishVMs(f.Publisher, list.VM)
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
