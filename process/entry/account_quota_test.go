package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/connection/quota"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

const accountConfig = testConfig + `
[accounts.atelier]
keys = ["atelier"]
rate = 20.0
burst = 20
[accounts.unlimited]
keys = ["unlimited"]
`

// newQuotaFleet returns entries whose nodes exchange messages about accounts over real
// listeners. They have no targets, so that each admitted request ends as not-run.
func newQuotaFleet(t *testing.T, n int) []*Entry {
	t.Helper()
	var entries []*Entry
	view, c := membership.View{}, parseConfig(t, accountConfig)
	for i := range n {
		name, r := fmt.Sprint("n", i), rand.New(rand.NewPCG(uint64(i), 1))
		incarnation := attempt.NewIncarnation(time.Now(), r)
		g := gate.New(gate.Options{Node: name, Token: "token", Now: time.Now, Rand: r, Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}})
		e := New(Options{Node: name, Domain: "d1", Token: "token", HeaderBytes: 32 << 10, BodyBytes: 1 << 20, Now: time.Now, Rand: r,
			Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}, LogService: logservice.New(logservice.Options{})})
		g.SetQuota(e.PeerQuota())
		g.Start(incarnation)
		e.Start(incarnation)
		e.SetConfig(c)
		server := httptest.NewServer(g.PeerHandler())
		t.Cleanup(server.Close)
		t.Cleanup(e.Close)
		view.Members = append(view.Members, membership.Member{Node: name, Domain: "d1", State: membership.NodeAlive,
			DataAddress: server.Listener.Addr().String(), Incarnation: incarnation})
		entries = append(entries, e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, e := range entries {
		view.Self = fmt.Sprint("n", i)
		e.SetView(view)
		go func() { _ = e.ServeQuota(ctx) }()
	}
	return entries
}

func serveAccount(e *Entry, account string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/kits/a", nil)
	r.Header.Set(attempt.HeaderAccountKey, account)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

// Guards against entries that each apply the whole limit: the verdict of the owner must
// reach the others over the data listener.
func TestAccountLimitOverTheFleet(t *testing.T) {
	entries := newQuotaFleet(t, 3)
	limit := quota.Limit{Rate: 20, Burst: 20}
	// The limits are taken at the meters, as if the admitted requests had run.
	deadline := time.Now().Add(20 * time.Second)
	for {
		for _, e := range entries {
			e.accountQuota.meterMu.Lock()
			for range 4 {
				e.accountQuota.meter.Allow(time.Now(), "atelier", limit)
			}
			e.accountQuota.meterMu.Unlock()
		}
		told := 0
		for _, e := range entries {
			for _, s := range e.Accounts().Entry {
				if s.Share < 1 && s.Refused > 0 {
					told++
				}
			}
		}
		if told == len(entries) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d entries have a verdict below 1", told, len(entries))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a limit that counts requests which have not run, and against one that
// applies to accounts without a limit. The limit itself gives 429 and a time to return.
func TestAccountLimitOfRequests(t *testing.T) {
	e := newQuotaFleet(t, 1)[0]
	// 50 requests/s are 2.5 times the limit, and few enough that the owner does not expect
	// them to exceed the burst before its next verdict.
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		if w := serveAccount(e, "atelier"); w.Code == http.StatusTooManyRequests {
			t.Fatal("requests that end as not-run use up the limit")
		}
		if w := serveAccount(e, "unlimited"); w.Code == http.StatusTooManyRequests {
			t.Fatal("an account without a limit is refused")
		}
	}
	if s := e.Accounts().Entry; len(s) != 1 || s[0].Admitted != 100 || s[0].Returned != 100 {
		t.Errorf("counts of accounts with a limit: %+v, want 100 requests admitted and returned", s)
	}
	e.accountQuota.meterMu.Lock()
	for range 200 {
		e.accountQuota.meter.Allow(time.Now(), "atelier", quota.Limit{Rate: 20, Burst: 20})
	}
	e.accountQuota.meterMu.Unlock()
	w := serveAccount(e, "atelier")
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") == "" {
		t.Errorf("over the limit: status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
}

// Guards against a new version whose lowered limit binds at once at the entry and the owner.
func TestVersionLowersAccountLimit(t *testing.T) {
	e := newQuotaFleet(t, 1)[0]
	e.SetConfig(parseConfig(t, strings.Replace(accountConfig, "rate = 20.0", "rate = 5.0", 1)))
	now, r := e.now(), e.routing.Load()
	if got := r.limit(now, "atelier").Rate; got != 20 {
		t.Errorf("rate %v within the window, want 20", got)
	}
	if got := r.limit(now.Add(quota.DefaultWindow), "atelier").Rate; got != 5 {
		t.Errorf("rate %v after the window, want 5", got)
	}
}

// Guards against malformed messages that are taken for reports, and against messages
// without the fleet token.
func TestQuotaMessagesAreChecked(t *testing.T) {
	e := newQuotaFleet(t, 2)[0]
	address := e.fleet.Load().members["n1"].DataAddress
	var v quota.Verdicts
	for _, message := range []gate.QuotaMessage{{}, {Report: &quota.Report{}, Push: &quota.Verdicts{}}} {
		if err := e.callGate(http.MethodPost, address, "/v1/quota", message, &v, time.Second); err == nil {
			t.Error("a message with neither or both kinds is accepted")
		}
	}
	e.options.Token = "another token"
	if err := e.callGate(http.MethodPost, address, "/v1/quota", gate.QuotaMessage{Push: &quota.Verdicts{}}, &v, time.Second); err == nil {
		t.Error("a message without the fleet token is accepted")
	}
}

// Measures the check of one request, which runs for each request of a limited account.
func BenchmarkCheckAccountQuota(b *testing.B) {
	m := quota.NewMeter(quota.MeterOptions{Node: "n1", Bounds: quota.Bounds{Window: quota.DefaultWindow, Overage: 0.1, Slack: 20}})
	now := time.Now()
	b.ReportAllocs()
	for range b.N {
		now = now.Add(time.Millisecond)
		m.Allow(now, "atelier", quota.Limit{Rate: 104, Burst: 104})
	}
}
