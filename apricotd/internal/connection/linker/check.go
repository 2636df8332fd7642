package linker

import (
	"math"

	"github.com/pkg/errors"

	"apricotrudder.dev/wire/linkwire"
)

// Statuses that the answer in a result may have.
const (
	minFinalStatus = 200
	maxStatus      = 599
)

var errMalformed = errors.New("frame is malformed")

// check returns an error if a received frame lacks its content or has a number that
// no node sends, such as NaN. A frame of an unknown kind, which a newer version may
// send, is no error.
func check(frame *linkwire.Frame) error {
	valid := true
	switch kind := frame.Kind.(type) {
	case *linkwire.Frame_Run:
		r := kind.Run
		valid = areFinite(r.Weight, r.Held, r.Repeat, r.ExpectedMs, float64(r.GetTreeExcess())) && isValidNotice(r.Notice)
	case *linkwire.Frame_Result:
		load := kind.Result.GetLoad()
		valid = isValidOutcome(kind.Result) &&
			areFinite(load.GetExcess(), load.GetDemand(), load.GetServiceMs(), load.GetRateUtilisation()) &&
			areFinite(load.GetBacklogMs(), load.GetSlowdown(), float64(load.GetServiceRatio()), float64(kind.Result.GetServiceMs())) &&
			load.GetLost() >= 0 && load.GetLost() <= 1 &&
			areFinite(float64(load.GetRequestsPerRun())) && load.GetRequestsPerRun() >= 0 &&
			isValidNotice(load.GetNotice())
	case *linkwire.Frame_Beat:
		valid = isValidNotice(kind.Beat.Notice)
	case *linkwire.Frame_Usage:
		for _, d := range kind.Usage.Demands {
			valid = valid && areFinite(float64(d.Rate)) && d.Rate >= 0
		}
	}
	if !valid {
		return errors.Wrapf(errMalformed, "%T", frame.Kind)
	}
	return nil
}

// isValidOutcome reports whether a result has a refusal, or an answer with the status
// of a final response.
func isValidOutcome(r *linkwire.Result) bool {
	if r.GetAnswer() == nil {
		return r.GetRefusal() != nil
	}
	status := r.GetAnswer().GetStatus()
	return status >= minFinalStatus && status <= maxStatus
}

func isValidNotice(n *linkwire.Notice) bool {
	return areFinite(n.GetRate()) && n.GetRate() >= 0
}

func areFinite(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
