package gate

import (
	"testing"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a malformed rank of a peer that is taken for the most urgent one.
func TestRankOfHeader(t *testing.T) {
	for text, want := range map[string]int{"": -1, "0": 0, "33": 33, "255": 255, "256": -1, "-1": -1, "1.5": -1, "x": -1, "99999999999999999999": -1} {
		e := newExchange(newBudgetGate(t, &fakeClock{}), false)
		e.r.Header.Set(attempt.HeaderRank, text)
		if got := parseRank(e.r.Header, attempt.HeaderRank); got != want {
			t.Errorf("%q: rank %d, want %d", text, got, want)
		}
	}
}
