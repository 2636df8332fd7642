package mesher

import (
	"time"

	"apricotrudder.dev/wire/linkwire"
)

const (
	// noticeProbeAfter is the time without a response after which the local backend
	// server is probed to find out whether its notice is still in force.
	noticeProbeAfter = time.Second
	// noticeRepeat is how long heartbeats contain a notice that has ended.
	noticeRepeat = 5 * time.Second
)

// announcedNotice returns the notice for unsolicited heartbeats. It is nil if
// there has been none for some time.
func (n *Node) announcedNotice() *linkwire.Notice {
	if !n.noticer.ChangedWithin(noticeRepeat) {
		return nil
	}
	return n.noticer.Message()
}
