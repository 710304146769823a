package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

const testConfig = `[services.shop]
floor = 0.5
customer_rate = 1000
customer_burst = 1000
[services.limited]
customer_rate = 1
customer_burst = 2
[services.limited.classes.browse]
idempotent = true
[services.shop.classes.browse]
idempotent = true
deadline = "500ms"
[services.shop.classes.order]
deadline = "500ms"
[[routes]]
id = "browse"
path_prefix = "/kits"
service = "shop"
class = "browse"
[[routes]]
id = "limited"
path_prefix = "/limited"
service = "limited"
class = "browse"
[[routes]]
id = "orders"
path_prefix = "/orders"
service = "shop"
class = "order"
`

// ignoreReporter ignores violations of invariants. Tests use it when verification
// is switched off and violations are expected.
type ignoreReporter struct{}

func (ignoreReporter) Check(invariant.Name, bool, string, ...any) {}

// newTestEntry returns a server of an entry whose targets are all at one fake gate.
func newTestEntry(t *testing.T, gateHandler http.HandlerFunc, noVerify bool, targets int) *httptest.Server {
	t.Helper()
	return newTestEntryWith(t, testConfig, gateHandler, noVerify, targets)
}

// newTestEntryWith does what newTestEntry does, with another configuration.
func newTestEntryWith(t *testing.T, configText string, gateHandler http.HandlerFunc, noVerify bool, targets int) *httptest.Server {
	t.Helper()
	gateServer := httptest.NewServer(gateHandler)
	t.Cleanup(gateServer.Close)
	r := rand.New(rand.NewPCG(1, 2))
	var reporter invariant.Reporter = invariant.PanicReporter{}
	if noVerify {
		reporter = ignoreReporter{}
	}
	e := New(Options{
		Node: "n1", Domain: "d1", Token: "token",
		HeaderBytes: 32 << 10, BodyBytes: 1 << 20, Now: time.Now, Rand: r, Log: zerolog.Nop(), Reporter: reporter,
		LogService: logservice.New(logservice.Options{}), noVerify: noVerify,
	})
	c, findings := config.Parse("test.toml", []byte(configText))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	e.Start(attempt.NewIncarnation(time.Now(), r))
	e.SetConfig(c)
	m := membership.Member{Node: "g1", Domain: "d1", State: membership.NodeAlive, DataAddress: gateServer.Listener.Addr().String(),
		Incarnation: attempt.Incarnation{StartedMS: 1}}
	for i := range targets {
		m.Targets = append(m.Targets, membership.Target{ID: fmt.Sprintf("t%d", i), Service: "shop", Slots: 4})
	}
	e.SetView(membership.View{Self: "n1", Members: []membership.Member{m}})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(e.Close)
	return server
}

// writeGateResponse sends a response as a gate does, with the given attempt and
// body and the digest of digestedBody.
func writeGateResponse(w http.ResponseWriter, attemptID, body, digestedBody string) {
	digest := attempt.NewBodyDigest()
	_, _ = io.WriteString(digest, digestedBody)
	h := w.Header()
	h.Set(attempt.HeaderAttempt, attemptID)
	h.Set(attempt.HeaderVerdict, string(attempt.VerdictRan))
	digest.SetTrailers(h)
	_, _ = io.WriteString(w, body)
}

