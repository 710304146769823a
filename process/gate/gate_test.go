package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/order"
	standin "github.com/hyssopsill/hyssopsill/standin/target"
)

const testToken = "token"

var testIncarnation = attempt.Incarnation{StartedMS: 100, Random: 1}

// fixture is a gate with one stand-in target.
type fixture struct {
	t       *testing.T
	gate    *Gate
	peerURL string
	target  *standin.Target
}

func newFixture(t *testing.T, slots int, skipVerification bool) *fixture {
	t.Helper()
	g := New(Options{Node: "g1", Token: testToken, HeaderBytes: 32 << 10, Now: time.Now,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}, skipVerification: skipVerification})
	g.Start(testIncarnation)
	peerServer, announceServer := httptest.NewServer(g.PeerHandler()), httptest.NewServer(g.AnnounceHandler())
	targetServer := httptest.NewUnstartedServer(nil)
	target := standin.New(standin.Options{ID: "t1", Service: "shop", Slots: slots, TTL: time.Minute, Node: announceServer.URL,
		Address: targetServer.Listener.Addr().String()})
	targetServer.Config.Handler = target
	targetServer.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		peerServer.Close()
		announceServer.Close()
		g.Close()
		targetServer.CloseClientConnections()
		targetServer.Close()
	})
	if err := target.Announce(ctx); err != nil {
		t.Fatal(err)
	}
	return &fixture{t: t, gate: g, peerURL: peerServer.URL, target: target}
}

type attemptResponse struct {
	verdict, reason string
	status          int
	body            string
	err             error
}

func attemptID(request string) string { return request + "/1/e1/1-1" }

