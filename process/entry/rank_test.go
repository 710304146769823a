package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/request/account"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// rankedConfig is testConfig with a class whose rank differs from that of the others.
var rankedConfig = strings.Replace(testConfig, "[services.shop.classes.browse]", "[services.shop.classes.browse]\nrank = 2", 1)

// Guards against ranks that are sent where all are equal, which would change the order
// of a deployment that did not ask for it, and against a rank that a caller chooses.
func TestRankIsSentWhereRanksDiffer(t *testing.T) {
	for text, want := range map[string]string{testConfig: "", rankedConfig: "34", rankedConfig + "[accounts.a]\nrank = 1\nkeys = [\"k\"]\n": "18"} {
		ranks := make(chan string, 1)
		server := newTestEntryWith(t, text, func(w http.ResponseWriter, r *http.Request) {
			ranks <- r.Header.Get(attempt.HeaderRank)
			writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
		}, false, 1)
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/kits", nil)
		req.Header.Set(attempt.HeaderRank, "0")
		req.Header.Set(attempt.HeaderAccountKey, "k")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if got := <-ranks; got != want {
			t.Errorf("rank %q, want %q", got, want)
		}
	}
	q := &request{account: &account.Account{Rank: new(int)}}
	q.class.Rank = 3
	if got := q.rank(); got != 3 {
		t.Errorf("account of rank 0 and class of rank 3: %d, want 3", got)
	}
}
