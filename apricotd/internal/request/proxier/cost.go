package proxier

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/cost/appraiser"
	"apricotrudder.dev/apricotd/internal/cost/scorer"
	"apricotrudder.dev/apricotd/internal/process/picker"
)

// properties returns what the cost of the request is estimated from.
func (rq *request) properties() appraiser.Request {
	properties := appraiser.Request{Route: rq.route.Name, Target: rq.Target, BodySize: len(rq.Body)}
	if rq.organisation != nil {
		properties.Organisation = rq.organisation.Name
	}
	return properties
}

// costRequest returns what the expected completion of the next attempt depends on.
func (rq *request) costRequest() scorer.Request {
	return scorer.Request{
		Expected: rq.cost.Mean,
		Target:   rq.route.TargetLatency,
		MaxWait:  rq.maxQueueWait(time.Until(rq.deadline)),
	}
}

// learnCost learns the cost of a request from the service time that a node has reported.
// Divided by the relative service time of the server, it applies to all servers of the pool.
func (p *Proxier) learnCost(rq *request, report picker.Report) {
	if report.Result != picker.Served || report.ServiceTime <= 0 {
		return
	}
	rq.serviceTime = report.ServiceTime
	ratio := 1.0
	if report.Ratio > 0 {
		ratio = max(1/scorer.MaxRatio, min(scorer.MaxRatio, report.Ratio))
	}
	p.Appraiser.Learn(rq.properties(), time.Duration(float64(report.ServiceTime)/ratio))
}

// recordPrediction adds to the log line why the last server was selected, and counts how
// good the prediction was.
func (p *Proxier) recordPrediction(rq *request, fields logrus.Fields) {
	if rq.prediction.Candidates == 0 {
		return
	}
	prediction := rq.prediction
	fields["candidates"] = prediction.Candidates
	fields["expectedMs"] = rq.cost.Mean.Milliseconds()
	fields["expectedBy"] = rq.cost.Level.String()
	fields["predictedWaitMs"] = int64(prediction.Wait * 1000)
	fields["predictedServiceMs"] = int64(prediction.Service * 1000)
	fields["penaltyMs"] = int64(prediction.Penalty * 1000)
	fields["distance"] = prediction.Distance
	basis := "unknown"
	if prediction.Age >= 0 {
		basis = "report"
		fields["loadAgeMs"] = prediction.Age.Milliseconds()
		p.Metrics.GetOrCreateHistogram("apricot_load_report_age_seconds").Update(prediction.Age.Seconds())
	}
	p.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_choices_total{basis=%q,distance="%d"}`, basis, prediction.Distance)).Inc()
	if rq.serviceTime > 0 {
		fields["serviceMs"] = rq.serviceTime.Milliseconds()
		p.Metrics.GetOrCreateHistogram("apricot_service_seconds_to_predicted").Update(rq.serviceTime.Seconds() / prediction.Service)
	}
}