// wrongResponses returns handlers of gates that send something other than the whole
// response to the attempt. The right response to a request is its path.
func wrongResponses() map[string]http.HandlerFunc {
	var previous atomic.Value
	previous.Store("none")
	large := strings.Repeat("x", gate.MaxBufferedBytes+5000)
	writeStream := func(w http.ResponseWriter, id, body, digestedBody string) {
		digest := attempt.NewBodyDigest()
		_, _ = io.WriteString(digest, digestedBody)
		h := w.Header()
		h.Set(attempt.HeaderAttempt, id)
		h.Set(attempt.HeaderVerdict, string(attempt.VerdictRan))
		h.Set(attempt.TrailerLength, strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		h.Set(http.TrailerPrefix+attempt.TrailerLength, strconv.FormatInt(digest.Length(), 10))
		h.Set(http.TrailerPrefix+attempt.TrailerDigest, digest.Sum())
	}
	return map[string]http.HandlerFunc{
		"foreign": func(w http.ResponseWriter, r *http.Request) {
			writeGateResponse(w, "0123/1/other/1-1", "another caller's answer", "another caller's answer")
		},
		"late": func(w http.ResponseWriter, r *http.Request) { // the response to the previous attempt
			id := previous.Swap(r.Header.Get(attempt.HeaderAttempt)).(string)
			writeGateResponse(w, id, "the answer before", "the answer before")
		},
		"truncated": func(w http.ResponseWriter, r *http.Request) {
			writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "/kits/sma", r.URL.Path)
		},
		"doubled": func(w http.ResponseWriter, r *http.Request) {
			writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), r.URL.Path+r.URL.Path, r.URL.Path)
		},
		"stream altered": func(w http.ResponseWriter, r *http.Request) {
			writeStream(w, r.Header.Get(attempt.HeaderAttempt), large[1:]+"y", large)
		},
		"stream cut": func(w http.ResponseWriter, r *http.Request) {
			writeStream(w, r.Header.Get(attempt.HeaderAttempt), large[:len(large)-100], large)
		},
	}
}

// deliversWrongResponse reports whether a caller gets a complete response with a
// wrong body.
func deliversWrongResponse(t *testing.T, url string) bool {
	t.Helper()
	resp, err := http.Get(url + "/kits/small")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) != "/kits/small"
}

// Guards against responses of other requests and late, truncated, doubled or altered
// ones that reach a caller. With verification switched off, each of them does.
func TestWrongResponsesAreNotDelivered(t *testing.T) {
	for name, handler := range wrongResponses() {
		t.Run(name, func(t *testing.T) {
			server := newTestEntry(t, handler, false, 2)
			for range 3 {
				if deliversWrongResponse(t, server.URL) {
					t.Error("a wrong response was delivered")
				}
			}
			unverified := newTestEntry(t, handler, true, 2)
			if !deliversWrongResponse(t, unverified.URL) {
				t.Error("verification is off and the wrong response was not delivered: the test checks nothing")
			}
		})
	}
}

// Guards against a copy of a poison request that is sent to another target although
// the crash that ended its first attempt completed the quarantine.
func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	for _, quarantined := range []bool{true, false} {
		var attempts atomic.Int32
		server := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
			attempts.Add(1)
			h := w.Header()
			h.Set(attempt.HeaderAttempt, r.Header.Get(attempt.HeaderAttempt))
			h.Set(attempt.HeaderVerdict, string(attempt.VerdictCrashed))
			h.Set(attempt.HeaderReason, string(attempt.ReasonTargetCrashed))
			attempt.NewProblem("", attempt.Unknown, attempt.ReasonTargetCrashed, "", 0).Write(w)
		}, false, 3)
		server.Config.Handler.(*Entry).options.Quarantined = func(poison.Request) bool { return quarantined && attempts.Load() > 0 }
		resp, err := http.Get(server.URL + "/kits")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if want := map[bool]int32{true: 1, false: 2}[quarantined]; attempts.Load() != want {
			t.Errorf("quarantined %v: %d attempts, want %d", quarantined, attempts.Load(), want)
		}
	}
}

// Guards against non-idempotent work that is retried although it may have run, and
// against the outcome not-run without proof.
func TestRetryOfNonIdempotentWork(t *testing.T) {
	refuse := func(w http.ResponseWriter, r *http.Request, verdict attempt.Verdict, reason attempt.Reason) {
		h := w.Header()
		h.Set(attempt.HeaderAttempt, r.Header.Get(attempt.HeaderAttempt))
		h.Set(attempt.HeaderVerdict, string(verdict))
		h.Set(attempt.HeaderReason, string(reason))
		attempt.NewProblem("", attempt.Unknown, reason, "", 0).Write(w)
	}
	for _, c := range []struct {
		name     string
		withdraw string // status in the response of the gate; empty: no response
		verdict  attempt.Verdict
		sent     int32
		outcome  string
	}{
		{"target failed", "", attempt.VerdictFailed, 1, "unknown"},
		{"target crashed", "", attempt.VerdictCrashed, 1, "unknown"},
		{"refused", "", attempt.VerdictRefused, 3, "not-run"},
		{"silent and withdrawn", "never-started", "", 3, "not-run"},
		{"silent and started", "started", "", 1, "unknown"},
		{"silent and not proved", "not-proved", "", 1, "unknown"},
		{"silent without a response to the withdrawal", "", "", 1, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int32
			server := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/withdraw" {
					if c.withdraw == "" {
						panic(http.ErrAbortHandler)
					}
					body, _ := io.ReadAll(r.Body)
					id := strings.Split(string(body), `"`)[5]
					_, _ = fmt.Fprintf(w, `{"attempts":{%q:%q}}`, id, c.withdraw)
					return
				}
				sent.Add(1)
				if c.verdict == "" {
					panic(http.ErrAbortHandler) // the connection breaks after the request
				}
				refuse(w, r, c.verdict, attempt.ReasonTargetFailed)
			}, false, 5)
			resp, err := http.Post(server.URL+"/orders", "text/plain", strings.NewReader("one kit"))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got := resp.Header.Get(attempt.HeaderOutcome); got != c.outcome || sent.Load() != c.sent {
				t.Errorf("got %s after %d attempts, want %s after %d", got, sent.Load(), c.outcome, c.sent)
			}
		})
	}
}

