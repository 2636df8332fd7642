package spreader

import (
	"context"
	"fmt"
	"time"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/checker"
)

// A folderReader polls one folder of the platform.
type folderReader struct {
	s       *Spreader
	folder  Folder
	version uint64            // version of values
	after   Position          // version of values as the platform states it
	values  map[string][]byte // nil if the whole folder has not been read yet
	failing bool              // the last read failed
	// install validates the values and, if they are valid, makes them the
	// current ones.
	install func(version uint64, values map[string][]byte)
	// installedVersion returns the version currently in use.
	installedVersion func() uint64
}

func (s *Spreader) readConfig(ctx context.Context) {
	r := &folderReader{s: s, folder: ConfigFolder, install: s.installTables, installedVersion: func() uint64 {
		config, _ := s.Versions()
		return config
	}}
	r.run(ctx)
}

func (s *Spreader) readVMs(ctx context.Context) {
	r := &folderReader{s: s, folder: VMsFolder, install: s.installVMList, installedVersion: func() uint64 {
		_, vms := s.Versions()
		return vms
	}}
	r.run(ctx)
}

// installTables validates the published tables and installs them. Only nodes that
// read the platform see the documents; all other nodes receive rows.
func (s *Spreader) installTables(version uint64, values map[string][]byte) {
	cfg, err := checker.Check(version, values)
	if err != nil {
		s.recordRejection("tables", version, "platform", err)
		return
	}
	rows, err := cfg.Rows()
	if err != nil {
		s.recordRejection("tables", version, "platform", err)
		return
	}
	s.mu.Lock()
	d := s.config.diff(version, rows)
	s.mu.Unlock()
	s.installConfigDelta(d, "platform")
}

func (s *Spreader) installVMList(version uint64, values map[string][]byte) {
	s.mu.Lock()
	d := s.vms.diff(version, values)
	s.mu.Unlock()
	s.installVMDelta(d, "platform")
}

func (r *folderReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, delay := r.s.nextRead(r.values == nil)
		if delay > 0 {
			r.values = nil
			r.s.sleep(ctx, delay, r.s.changeSignal())
			continue
		}
		if err := r.read(ctx, wait); err != nil {
			r.s.sleep(ctx, jitter(r.s.backoff()), nil)
		}
	}
}

// nextRead decides when this node reads the platform next. If delay is 0, it reads
// now, and the read may wait up to wait for a change; otherwise it checks again
// after delay. Readers always read. Other nodes read as long as they lack the
// tables or the VM list. After that they read only if their peers send no recent
// confirmations, and so rarely that all of them together make at most
// nonReaderCallRate calls per second.
func (s *Spreader) nextRead(first bool) (wait, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg == nil || s.list == nil {
		return 0, 0
	}
	if s.position.reader {
		if first {
			return 0, 0
		}
		return longPollWait, 0
	}
	if s.freshness().Fresh {
		return 0, longPollWait
	}
	interval := time.Duration(s.position.vms) * time.Second / nonReaderCallRate
	if s.lastFallbackRead.IsZero() || s.lastFallbackRead.Age() > max(interval, longPollWait) {
		s.lastFallbackRead = timekeeper.Now()
		return 0, 0
	}
	return 0, longPollWait
}

// backoff returns the base delay after a failed read. Nodes that are not readers
// wait longer in proportion to the number of VMs, so that together they stay
// within nonReaderCallRate.
func (s *Spreader) backoff() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := time.Duration(s.position.vms) * time.Second / nonReaderCallRate
	if s.position.reader {
		delay = 0
	}
	return max(platformBackoff, delay)
}

func (s *Spreader) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (r *folderReader) read(ctx context.Context, wait time.Duration) error {
	requestedAt := timekeeper.Now()
	change, err := r.s.Platform.Read(ctx, r.folder, r.after, wait)
	if err != nil {
		if ctx.Err() == nil {
			r.recordFailure(err.Error())
		}
		return err
	}
	version, err := r.versionOf(change)
	if err != nil {
		r.recordFailure(err.Error())
		return fmt.Errorf("read folder %s: %w", r.folder, err)
	}
	if installed := r.installedVersion(); version < max(r.version, installed) {
		r.s.Audit.RecordRefusal("staleAnswer", fmt.Sprintf("folder %s: got version %d, want at least %d", r.folder, version, max(r.version, installed)), version)
		r.recordFailure("platform returned an older version than this node has")
		return fmt.Errorf("read folder %s: got version %d, want at least %d", r.folder, version, installed)
	}
	isApplied := r.applyChange(change, version)
	r.recordRecovery()
	if installed := r.installedVersion(); r.folder == ConfigFolder && (isApplied || version == installed) {
		r.s.confirm(r.s.Self.DataCentre, requestedAt, installed)
	}
	return nil
}

// versionOf returns the version of a change in the order of the nodes. An era that
// rises too far is an error, because no later version could follow it.
func (r *folderReader) versionOf(c *Change) (uint64, error) {
	if installed := r.installedVersion(); installed > 0 && c.Era > installed/versionsPerEra+maxEraStep {
		return 0, fmt.Errorf("got era %d after version %d; the rise is not credible", c.Era, installed)
	}
	return Position{Era: c.Era, Version: c.Version}.version()
}

// applyChange applies a change to the values and installs the result. It reports
// false if it could not, because the change is not one from these values.
func (r *folderReader) applyChange(c *Change, version uint64) bool {
	if r.values != nil && version == r.version {
		return true
	}
	if c.From > 0 && (r.values == nil || c.From != r.after.Version || c.Era != r.after.Era) {
		// The next read requests the whole folder. In a new era, From may be a version
		// that was given out twice.
		r.version, r.after, r.values = 0, Position{}, nil
		return false
	}
	next := make(map[string][]byte, len(r.values)+len(c.Values))
	if c.From > 0 {
		for name, value := range r.values {
			next[name] = value
		}
	}
	for name, value := range c.Values {
		next[name] = []byte(value)
	}
	for _, name := range c.Removed {
		delete(next, name)
	}
	r.values = next
	r.version, r.after = version, Position{Era: c.Era, Version: c.Version}
	r.install(version, next)
	return true
}

func (r *folderReader) recordFailure(detail string) {
	r.s.reportDown(r.s.Self.DataCentre, timekeeper.Now())
	if r.failing {
		return
	}
	r.failing = true
	r.s.Audit.Record(auditor.Entry{Kind: auditor.PlatformLost, Subject: string(r.folder), Detail: detail})
}

func (r *folderReader) recordRecovery() {
	if !r.failing {
		return
	}
	r.failing = false
	r.s.Audit.Record(auditor.Entry{Kind: auditor.PlatformBack, Subject: string(r.folder)})
}
