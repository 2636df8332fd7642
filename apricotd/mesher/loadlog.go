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
		if reading := n.gauger.Read(); reading.Slowdown > 0 {
			fields["backlogMs"], fields["slowdown"], fields["serviceRatio"] = reading.Backlog.Milliseconds(), reading.Slowdown, reading.Ratio
			fields["costErrors"] = n.costErrors()
		}
		if notice.Limited {
			fields["rateLimit"] = notice.Rate
		}
		n.Log.WithFields(fields).Info("load estimates")
	})
}

// costErrors returns the mean squared errors of the expected service times by what they
// are learned by.
func (n *Node) costErrors() map[string]float64 {
	out := make(map[string]float64)
	for level, e := range n.appraiser.Errors() {
		out[level.String()] = e
	}
	return out
}
