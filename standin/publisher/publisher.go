// Package publisher stands in for the platform's configuration service.
//
// It publishes folders of values that can be read and watched but not written
// by readers, counts every call (a waiting watch as one), and can be made to
// fail the way the real service does: stop answering, answer with an old
// version, or answer slowly.
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
	maxWait    = 30 * time.Second
	// historyKept bounds the versions from which a change can be told.
	historyKept = 1000
)

// ErrStopped is what every call gets while the service is stopped.
var ErrStopped = errors.New("configuration service does not answer")

type (
	// A Change leads from one version of a folder to a later one.
	Change struct {
		From    uint64            `json:"from"`
		Version uint64            `json:"version"`
		Values  map[string]string `json:"values,omitempty"`
		Removed []string          `json:"removed,omitempty"`
	}

	// A Publisher holds the published folders. Its zero value is ready.
	Publisher struct {
		mu      sync.Mutex
		folders map[string]*folder
		calls   int
		stopped bool
		slow    time.Duration
	}

	folder struct {
		versions []version // the newest last
		frozen   *version  // answered instead of the newest
		changed  chan struct{}
	}

	version struct {
		number uint64
		values map[string]string
	}
)

// Update changes a folder and publishes the result as its next version.
func (p *Publisher) Update(name string, change func(values map[string]string)) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.folder(name)
	newest := f.newest()
	next := version{number: newest.number + 1, values: maps.Clone(newest.values)}
	if next.values == nil {
		next.values = make(map[string]string)
	}
	change(next.values)
	f.versions = append(f.versions, next)
	if len(f.versions) > historyKept {
		f.versions = f.versions[1:]
	}
	f.wake()
	return next.number
}

// Stop makes every call fail until Restart.
func (p *Publisher) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, f := range p.folders {
		f.wake()
	}
}

// Restart ends Stop, Freeze and Slow.
func (p *Publisher) Restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = false
	p.slow = 0
	for _, f := range p.folders {
		f.frozen = nil
		f.wake()
	}
}

// Freeze answers with the versions of now, whatever is published later.
func (p *Publisher) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.folders {
		v := f.newest()
		f.frozen = &v
	}
}

// Slow delays every answer.
func (p *Publisher) Slow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = d
}

// Calls returns the number of calls so far.
func (p *Publisher) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Read returns what changed in a folder after a version, waiting up to wait
// for a change.
func (p *Publisher) Read(ctx context.Context, name string, after uint64, wait time.Duration) (*Change, error) {
	p.mu.Lock()
	p.calls++
	slow := p.slow
	p.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := pause(ctx, slow); err != nil {
		return nil, err
	}
	for {
		c, changed, err := p.answer(name, after)
		if err != nil || c.Version != after || wait == 0 {
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

// ServeHTTP answers GET /v1/folders/NAME?after=VERSION&waitMs=N.
func (p *Publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, pathPrefix)
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "want GET "+pathPrefix+"NAME", http.StatusNotFound)
		return
	}
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, errWait := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	if err := errors.Wrap(firstOf(errAfter, errWait), "parse query"); err != nil {
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
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(w).Encode(c)
}

func (p *Publisher) answer(name string, after uint64) (*Change, <-chan struct{}, error) {
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
	return f.changeTo(v, after), f.changed, nil
}

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

func (f *folder) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// changeTo tells what leads from a version to v: the changed values if the
// version is remembered, and else the whole folder.
func (f *folder) changeTo(v version, after uint64) *Change {
	c := &Change{Version: v.number}
	if after == v.number && after > 0 {
		c.From = after
		return c
	}
	old, ok := f.find(after)
	if !ok || after > v.number {
		c.Values = maps.Clone(v.values)
		return c
	}
	c.From = after
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

func (f *folder) find(number uint64) (version, bool) {
	if len(f.versions) == 0 || number < f.versions[0].number {
		return version{}, false
	}
	i := number - f.versions[0].number
	if i >= uint64(len(f.versions)) {
		return version{}, false
	}
	return f.versions[i], true
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
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
