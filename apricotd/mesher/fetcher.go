package mesher

import (
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// fetchDelay is how long the store may take to bring a reader what a peer
	// has already, before the peer is asked for it.
	fetchDelay = 300 * time.Millisecond
	// fetchPatience is how long one peer may take before another is asked.
	fetchPatience = 150 * time.Millisecond
)

type (
	// A fetcher gets newer state from the peers that announce it, one peer at
	// a time, since many announce the same change together. Its exported
	// fields must be set before use.
	fetcher struct {
		// IsBehind tells whether an announcement is newer than what is held.
		IsBehind func(*linkwire.Beat) bool
		// Request returns the frame that asks for what is missing.
		Request func() *linkwire.Frame

		mu     sync.Mutex
		offers []offer // the latest last
		busy   bool
	}

	offer struct {
		link *linker.Link
		beat *linkwire.Beat
	}
)

// offered takes a peer's announcement.
func (f *fetcher) offered(l *linker.Link, b *linkwire.Beat, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offers = append(f.offers, offer{link: l, beat: b})
	if f.busy {
		return
	}
	f.busy = true
	go f.run(delay)
}

func (f *fetcher) run(delay time.Duration) {
	time.Sleep(delay)
	for {
		link, ok := f.next()
		if !ok {
			return
		}
		link.Send(f.Request())
		time.Sleep(fetchPatience)
	}
}

// next returns the latest peer that can be asked, or ends the run.
func (f *fetcher) next() (*linker.Link, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.offers) > 0 {
		last := len(f.offers) - 1
		o := f.offers[last]
		f.offers = f.offers[:last]
		if !o.link.IsClosed() && f.IsBehind(o.beat) {
			return o.link, true
		}
	}
	f.busy = false
	return nil, false
}
