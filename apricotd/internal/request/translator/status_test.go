package translator

import (
	"math"
	"testing"

	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/wire/peerwire"
)

// Guards against a peer's answer without a status, or with one that is none of a final
// response, being passed to a caller as an answer.
func TestOddStatusFromPeerIsNoAnswer(t *testing.T) {
	for _, status := range []uint32{0, 1, 99, 100, 101, 199, 200, 404, 599, 600, 999, math.MaxUint32} {
		m := &peerwire.ForwardResponse{Outcome: &peerwire.ForwardResponse_Answer{Answer: &peerwire.Answer{Status: status}}}
		_, answered := Outcome(m).(reporter.Answered)
		if want := status >= 200 && status <= 599; answered != want {
			t.Errorf("answer with status %d: taken for an answer: %v, want %v", status, answered, want)
		}
	}
}
