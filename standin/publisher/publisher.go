// Package publisher simulates the platform's configuration service.
//
// It publishes folders of values. Clients can read and watch them, but not
// write them. It counts every call, with a long poll as one call, and can
// reproduce the failures of the real service: failed calls, stale responses,
// slow responses and a restoration from an older copy.
//
// # Usage
//
//	p := &publisher.Publisher{}
//	p.Update("config", func(values map[string]string) { values["routes"] = text })
//	http.Serve(listener, p)
package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	pathPrefix = "/v1/folders/"
	maxWait    = 30 * time.Second // of a long poll
	// maxVersions is the number of versions kept for each folder. A client with
	// an older version gets the whole folder.
	maxVersions = 1000
)

// ErrStopped is the error of every call while the service is stopped.
var ErrStopped = errors.New("configuration service does not answer")

type (
	// A Change is the difference between two versions of a folder.
	Change struct {
		From    uint64            `json:"from"` // 0 if Values is the whole folder
		Version uint64            `json:"version"`
		Era     uint64            `json:"era"` // in which Version was written
		Values  map[string]string `json:"values,omitempty"`
		Removed []string          `json:"removed,omitempty"`
	}

	// A Position is the version of a folder that a client holds.
	Position struct {
		Number uint64
		// Era is nil if the client does not know eras; then versions are told apart by
		// their numbers alone.
		Era *uint64
	}

	// A Publisher holds the published folders. Its zero value is ready to use.
	Publisher struct {
		mu      sync.Mutex
		folders map[string]*folder
		calls   int
		stopped bool
		delay   time.Duration
	}

	folder struct {
		versions []version     // in ascending order
		era      uint64        // number of restorations
		frozen   *version      // if set, returned instead of the newest version
		changed  chan struct{} // closed and replaced at every change
	}

	version struct {
		number uint64
		era    uint64 // in which it was written
		values map[string]string
	}
)

// Update applies a change to a folder, publishes the result as its next version
// and returns the number of that version.
func (p *Publisher) Update(name string, change func(values map[string]string)) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.folder(name)
	newest := f.newest()
	next := version{number: newest.number + 1, era: f.era, values: maps.Clone(newest.values)}
	if next.values == nil {
		next.values = make(map[string]string)
	}
	change(next.values)
	f.versions = append(f.versions, next)
	if len(f.versions) > maxVersions {
		f.versions = f.versions[1:]
	}
	f.notify()
	return next.number
}

// Stop makes every call fail with ErrStopped until Restart is called.
func (p *Publisher) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, f := range p.folders {
		f.notify()
	}
}

// Restart ends the effects of Stop, Freeze and Slow.
func (p *Publisher) Restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = false
	p.delay = 0
	for _, f := range p.folders {
		f.frozen = nil
		f.notify()
	}
}

// Freeze makes every existing folder return its current version until Restart is
// called, even if newer versions are published.
func (p *Publisher) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.folders {
		v := f.newest()
		f.frozen = &v
	}
}

// Restore brings a folder back from an older copy: its last n versions are lost, and
// their numbers are given out again, in a new era. Versions in the copy retain theirs.
func (p *Publisher) Restore(name string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.folder(name)
	f.versions = f.versions[:max(0, len(f.versions)-n)]
	f.era++
	f.notify()
}

// Slow delays every response by d.
func (p *Publisher) Slow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Calls returns the number of calls received so far.
func (p *Publisher) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Read returns the changes to a folder since a version. If there are none, it
// waits for a change, at most for wait.
func (p *Publisher) Read(ctx context.Context, name string, after Position, wait time.Duration) (*Change, error) {
	p.mu.Lock()
	p.calls++
	delay := p.delay
	p.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	for {
		c, changed, err := p.poll(name, after)
		if err != nil || !after.is(c.Version, c.Era) || wait == 0 {
			return c, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for a change: %w", ctx.Err())
		case <-timer.C:
			return c, nil
		case <-changed:
		}
	}
}

// ServeHTTP serves GET /v1/folders/NAME?after=VERSION&era=ERA&waitMs=N.
func (p *Publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, pathPrefix)
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "want GET "+pathPrefix+"NAME", http.StatusNotFound)
		return
	}
	query := r.URL.Query()
	number, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, errWait := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	after, errEra := Position{Number: number}, error(nil)
	if query.Has("era") {
		var era uint64
		era, errEra = strconv.ParseUint(query.Get("era"), 10, 64)
		after.Era = &era
	}
	if err := errors.Wrap(firstError(errAfter, errWait, errEra), "parse query"); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	c, err := p.Read(r.Context(), name, after, wait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(c)
}

// poll returns the changes to a folder since a version, without waiting, and a
// channel that is closed at the next change.
func (p *Publisher) poll(name string, after Position) (*Change, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, nil, ErrStopped
	}
	f := p.folder(name)
	v := f.newest()
	if f.frozen != nil {
		v = *f.frozen
	}
	return f.changeSince(v, after), f.changed, nil
}

// folder returns a folder and creates it if necessary; p.mu must be held.
func (p *Publisher) folder(name string) *folder {
	if p.folders == nil {
		p.folders = make(map[string]*folder)
	}
	f := p.folders[name]
	if f == nil {
		f = &folder{changed: make(chan struct{})}
		p.folders[name] = f
	}
	return f
}

func (f *folder) newest() version {
	if len(f.versions) == 0 {
		return version{}
	}
	return f.versions[len(f.versions)-1]
}

func (f *folder) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// changeSince returns the difference between an earlier version and v, or the
// whole folder if the earlier version is no longer kept.
func (f *folder) changeSince(v version, after Position) *Change {
	c := &Change{Version: v.number, Era: v.era}
	if after.Number > 0 && after.is(v.number, v.era) {
		c.From = after.Number
		return c
	}
	old, ok := f.find(after)
	if !ok || after.Number > v.number {
		c.Values = maps.Clone(v.values)
		return c
	}
	c.From = after.Number
	c.Values = make(map[string]string)
	for name, value := range v.values {
		if before, ok := old.values[name]; !ok || before != value {
			c.Values[name] = value
		}
	}
	for name := range old.values {
		if _, ok := v.values[name]; !ok {
			c.Removed = append(c.Removed, name)
		}
	}
	return c
}

func (f *folder) find(p Position) (version, bool) {
	if len(f.versions) == 0 || p.Number < f.versions[0].number {
		return version{}, false
	}
	i := p.Number - f.versions[0].number
	if i >= uint64(len(f.versions)) || !p.is(f.versions[i].number, f.versions[i].era) {
		return version{}, false
	}
	return f.versions[i], true
}

// is reports whether p is the version with the given number and era.
func (p Position) is(number, era uint64) bool {
	return p.Number == number && (p.Era == nil || *p.Era == era)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait to answer: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
