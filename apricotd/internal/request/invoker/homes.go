package invoker

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/wire/linkwire"
)

// checkHomes returns a refusal if the request may not be served in this region by the
// tables of this node. The sender has checked its own, which may be older.
func (i *Invoker) checkHomes(run *linkwire.Run) *linkwire.Result {
	if i.Homes == nil {
		return nil
	}
	homes, version := i.Homes(run.Route, run.Organisation)
	if homes == nil || slices.Contains(homes, i.Region) {
		return nil
	}
	i.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_home_refusals_total{reason=%q}`, OutsideHome)).Inc()
	i.Log.WithFields(logrus.Fields{
		"request":      string(run.RequestId),
		"route":        run.Route,
		"organisation": run.Organisation,
		"homes":        homes,
		"region":       i.Region,
		"version":      version,
	}).Warn("request refused; this region is none of its home regions")
	return refusalResult(OutsideHome, fmt.Sprintf("the home regions are %v by tables %d, not %s", homes, version, i.Region), 0)
}
