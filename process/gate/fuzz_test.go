package gate

import (
	"net/http"
	"testing"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a panic on malformed header fields of a peer, and against deadlines and
// shares outside their range.
func FuzzAttemptHeaders(f *testing.F) {
	f.Add("9c41/1/n1/1a2b-00000000000000ff", "4000", "10", "0.25", "1f", "00/n/1-2/1/2")
	f.Add("", "-1", "99999999999999999999", "NaN", "zz", "/////")
	f.Fuzz(func(t *testing.T, id, timeout, age, share, digest, key string) {
		e := newExchange(newBudgetGate(t, &fakeClock{}), false)
		e.r.Header = http.Header{attempt.HeaderAttempt: {id}, attempt.HeaderTimeoutMS: {timeout}, attempt.HeaderAgeMS: {age},
			attempt.HeaderCallerRetries: {share}, attempt.HeaderRequestDigest: {digest}, attempt.HeaderSharedDigest: {digest}, attempt.HeaderOrder: {key}}
		if err := e.parse(); err != nil {
			return
		}
		if !e.deadline.After(e.arrivedAt) || e.deadline.Sub(e.arrivedAt) > maxTimeout || !(e.callerRetries >= 0 && e.callerRetries <= 1) {
			t.Errorf("deadline %s after the arrival, share %v", e.deadline.Sub(e.arrivedAt), e.callerRetries)
		}
	})
}