// Guards against fleet headers of a caller that reach a gate, and against fleet
// headers of a gate or target that reach a caller.
func TestFleetHeadersAreStripped(t *testing.T) {
	server := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{"Hyssopsill-Forged", "Hyssopsill-Order", "X-Named", "Connection"} {
			if v := r.Header.Get(name); v != "" {
				t.Errorf("the gate got %s: %s", name, v)
			}
		}
		if got := r.Header.Values(attempt.HeaderCustomer); len(got) != 1 || got[0] != "c1" {
			t.Errorf("the gate got customers %q", got)
		}
		w.Header().Set("Hyssopsill-Secret", "x")
		w.Header().Set("X-Kept", "y")
		writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "/kits/a", "/kits/a")
	}, false, 1)
	req, _ := http.NewRequest(http.MethodGet, server.URL+"/kits/a", nil)
	for name, value := range map[string]string{"Hyssopsill-Forged": "x", "Hyssopsill-Customer": "other", "X-Customer": "c1",
		"Hyssopsill-Order": "x", "X-Named": "x", "Connection": "X-Named"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	for name := range resp.Header {
		if strings.HasPrefix(name, "Hyssopsill-") && name != attempt.HeaderRequestID && name != attempt.HeaderOutcome {
			t.Errorf("the caller got %s", name)
		}
	}
	if resp.Header.Get("X-Kept") != "y" || resp.StatusCode != http.StatusOK {
		t.Errorf("got %s, X-Kept %q", resp.Status, resp.Header.Get("X-Kept"))
	}
}

// Guards against a request that never ends because its caller stopped sending the
// body.
func TestStalledUploadEndsAtDeadline(t *testing.T) {
	server := newTestEntry(t, func(http.ResponseWriter, *http.Request) { t.Error("the gate got an attempt") }, false, 1)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	start := time.Now()
	_, _ = io.WriteString(conn, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.Header.Get(attempt.HeaderOutcome) != "not-run" || time.Since(start) > 2*time.Second {
		t.Errorf("got %s %s after %s", resp.Status, resp.Header.Get(attempt.HeaderOutcome), time.Since(start))
	}
}

// Guards against a customer's rate limit that is not applied, or is applied to
// another customer.
func TestCustomerRateLimit(t *testing.T) {
	server := newTestEntry(t, func(http.ResponseWriter, *http.Request) { t.Error("the gate got an attempt") }, false, 0)
	get := func(customer string) *http.Response {
		req, _ := http.NewRequest(http.MethodGet, server.URL+"/limited", nil)
		req.Header.Set("X-Customer", customer)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp
	}
	for range 2 { // within the burst; the service has no target
		if resp := get("a"); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("within the burst: got %s", resp.Status)
		}
	}
	resp := get("a")
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" || resp.Header.Get(attempt.HeaderOutcome) != "not-run" {
		t.Errorf("beyond the burst: got %s, Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
	if resp := get("b"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("another customer: got %s", resp.Status)
	}
}

// Guards against requests whose gate never responds when their node stops: they
// must not be cut or wait forever, and they must get the outcome unknown.
func TestWaitingRequestsGetResponseWhenNodeStops(t *testing.T) {
	arrived := make(chan struct{}, 2)
	server := newTestEntryWith(t, strings.ReplaceAll(testConfig, `"500ms"`, `"10m"`), func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kits" && r.URL.Path != "/orders" {
			return
		}
		arrived <- struct{}{}
		<-r.Context().Done()
	}, false, 1)
	responses := make(chan *http.Response, 2)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		go func() {
			path := map[string]string{http.MethodGet: "/kits", http.MethodPost: "/orders"}[method]
			req, _ := http.NewRequest(method, server.URL+path, http.NoBody)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Errorf("%s: %v", path, err)
			}
			responses <- resp
		}()
	}
	<-arrived
	<-arrived
	server.Config.Handler.(*Entry).EndWaitingRequests()
	for range 2 {
		resp := <-responses
		if resp == nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.Header.Get(attempt.HeaderOutcome) != string(attempt.Unknown) || !strings.Contains(string(body), string(attempt.ReasonNodeStopping)) {
			t.Errorf("%s: %d %s %s %v", resp.Request.URL.Path, resp.StatusCode, resp.Header.Get(attempt.HeaderOutcome), body, err)
		}
	}
}

