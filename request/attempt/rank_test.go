package attempt

import "testing"

// Guards against a malformed rank of a peer that is taken for the most urgent one.
func TestParseRank(t *testing.T) {
	for text, want := range map[string]int{"": -1, "0": 0, "33": 33, "255": 255, "256": -1, "-1": -1, "1.5": -1, "x": -1, "99999999999999999999": -1} {
		if got := ParseRank(text); got != want {
			t.Errorf("%q: rank %d, want %d", text, got, want)
		}
	}
}