// send sends an attempt; header holds pairs of names and values.
func (f *fixture) send(attemptID, path string, timeout time.Duration, header ...string) attemptResponse {
	req, err := http.NewRequest(http.MethodPost, f.peerURL+path, strings.NewReader("work"))
	if err != nil {
		return attemptResponse{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	req.Header.Set(attempt.HeaderFleet, testToken)
	req.Header.Set(attempt.HeaderAttempt, attemptID)
	req.Header.Set(attempt.HeaderTarget, "t1")
	req.Header.Set(attempt.HeaderTimeoutMS, fmt.Sprint(timeout.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return attemptResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := attemptResponse{verdict: resp.Header.Get(attempt.HeaderVerdict), reason: resp.Header.Get(attempt.HeaderReason), status: resp.StatusCode}
	body, err := io.ReadAll(resp.Body)
	r.body, r.err = string(body), err
	if v := resp.Trailer.Get(attempt.HeaderVerdict); v != "" {
		r.verdict, r.reason = v, resp.Trailer.Get(attempt.HeaderReason)
	}
	return r
}

func (f *fixture) withdraw(attemptID, gateIncarnation string) string {
	f.t.Helper()
	data, _ := json.Marshal(WithdrawRequest{Attempts: []Withdrawal{{Attempt: attemptID, Gate: gateIncarnation}}})
	req, _ := http.NewRequest(http.MethodPost, f.peerURL+"/v1/withdraw", bytes.NewReader(data))
	req.Header.Set(attempt.HeaderFleet, testToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var response WithdrawResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		f.t.Fatal(err)
	}
	return string(response.Attempts[attemptID])
}

func orderKeyHeader(id string, owner attempt.Incarnation) string {
	k := order.Key{Owner: order.Owner{Node: "g1", Incarnation: owner}, IssuedAt: time.Now(), ExpiresAt: time.Now().Add(time.Minute)}
	copy(k.ID[:], id)
	return FormatOrderKey(k)
}

// Guards against corrupt or truncated responses that are forwarded as valid. Without
// verification, responses with a wrong digest are.
func TestCorruptResponseIsRejected(t *testing.T) {
	for name, test := range map[string]struct {
		faults standin.Faults
		path   string
	}{
		"wrong digest":           {standin.Faults{WrongDigestShare: 1}, "/a"},
		"wrong digest of stream": {standin.Faults{WrongDigestShare: 1}, "/a?size=400000"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4, false)
			f.target.SetFaults(test.faults)
			if r := f.send(attemptID("r1"), test.path, time.Second); r.verdict != "failed" || r.reason != "answer-corrupt" {
				t.Errorf("got %s %s", r.verdict, r.reason)
			}
			unverified := newFixture(t, 4, true)
			unverified.target.SetFaults(test.faults)
			if r := unverified.send(attemptID("r1"), test.path, time.Second); r.verdict != "ran" {
				t.Errorf("the response was refused without verification: %s %s", r.verdict, r.reason)
			}
		})
	}
	f := newFixture(t, 4, false)
	f.target.SetFaults(standin.Faults{TruncateShare: 1})
	for _, path := range []string{"/a", "/a?size=400000"} {
		// Forced, as the open breaker would refuse the second request.
		if r := f.send(attemptID("r"+path[2:]), path, time.Second, attempt.HeaderForce, "1"); r.verdict != "failed" || r.reason != "target-failed" {
			t.Errorf("truncated %s: got %s %s", path, r.verdict, r.reason)
		}
	}
}

// Guards against an order that runs twice, or whose retry gets another response.
func TestOrderRetriesRunOnce(t *testing.T) {
	f := newFixture(t, 4, false)
	key := orderKeyHeader("k1", testIncarnation)
	send := func(n int) attemptResponse {
		return f.send(attemptID(fmt.Sprintf("r%d", n)), "/orders?work_ms=100", 2*time.Second, attempt.HeaderOrder, key, attempt.HeaderIdempotencyKey, "k1")
	}
	responses := make([]attemptResponse, 5)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() { responses[i] = send(i) })
	}
	wg.Wait()
	responses = append(responses, send(9))
	for _, r := range responses {
		if r.verdict != "ran" || r.body != responses[0].body {
			t.Errorf("got %+v, want %+v", r, responses[0])
		}
	}
	if n := f.target.Counts().Executions["k1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	oldKey := orderKeyHeader("k2", attempt.Incarnation{StartedMS: 99, Random: 1})
	if r := f.send(attemptID("r20"), "/orders", time.Second, attempt.HeaderOrder, oldKey); r.verdict != "unknown" || r.reason != "order-key-owner-gone" {
		t.Errorf("key of an earlier incarnation: got %+v", r)
	}
}

// Guards against an order whose response is lost for a retry because its entry
// disconnected.
func TestOrderFinishesWithoutItsEntry(t *testing.T) {
	f := newFixture(t, 4, false)
	key := orderKeyHeader("k1", testIncarnation)
	previousTimeout := http.DefaultClient.Timeout
	http.DefaultClient.Timeout = 100 * time.Millisecond
	r := f.send(attemptID("r1"), "/orders?work_ms=300", 200*time.Millisecond, attempt.HeaderOrder, key, attempt.HeaderIdempotencyKey, "k1")
	http.DefaultClient.Timeout = previousTimeout
	if r.err == nil {
		t.Fatalf("got %+v, want no response", r)
	}
	r = f.send(attemptID("r2"), "/orders", 2*time.Second, attempt.HeaderOrder, key, attempt.HeaderIdempotencyKey, "k1")
	if r.verdict != "ran" || f.target.Counts().Executions["k1"] != 1 {
		t.Errorf("got %+v after %d executions", r, f.target.Counts().Executions["k1"])
	}
}

// Guards against a withdrawn attempt that runs when it arrives late, and against a
// gate that reports never-started for an attempt sent to another incarnation.
func TestWithdrawal(t *testing.T) {
	f := newFixture(t, 4, false)
	if got := f.withdraw(attemptID("r1"), testIncarnation.String()); got != "never-started" {
		t.Errorf("unknown attempt: got %s", got)
	}
	if r := f.send(attemptID("r1"), "/orders", time.Second); r.verdict != "refused" || r.reason != "withdrawn" {
		t.Errorf("late arrival: got %s %s", r.verdict, r.reason)
	}
	if r := f.send(attemptID("r2"), "/orders", time.Second); r.verdict != "ran" {
		t.Errorf("got %+v", r)
	}
	if got := f.withdraw(attemptID("r2"), testIncarnation.String()); got != "finished" {
		t.Errorf("finished attempt: got %s", got)
	}
	if got := f.withdraw(attemptID("r3"), "1-1"); got != "not-proved" {
		t.Errorf("other incarnation: got %s", got)
	}
	if n := f.target.Counts().Requests; n != 1 {
		t.Errorf("the target got %d requests, want 1", n)
	}
}

// Guards against more requests at a target than its slots, against work that starts
// after a drain, and against a drain that cuts running work.
func TestSlotsAndDrain(t *testing.T) {
	f := newFixture(t, 2, false)
	var wg sync.WaitGroup
	responses := make([]attemptResponse, 6)
	for i := range responses {
		wg.Go(func() { responses[i] = f.send(attemptID(fmt.Sprintf("r%d", i)), "/a?work_ms=1000", 10*time.Second) })
	}
	for f.gate.Running() < len(responses) { // all have arrived; the work takes longer than that
		time.Sleep(time.Millisecond)
	}
	time.Sleep(75 * time.Millisecond)
	if _, ok := f.gate.DrainTarget(time.Now(), "t1"); !ok {
		t.Fatal("target unknown")
	}
	if r := f.send(attemptID("late"), "/a", time.Second); r.verdict != "refused" || r.reason != "leaving" {
		t.Errorf("after the drain: got %s %s", r.verdict, r.reason)
	}
	wg.Wait()
	ran, leaving := 0, 0
	for _, r := range responses {
		switch {
		case r.verdict == "ran":
			ran++
		case r.verdict == "refused" && r.reason == "leaving":
			leaving++
		}
	}
	if ran != 2 || leaving != 4 || f.target.Counts().MaxRunning > 2 {
		t.Errorf("%d ran, %d were refused, at most %d at once; want 2, 4, 2", ran, leaving, f.target.Counts().MaxRunning)
	}
}

// Guards against work that starts after its deadline.
func TestNothingStartsAfterItsDeadline(t *testing.T) {
	f := newFixture(t, 1, false)
	go f.send(attemptID("r1"), "/a?work_ms=400", 2*time.Second)
	time.Sleep(50 * time.Millisecond)
	r := f.send(attemptID("r2"), "/a", 100*time.Millisecond)
	if r.verdict != "refused" || (r.reason != "deadline" && r.reason != "overload") {
		t.Errorf("got %s %s", r.verdict, r.reason)
	}
	time.Sleep(400 * time.Millisecond)
	if n := f.target.Counts().Requests; n != 1 {
		t.Errorf("the target got %d requests, want 1", n)
	}
}

// Guards against an announced health endpoint that is never read, and against a fault
// that is still reported after the endpoint has recovered.
func TestHealthEndpointIsReported(t *testing.T) {
	f := newFixture(t, 2, false)
	var status atomic.Int32
	status.Store(http.StatusServiceUnavailable)
	healthServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) }))
	defer healthServer.Close()
	f.gate.mu.Lock()
	target := f.gate.targets["t1"]
	f.gate.mu.Unlock()
	waitForRead := func() { // Serve may be reading, too
		for reading := true; reading; time.Sleep(time.Millisecond) {
			f.gate.mu.Lock()
			reading = target.readingHealth
			f.gate.mu.Unlock()
		}
	}
	readHint := func() string {
		waitForRead()
		f.gate.mu.Lock()
		target.healthURL, target.healthReadAt = healthServer.URL+"/healthz?a=b", time.Time{}
		f.gate.mu.Unlock()
		f.gate.readHealthEndpoints(context.Background(), time.Now())
		waitForRead()
		h := http.Header{}
		(&exchange{gate: f.gate, targetID: "t1"}).setLoadHeaders(h)
		return h.Get(attempt.HeaderHint)
	}
	// A read that Serve began at the old address may end last.
	expectHint := func(want string) {
		t.Helper()
		got := readHint()
		for end := time.Now().Add(10 * time.Second); got != want && time.Now().Before(end); got = readHint() {
		}
		if got != want {
			t.Errorf("endpoint status %d: hint %q, want %q", status.Load(), got, want)
		}
	}
	expectHint("0")
	status.Store(http.StatusOK)
	expectHint("")
}
