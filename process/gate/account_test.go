package gate

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against an account's name or an API key that a target gets from an attempt other
// than in the field that the gate sets, also when the entry has not removed them.
func TestAccountNameAtTarget(t *testing.T) {
	profile := signingProfile
	profile.AccountKey, profile.AccountName = "X-Api-Key", "X-Tenant"
	header := make(chan http.Header, 1)
	f := newConnFixture(t, profile, func(conn net.Conn) {
		serveRaw(conn, func(r *http.Request, _ int) string {
			header <- r.Header
			return rawAnswer(r.Header.Get("X-Id"))
		})
	})
	for i, c := range []struct {
		fields []string
		want   string
	}{
		{[]string{attempt.HeaderAccountName, "t-1"}, "t-1"},
		{[]string{attempt.HeaderAccountName, "t-1", "X-Tenant", "t-2", "X-Api-Key", "secret"}, "t-1"},
		{[]string{"X-Tenant", "t-2", "X-Api-Key", "secret"}, ""},
		{[]string{attempt.HeaderAccountName, "t-1", "Connection", "X-Tenant, Hyssopsill-Account, X-Api-Key", "X-Api-Key", "secret"}, "t-1"},
		{nil, ""},
	} {
		if r := f.send(attemptID("r"+string(rune('a'+i))), "/a", time.Second, c.fields...); r.verdict != "ran" {
			t.Fatalf("%v: got %+v", c.fields, r)
		}
		h := <-header
		if got := strings.Join(h.Values("X-Tenant"), ","); got != c.want || h.Get("X-Api-Key") != "" || h.Get(attempt.HeaderAccountName) != "" || h.Get(attempt.HeaderRank) != "" {
			t.Errorf("%v: the target got %v, want account %q", c.fields, h, c.want)
		}
	}
}

// Guards against a rank that is lost or out of range at the gate, and against one that a
// missing field takes for the most urgent.
func TestRankOfAttempt(t *testing.T) {
	g := newBudgetGate(t, &fakeClock{})
	for text, want := range map[string]int{"": -1, "0": 0, "17": 17, "255": 255, "256": -1, "-1": -1, "1.5": -1, "x": -1} {
		e := newExchange(g, false)
		e.r.Header = http.Header{attempt.HeaderAttempt: {attemptID("r1")}, attempt.HeaderTimeoutMS: {"1000"}}
		if text != "" {
			e.r.Header.Set(attempt.HeaderRank, text)
		}
		if err := e.parse(); err != nil || e.rank != want {
			t.Errorf("%q: rank %d, error %v, want %d", text, e.rank, err, want)
		}
	}
}