// Guards against a response to a request that began before the drain and keeps its
// connection open, so that the caller sends its next request when the node closes it.
func TestResponseDuringDrainClosesConnection(t *testing.T) {
	for _, refused := range []bool{false, true} {
		var e *Entry
		server := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
			e.Drain()
			if refused {
				refuseAttempt(w, r, attempt.ReasonLeaving)
				return
			}
			writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "body", "body")
		}, false, 1)
		e = server.Config.Handler.(*Entry)
		resp, err := http.Get(server.URL + "/kits")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if !resp.Close || (resp.StatusCode == http.StatusOK) == refused {
			t.Errorf("refused %t: %s, connection closes: %t", refused, resp.Status, resp.Close)
		}
	}
}

// refuseAttempt sends the refusal of an attempt as a gate does.
func refuseAttempt(w http.ResponseWriter, r *http.Request, reason attempt.Reason) {
	h := w.Header()
	h.Set(attempt.HeaderAttempt, r.Header.Get(attempt.HeaderAttempt))
	h.Set(attempt.HeaderVerdict, string(attempt.VerdictRefused))
	h.Set(attempt.HeaderReason, string(reason))
	attempt.NewProblem("r", attempt.NotRun, reason, "", 0).Write(w)
}

// Guards against an order with a key that is not served because the gate of its key
// refuses a target as failing. Another target of that gate must serve it, or the
// failing one when there is no other.
func TestKeyedOrderAvoidsFailingTargets(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets int
		failing map[string]bool
		forced  bool
	}{
		{"another target of the gate", 2, map[string]bool{"t0": true}, false},
		{"no other target", 1, map[string]bool{"t0": true}, true},
		{"all fail", 2, map[string]bool{"t0": true, "t1": true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var forced, served atomic.Int32
			server := newTestEntryWith(t, strings.ReplaceAll(testConfig, `"500ms"`, `"10m"`), func(w http.ResponseWriter, r *http.Request) {
				force := r.Header.Get(attempt.HeaderForce) == "1"
				if c.failing[r.Header.Get(attempt.HeaderTarget)] && !force {
					refuseAttempt(w, r, attempt.ReasonTargetFailing)
					return
				}
				if force {
					forced.Add(1)
				}
				served.Add(1)
				writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
			}, false, c.targets)
			for range 6 { // targets are picked at random
				req, _ := http.NewRequest(http.MethodPost, server.URL+"/orders", http.NoBody)
				req.Header.Set(attempt.HeaderIdempotencyKey, fetchOrderKey(t, server))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("%d %s", resp.StatusCode, body)
				}
			}
			if served.Load() != 6 || (forced.Load() > 0) != c.forced {
				t.Errorf("%d attempts served, %d forced", served.Load(), forced.Load())
			}
		})
	}
}

// fetchOrderKey requests an order key from the entry.
func fetchOrderKey(t *testing.T, server *httptest.Server) string {
	t.Helper()
	resp, err := http.Post(server.URL+orderKeysPath+"?service=shop", "", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var key IssuedKey
	if err := json.NewDecoder(resp.Body).Decode(&key); err != nil {
		t.Fatal(err)
	}
	return key.Key
}
