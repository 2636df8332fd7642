package spreader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/locator"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

// The size of the target deployment.
const (
	targetVMs           = 31_000
	targetPools         = 1_100
	targetRoutes        = 5_500
	targetOrganisations = 3_000
)

func vmRows(n int) map[string][]byte {
	rows := make(map[string][]byte, n)
	for i := range n {
		vm := locator.VM{
			ID:         fmt.Sprintf("region%d-dc%d-service%04d-%d", i%6, i%18, i%targetPools, i),
			Region:     fmt.Sprintf("region%d", i%6),
			DataCentre: fmt.Sprintf("region%d-dc%d", i%6, i%18),
			Pool:       fmt.Sprintf("service%04d", i%targetPools),
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7003),
			State:      locator.Live,
		}
		data, err := json.Marshal(vm)
		if err != nil {
			panic(err)
		}
		rows[vm.ID] = data
	}
	return rows
}

func configRows() map[string][]byte {
	cfg := &checker.Config{
		Routes:        make(map[string]*checker.Route),
		Pools:         make(map[string]*checker.Pool),
		Organisations: make(map[string]*checker.Organisation),
	}
	for i := range targetPools {
		name := fmt.Sprintf("service%04d", i)
		cfg.Pools[name] = &checker.Pool{Name: name, Slots: 35, Connections: 300, CrossRegion: checker.CrossRegionNever}
	}
	for i := range targetRoutes {
		name := fmt.Sprintf("route%04d", i)
		cfg.Routes[name] = &checker.Route{
			Name: name, Method: "GET", Path: fmt.Sprintf("/service%04d/kind%d/{id}", i%targetPools, i),
			Pool: fmt.Sprintf("service%04d", i%targetPools), Access: checker.AccessKey,
			WhenStale: checker.StaleRefuse, Idempotent: true, Timeout: 1e9,
		}
	}
	for i := range targetOrganisations {
		name := fmt.Sprintf("organisation%04d", i)
		cfg.Organisations[name] = &checker.Organisation{
			Name: name, Rate: 100, Burst: 50, Keys: []string{checker.Digest(name).String()},
		}
	}
	rows, err := cfg.Rows()
	if err != nil {
		panic(err)
	}
	return rows
}

func newTestSpreader() *Spreader {
	s := &Spreader{
		Self:     locator.VM{ID: "region0-dc0-service0000-0", DataCentre: "region0-dc0"},
		Audit:    &auditor.Auditor{},
		OnConfig: func(*checker.Config) {},
		OnVMs:    func(*locator.List, []string) {},
	}
	s.init()
	return s
}

func (s *Spreader) mustInstallVMs(version uint64, rows map[string][]byte) {
	if !s.installVMDelta(s.vms.diff(version, rows), "test") {
		panic("VM list rejected")
	}
}

// BenchmarkVMChange measures the cost of applying a change of one row of the VM
// list at several sizes, including everything that is computed from the list.
func BenchmarkVMChange(b *testing.B) {
	for _, n := range []int{1_000, 10_000, targetVMs} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s := newTestSpreader()
			rows := vmRows(n)
			s.mustInstallVMs(1, rows)
			ring := sharder.New(s.list)
			s.OnVMs = func(l *locator.List, changed []string) { ring = ring.WithChanges(l, changed) }
			self := rows[s.Self.ID]
			leaving := bytes.Replace(self, []byte("live"), []byte("leaving"), 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				value := [][]byte{self, leaving}[i%2]
				sum := s.vms.digest
				sum.toggle(s.Self.ID, s.vms.rows[s.Self.ID])
				sum.toggle(s.Self.ID, value)
				d := &peerwire.Delta{
					FromVersion: s.vms.version,
					ToVersion:   s.vms.version + 1,
					Rows:        []*peerwire.Row{{Key: s.Self.ID, Value: value}},
					Digest:      sum[:],
				}
				if !s.installVMDelta(d, "test") {
					b.Fatal("change rejected")
				}
			}
		})
	}
}

// BenchmarkConfigChange measures the cost of applying a change of one row of the
// tables at the target size.
func BenchmarkConfigChange(b *testing.B) {
	s := newTestSpreader()
	rows := configRows()
	if !s.installConfigDelta(s.config.diff(1, rows), "test") {
		b.Fatal("tables rejected")
	}
	b.ReportAllocs()
	for i := uint64(2); b.Loop(); i++ {
		o := &checker.Organisation{Name: "organisation0000", Rate: float64(i % 100), Burst: 50}
		data, err := json.Marshal(o)
		if err != nil {
			b.Fatal(err)
		}
		key := "organisation/organisation0000"
		sum := s.config.digest
		sum.toggle(key, s.config.rows[key])
		sum.toggle(key, data)
		d := &peerwire.Delta{
			FromVersion: s.config.version,
			ToVersion:   i,
			Rows:        []*peerwire.Row{{Key: key, Value: data}},
			Digest:      sum[:],
		}
		if !s.installConfigDelta(d, "test") {
			b.Fatal("change rejected")
		}
	}
}

// BenchmarkMemory reports the heap memory that the VM list and the tables take up at
// the target size.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		s := newTestSpreader()
		var ring *sharder.Sharder
		s.OnVMs = func(l *locator.List, _ []string) { ring = sharder.New(l) }
		s.mustInstallVMs(1, vmRows(targetVMs))
		afterVMs := heapBytes()
		if !s.installConfigDelta(s.config.diff(1, configRows()), "test") {
			b.Fatal("tables rejected")
		}
		afterConfig := heapBytes()
		b.ReportMetric(float64(afterVMs-before)/targetVMs, "B/VM")
		b.ReportMetric(float64(afterVMs-before)/(1<<20), "MB-VMs")
		b.ReportMetric(float64(afterConfig-afterVMs)/(1<<20), "MB-tables")
		runtime.KeepAlive(s)
		runtime.KeepAlive(ring)
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
