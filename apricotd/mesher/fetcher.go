package mesher

import (
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// fetchDelay is how long a node with access to the store waits for the store to
	// deliver a change that a peer has announced, before it asks the peer.
	fetchDelay = 300 * time.Millisecond
	// peerFetchTimeout is how long one peer may take to answer before the next
	// peer is asked.
	peerFetchTimeout = 150 * time.Millisecond
)

type (
	// A fetcher requests state from the peers that announce it. It asks one peer at
	// a time, since many peers announce the same change at once.
	// Its exported fields must be set before use.
	fetcher struct {
		// IsNewer reports whether a peer announces state that this node still needs.
		IsNewer func(*linkwire.Beat) bool
		// Request returns the frame that requests the missing state.
		Request func() *linkwire.Frame

		mu            sync.Mutex
		announcements []announcement // oldest first
		busy          bool           // run is active
	}

	announcement struct {
		link *linker.Link
		beat *linkwire.Beat
	}
)

// addAnnouncement records a peer's announcement and, if no fetch is running,
// starts one after the delay.
func (f *fetcher) addAnnouncement(l *linker.Link, b *linkwire.Beat, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcements = append(f.announcements, announcement{link: l, beat: b})
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
		time.Sleep(peerFetchTimeout)
	}
}

// next removes and returns the most recent announcer that is still connected
// and has newer state. If there is none, it marks the fetcher as idle.
func (f *fetcher) next() (*linker.Link, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.announcements) > 0 {
		last := len(f.announcements) - 1
		newest := f.announcements[last]
		f.announcements = f.announcements[:last]
		if !newest.link.IsClosed() && f.IsNewer(newest.beat) {
			return newest.link, true
		}
	}
	f.busy = false
	return nil, false
}
