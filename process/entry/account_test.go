package entry

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const accountsConfig = testConfig + `[[routes]]
id = "public"
path_prefix = "/public"
service = "shop"
class = "browse"
public = true
[accounts.a]
keys = ["key-of-a"]
rank = 2
[accounts.b]
keys = ["key-of-b"]
`

func parseConfig(t *testing.T, text string) *config.Config {
	t.Helper()
	c, findings := config.Parse("test.toml", []byte(text))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return c
}

// Guards against an attempt that carries a wrong account or rank, or the key; against a
// caller that passes for the customer of an account; and against a refused request that
// reaches a gate.
func TestAccountBetweenEntryAndGate(t *testing.T) {
	var mu sync.Mutex
	var got http.Header
	gateHandler := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		got = r.Header.Clone()
		mu.Unlock()
		writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
	}
	text := strings.Replace(accountsConfig, "[services.shop.classes.browse]\n", "[services.shop.classes.browse]\nrank = 3\n", 1)
	server := newTestEntryWith(t, text, gateHandler, false, 1)
	for name, c := range map[string]struct {
		path, key, customer                 string
		status                              int
		wantAccount, wantRank, wantCustomer string
	}{
		"account with a rank":    {"/kits/a", "key-of-a", "other", 200, "a", "35", "a"},
		"account without a rank": {"/kits/a", "key-of-b", "", 200, "b", "51", "b"},
		"public route":           {"/public/a", "", "school-7", 200, "", "51", "school-7"},
		"public, account's name": {"/public/a", "", "a", 200, "", "51", "anonymous:a"},
		"no key":                 {"/kits/a", "", "a", 401, "", "", ""},
		"unknown key":            {"/kits/a", "key-of-c", "a", 401, "", "", ""},
		"order key without key":  {orderKeysPath + "?service=shop", "", "a", 401, "", "", ""},
	} {
		mu.Lock()
		got = nil
		mu.Unlock()
		req, _ := http.NewRequest(http.MethodPost, server.URL+c.path, strings.NewReader("work"))
		for field, value := range map[string]string{attempt.HeaderAccountKey: c.key, "X-Customer": c.customer} {
			if value != "" {
				req.Header.Set(field, value)
			}
		}
		req.Header.Set(attempt.HeaderAccountName, "forged")
		req.Header.Set(attempt.HeaderRank, "0")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		mu.Lock()
		header := got
		mu.Unlock()
		if resp.StatusCode != c.status || (header != nil) != (c.status == 200) {
			t.Errorf("%s: status %d, the gate got %v", name, resp.StatusCode, header)
			continue
		}
		if c.status == 401 && (resp.Header.Get("Www-Authenticate") == "" || resp.Header.Get(attempt.HeaderOutcome) != "not-run") {
			t.Errorf("%s: refusal with header %v", name, resp.Header)
		}
		for field, want := range map[string]string{attempt.HeaderAccountName: c.wantAccount, attempt.HeaderRank: c.wantRank,
			attempt.HeaderCustomer: c.wantCustomer, attempt.HeaderAccountKey: ""} {
			if value := strings.Join(header.Values(field), ","); value != want {
				t.Errorf("%s: the gate got %s %q, want %q", name, field, value, want)
			}
		}
	}
}

// Guards against a configuration without accounts or ranks that is served in another way.
func TestWithoutAccountsNothingIsSent(t *testing.T) {
	server := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(attempt.HeaderAccountName) != "" || r.Header.Get(attempt.HeaderRank) != "" || r.Header.Get(attempt.HeaderCustomer) != "c1" {
			t.Errorf("the gate got %v", r.Header)
		}
		writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
	}, false, 1)
	req, _ := http.NewRequest(http.MethodGet, server.URL+"/kits/a", nil)
	req.Header.Set("X-Customer", "c1")
	req.Header.Set(attempt.HeaderAccountKey, "any")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("got %s", resp.Status)
	}
}

// Guards against a 401 before a configuration is known, against requests that are counted
// for another customer than the account, and against a key in records.
func TestAccountInRecords(t *testing.T) {
	var mu sync.Mutex
	var records []record.Record
	var customers []string
	e := New(Options{
		Node: "n1", Domain: "d1", Token: "token", HeaderBytes: 32 << 10, BodyBytes: 1 << 20, Now: time.Now, Rand: rand.New(rand.NewPCG(1, 2)),
		Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}, LogService: logservice.New(logservice.Options{}),
		Record: func(r record.Record) { mu.Lock(); records = append(records, r); mu.Unlock() },
		OnRequestEnd: func(_, _, customer string, _ attempt.Outcome, _ attempt.Reason, _ time.Duration) {
			mu.Lock()
			customers = append(customers, customer)
			mu.Unlock()
		},
	})
	t.Cleanup(e.Close)
	e.Start(attempt.Incarnation{StartedMS: 1})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	get := func(key string) int {
		req, _ := http.NewRequest(http.MethodGet, server.URL+"/kits/a", nil)
		req.Header.Set(attempt.HeaderAccountKey, key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for _, key := range []string{"", "key-of-a", "other"} {
		if status := get(key); status != http.StatusServiceUnavailable {
			t.Errorf("key %q without a configuration: status %d", key, status)
		}
	}
	e.SetConfig(parseConfig(t, accountsConfig))
	if status := get("key-of-b"); status != http.StatusServiceUnavailable { // no target
		t.Errorf("known key: status %d", status)
	}
	if status := get("key-of-x"); status != http.StatusUnauthorized {
		t.Errorf("unknown key: status %d", status)
	}
	server.Close() // ends the requests
	mu.Lock()
	defer mu.Unlock()
	if len(customers) != 5 || customers[3] != "b" || strings.HasPrefix(customers[4], "key") {
		t.Errorf("customers %q", customers)
	}
	if len(records) != 5 || records[3].Request.Customer != e.hash("customer", "b") || records[4].Request.Reason != attempt.ReasonUnauthenticated {
		t.Errorf("records %+v", records)
	}
	for _, r := range records {
		if text := strings.Join(r.Sentences(), " ") + r.Request.Detail; strings.Contains(text, "key-of") {
			t.Errorf("a record contains a key: %s", text)
		}
	}
}
