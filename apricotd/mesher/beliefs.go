package mesher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// beliefsInterval is how often a node logs what it believes of load.
const beliefsInterval = time.Second

// tellBeliefs logs what the node believes of its backend server and of the
// trees below it, for whoever asks later why requests were held back.
func (n *Node) tellBeliefs(ctx context.Context) {
	ticker := time.NewTicker(beliefsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		load := n.performer.Load()
		fields := logrus.Fields{
			"running":    load.Running,
			"waiting":    load.Waiting,
			"slots":      load.Slots,
			"serviceMs":  load.ServiceMs,
			"excess":     n.gauger.Excess(),
			"downstream": n.director.Beliefs(),
		}
		n.Log.WithFields(fields).Info("beliefs on load")
	}
}
