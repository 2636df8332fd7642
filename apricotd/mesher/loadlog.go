package mesher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/process/repeater"
)

const loadLogInterval = time.Second

// logLoad periodically logs the load of the local backend server and, for each
// route, the estimated overload of the pools that it leads to. The lines show why
// requests were queued or rejected.
func (n *Node) logLoad(ctx context.Context) {
	sentBefore := int64(0)
	repeater.Run(ctx, loadLogInterval, func(time.Time) {
		load := n.invoker.Load()
		sent := n.invoker.SentCount()
		server, notice := n.noticer.Current()
		fields := logrus.Fields{
			"server":     server,
			"sent":       sent - sentBefore,
			"running":    load.Running,
			"waiting":    load.Waiting,
			"slots":      load.Slots,
			"serviceMs":  load.ServiceMs,
			"excess":     n.estimator.Excess(),
			"downstream": n.proxier.OverloadEstimates(),
		}
		sentBefore = sent
		if notice.Limited {
			fields["rateLimit"] = notice.Rate
		}
		n.Log.WithFields(fields).Info("load estimates")
	})
}
