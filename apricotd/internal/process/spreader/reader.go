package spreader

import (
	"context"
	"fmt"
	"time"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/checker"
)

// A folderReader follows one folder of the platform.
type folderReader struct {
	s       *Spreader
	folder  Folder
	version uint64            // of the values below
	values  map[string][]byte // nil: nothing read yet
	failing bool
	// accept puts the values in force, unless they are invalid.
	accept func(version uint64, values map[string][]byte)
	// held returns the version in force.
	held func() uint64
}

func (s *Spreader) readConfig(ctx context.Context) {
	r := &folderReader{s: s, folder: ConfigFolder, accept: s.acceptTables, held: func() uint64 {
		config, _ := s.Versions()
		return config
	}}
	r.run(ctx)
}

func (s *Spreader) readVMs(ctx context.Context) {
	r := &folderReader{s: s, folder: VMsFolder, accept: s.acceptList, held: func() uint64 {
		_, vms := s.Versions()
		return vms
	}}
	r.run(ctx)
}

// acceptTables checks the published tables and puts them in force. Only
// readers see the documents; all other nodes receive the rows.
func (s *Spreader) acceptTables(version uint64, values map[string][]byte) {
	cfg, err := checker.Check(version, values)
	if err != nil {
		s.reject("tables", version, "platform", err)
		return
	}
	rows, err := cfg.Rows()
	if err != nil {
		s.reject("tables", version, "platform", err)
		return
	}
	s.mu.Lock()
	d := s.config.diff(version, rows)
	s.mu.Unlock()
	s.adoptConfig(d, "platform")
}

func (s *Spreader) acceptList(version uint64, values map[string][]byte) {
	s.mu.Lock()
	d := s.vms.diff(version, values)
	s.mu.Unlock()
	s.adoptVMs(d, "platform")
}

func (r *folderReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, due := r.s.readingTurn(r.values == nil)
		if due > 0 {
			r.values = nil
			r.s.sleep(ctx, due, r.s.changes())
			continue
		}
		if err := r.read(ctx, wait); err != nil {
			r.s.sleep(ctx, jitter(r.s.backoff()), nil)
		}
	}
}

// readingTurn tells whether this node should read the platform now, and how
// long a watch may wait. Readers always do. A node that has nothing yet reads
// once. Another node reads only when its peers leave it without confirmations,
// and so rarely that all such nodes together stay within platformCallRate.
func (s *Spreader) readingTurn(first bool) (wait, due time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg == nil || s.list == nil {
		return 0, 0
	}
	if s.place.reader {
		if first {
			return 0, 0
		}
		return platformWait, 0
	}
	if s.current().Fresh {
		return 0, platformWait
	}
	share := time.Duration(s.place.vms) * time.Second / platformCallRate
	if s.lastOwnRead.IsZero() || s.lastOwnRead.Age() > max(share, platformWait) {
		s.lastOwnRead = timekeeper.Now()
		return 0, 0
	}
	return 0, platformWait
}

// backoff is longer for nodes that are not readers, because they are many.
func (s *Spreader) backoff() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := time.Duration(s.place.vms) * time.Second / platformCallRate
	if s.place.reader {
		share = 0
	}
	return max(platformBackoff, share)
}

func (s *Spreader) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (r *folderReader) read(ctx context.Context, wait time.Duration) error {
	asked := timekeeper.Now()
	change, err := r.s.Platform.Read(ctx, r.folder, r.version, wait)
	if err != nil {
		if ctx.Err() == nil {
			r.fail(err.Error())
		}
		return err
	}
	if held := r.held(); change.Version < max(r.version, held) {
		r.s.Audit.Refused("staleAnswer", fmt.Sprintf("folder %s: got version %d, want at least %d", r.folder, change.Version, max(r.version, held)), change.Version)
		r.fail("the platform answers with an old version")
		return fmt.Errorf("read folder %s: got version %d, want at least %d", r.folder, change.Version, held)
	}
	r.take(change)
	r.recover()
	if r.folder == ConfigFolder {
		r.s.confirm(r.s.Self.DataCentre, asked, r.held())
	}
	return nil
}

// take applies a change and offers the new values for acceptance.
func (r *folderReader) take(c *Change) {
	if r.values != nil && c.Version == r.version {
		return
	}
	if r.values == nil && c.From > 0 {
		// Only the whole folder can be a start; ask for it next time.
		r.version = 0
		return
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
	r.version = c.Version
	r.accept(c.Version, next)
}

func (r *folderReader) fail(detail string) {
	r.s.reportDown(r.s.Self.DataCentre, timekeeper.Now())
	if r.failing {
		return
	}
	r.failing = true
	r.s.Audit.Record(auditor.Entry{Kind: auditor.PlatformLost, Subject: string(r.folder), Detail: detail})
}

func (r *folderReader) recover() {
	if !r.failing {
		return
	}
	r.failing = false
	r.s.Audit.Record(auditor.Entry{Kind: auditor.PlatformBack, Subject: string(r.folder)})
}
