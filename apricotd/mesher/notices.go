package mesher

import (
	"context"
	"time"

	"apricotrudder.dev/apricotd/internal/process/repeater"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// noticeProbeAfter is the time without a response after which the local backend
	// server is probed to find out whether its notice is still in force.
	noticeProbeAfter = time.Second
	// noticeRefreshInterval is how often a node asks whether a server that has
	// stated that it is leaving, but is listed as ready, has started again.
	noticeRefreshInterval = time.Second
	// noticeRepeat is how long heartbeats contain a notice that has ended.
	noticeRepeat = 5 * time.Second
)

// announcedNotice returns the notice for unsolicited heartbeats. It is nil if
// there has been none for some time.
func (n *Node) announcedNotice() *linkwire.Notice {
	var m *linkwire.Notice
	if n.noticer.ChangedWithin(noticeRepeat) || n.warmer.AnnouncedWithin(noticeRepeat) {
		m = n.noticer.Message()
	}
	return n.warmer.Mark(m)
}

// refreshNotices periodically asks the nodes of leaving servers for their notice.
func (n *Node) refreshNotices(ctx context.Context) {
	repeater.Run(ctx, noticeRefreshInterval, func(time.Time) {
		list := n.syncer.List()
		if list == nil {
			return
		}
		for _, node := range n.notices.LeavingNodes(list) {
			if node == n.Settings.Listen.Links.Addr() {
				n.notices.Record(node, n.warmer.Mark(n.noticer.Message()))
				continue
			}
			beat := n.beat()
			beat.Reply = true
			n.linker.SendFrame(node, &linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}})
		}
	})
}
