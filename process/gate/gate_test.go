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

var incarnation = attempt.Incarnation{StartedMS: 100, Random: 1}

// bench is a gate with one stand-in target.
type bench struct {
	t    *testing.T
	gate *Gate
	url  string
	x    *standin.Target
}

func newBench(t *testing.T, slots int, noVerify bool) *bench {
	t.Helper()
	g := New(Options{Node: "g1", Token: testToken, HeaderBytes: 32 << 10, Now: time.Now,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}, noVerify: noVerify})
	g.Start(incarnation)
	peer, announce := httptest.NewServer(g.PeerHandler()), httptest.NewServer(g.AnnounceHandler())
	service := httptest.NewUnstartedServer(nil)
	x := standin.New(standin.Options{ID: "t1", Service: "shop", Slots: slots, TTL: time.Minute, Node: announce.URL,
		Address: service.Listener.Addr().String()})
	service.Config.Handler = x
	service.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		peer.Close()
		announce.Close()
		g.Close()
		service.CloseClientConnections()
		service.Close()
	})
	if err := x.Announce(ctx); err != nil {
		t.Fatal(err)
	}
	return &bench{t: t, gate: g, url: peer.URL, x: x}
}

type gateResult struct {
	verdict, reason string
	status          int
	body            string
	err             error
}

func id(request string) string { return request + "/1/e1/1-1" }

// send sends an attempt; header holds pairs of names and values.
func (b *bench) send(attemptID, path string, timeout time.Duration, header ...string) gateResult {
	req, err := http.NewRequest(http.MethodPost, b.url+path, strings.NewReader("work"))
	if err != nil {
		return gateResult{err: err}
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
		return gateResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := gateResult{verdict: resp.Header.Get(attempt.HeaderVerdict), reason: resp.Header.Get(attempt.HeaderReason), status: resp.StatusCode}
	body, err := io.ReadAll(resp.Body)
	r.body, r.err = string(body), err
	if v := resp.Trailer.Get(attempt.HeaderVerdict); v != "" {
		r.verdict, r.reason = v, resp.Trailer.Get(attempt.HeaderReason)
	}
	return r
}

func (b *bench) withdraw(attemptID, gateIncarnation string) string {
	b.t.Helper()
	data, _ := json.Marshal(WithdrawRequest{Attempts: []Withdrawal{{Attempt: attemptID, Gate: gateIncarnation}}})
	req, _ := http.NewRequest(http.MethodPost, b.url+"/v1/withdraw", bytes.NewReader(data))
	req.Header.Set(attempt.HeaderFleet, testToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer WithdrawResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		b.t.Fatal(err)
	}
	return string(answer.Attempts[attemptID])
}

func testKey(text string, owner attempt.Incarnation) string {
	k := order.Key{Owner: order.Owner{Node: "g1", Incarnation: owner}, IssuedAt: time.Now(), ExpiresAt: time.Now().Add(time.Minute)}
	copy(k.ID[:], text)
	return FormatOrderKey(k)
}

// Guards against answers of a target that are wrong and pass as whole. With the
// verification switched off they do.
func TestWrongAnswersOfATarget(t *testing.T) {
	for name, c := range map[string]struct {
		faults standin.Faults
		path   string
	}{
		"wrong digest":           {standin.Faults{WrongDigestShare: 1}, "/a"},
		"wrong digest of stream": {standin.Faults{WrongDigestShare: 1}, "/a?size=400000"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 4, false)
			b.x.SetFaults(c.faults)
			if r := b.send(id("r1"), c.path, time.Second); r.verdict != "failed" || r.reason != "answer-corrupt" {
				t.Errorf("got %s %s", r.verdict, r.reason)
			}
			off := newBench(t, 4, true)
			off.x.SetFaults(c.faults)
			if r := off.send(id("r1"), c.path, time.Second); r.verdict != "ran" {
				t.Errorf("the verification is off and the answer was refused: %s %s", r.verdict, r.reason)
			}
		})
	}
	b := newBench(t, 4, false)
	b.x.SetFaults(standin.Faults{TruncateShare: 1})
	for _, path := range []string{"/a", "/a?size=400000"} {
		// Forced, as the gate turns the second away from the failing target.
		if r := b.send(id("r"+path[2:]), path, time.Second, attempt.HeaderForce, "1"); r.verdict != "failed" || r.reason != "target-failed" {
			t.Errorf("truncated %s: got %s %s", path, r.verdict, r.reason)
		}
	}
}

// Guards against an order that runs twice, or whose repeat gets another answer.
func TestRepeatsOfAnOrder(t *testing.T) {
	b := newBench(t, 4, false)
	key := testKey("k1", incarnation)
	send := func(n int) gateResult {
		return b.send(id(fmt.Sprintf("r%d", n)), "/orders?work_ms=100", 2*time.Second, attempt.HeaderOrder, key, attempt.HeaderIdempotencyKey, "k1")
	}
	results := make([]gateResult, 5)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = send(i) })
	}
	wg.Wait()
	results = append(results, send(9))
	for _, r := range results {
		if r.verdict != "ran" || r.body != results[0].body {
			t.Errorf("got %+v, want %+v", r, results[0])
		}
	}
	if n := b.x.Counts().Executions["k1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	foreign := testKey("k2", attempt.Incarnation{StartedMS: 99, Random: 1})
	if r := b.send(id("r20"), "/orders", time.Second, attempt.HeaderOrder, foreign); r.verdict != "unknown" || r.reason != "order-key-owner-gone" {
		t.Errorf("key of an earlier incarnation: got %+v", r)
	}
}

// Guards against an order whose entry is gone and whose answer is lost for the
// repeat.
func TestOrderOutlivesItsEntry(t *testing.T) {
	b := newBench(t, 4, false)
	key := testKey("k1", incarnation)
	client := http.DefaultClient.Timeout
	http.DefaultClient.Timeout = 100 * time.Millisecond
	r := b.send(id("r1"), "/orders?work_ms=300", 200*time.Millisecond, attempt.HeaderOrder, key, attempt.HeaderIdempotencyKey, "k1")
	http.DefaultClient.Timeout = client
	if r.err == nil {
		t.Fatalf("got %+v, want no answer", r)
	}
	r = b.send(id("r2"), "/orders", 2*time.Second, attempt.HeaderOrder, key, attempt.HeaderIdempotencyKey, "k1")
	if r.verdict != "ran" || b.x.Counts().Executions["k1"] != 1 {
		t.Errorf("got %+v after %d executions", r, b.x.Counts().Executions["k1"])
	}
}

// Guards against a withdrawn attempt that runs when it arrives late, and
// against a proof given by another incarnation of the gate.
func TestWithdrawal(t *testing.T) {
	b := newBench(t, 4, false)
	if got := b.withdraw(id("r1"), incarnation.String()); got != "never-started" {
		t.Errorf("unknown attempt: got %s", got)
	}
	if r := b.send(id("r1"), "/orders", time.Second); r.verdict != "refused" || r.reason != "withdrawn" {
		t.Errorf("late arrival: got %s %s", r.verdict, r.reason)
	}
	if r := b.send(id("r2"), "/orders", time.Second); r.verdict != "ran" {
		t.Errorf("got %+v", r)
	}
	if got := b.withdraw(id("r2"), incarnation.String()); got != "finished" {
		t.Errorf("finished attempt: got %s", got)
	}
	if got := b.withdraw(id("r3"), "1-1"); got != "not-proved" {
		t.Errorf("other incarnation: got %s", got)
	}
	if n := b.x.Counts().Requests; n != 1 {
		t.Errorf("the target got %d requests, want 1", n)
	}
}

// Guards against more requests at a target than its slots, work after a drain,
// and a drain that cuts.
func TestSlotsAndDrain(t *testing.T) {
	b := newBench(t, 2, false)
	var wg sync.WaitGroup
	results := make([]gateResult, 6)
	for i := range results {
		wg.Go(func() { results[i] = b.send(id(fmt.Sprintf("r%d", i)), "/a?work_ms=150", 3*time.Second) })
	}
	time.Sleep(75 * time.Millisecond)
	if _, ok := b.gate.DrainTarget(time.Now(), "t1"); !ok {
		t.Fatal("target unknown")
	}
	if r := b.send(id("late"), "/a", time.Second); r.verdict != "refused" || r.reason != "leaving" {
		t.Errorf("after the drain: got %s %s", r.verdict, r.reason)
	}
	wg.Wait()
	ran, leaving := 0, 0
	for _, r := range results {
		switch {
		case r.verdict == "ran":
			ran++
		case r.verdict == "refused" && r.reason == "leaving":
			leaving++
		}
	}
	if ran != 2 || leaving != 4 || b.x.Counts().MaxRunning > 2 {
		t.Errorf("%d ran, %d were refused, at most %d at once; want 2, 4, 2", ran, leaving, b.x.Counts().MaxRunning)
	}
}

// Guards against work that starts after its deadline.
func TestNothingStartsAfterItsDeadline(t *testing.T) {
	b := newBench(t, 1, false)
	go b.send(id("r1"), "/a?work_ms=400", 2*time.Second)
	time.Sleep(50 * time.Millisecond)
	r := b.send(id("r2"), "/a", 100*time.Millisecond)
	if r.verdict != "refused" || (r.reason != "deadline" && r.reason != "overload") {
		t.Errorf("got %s %s", r.verdict, r.reason)
	}
	time.Sleep(400 * time.Millisecond)
	if n := b.x.Counts().Requests; n != 1 {
		t.Errorf("the target got %d requests, want 1", n)
	}
}

// Guards against a health endpoint that is announced and never read, and
// against one that outlasts its own recovery.
func TestHealthEndpointIsReported(t *testing.T) {
	b := newBench(t, 2, false)
	var status atomic.Int32
	status.Store(http.StatusServiceUnavailable)
	health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) }))
	defer health.Close()
	b.gate.mu.Lock()
	t1 := b.gate.targets["t1"]
	b.gate.mu.Unlock()
	idle := func() { // the gate's own loop may be reading, too
		for reading := true; reading; time.Sleep(time.Millisecond) {
			b.gate.mu.Lock()
			reading = t1.readingHint
			b.gate.mu.Unlock()
		}
	}
	read := func() string {
		idle()
		b.gate.mu.Lock()
		t1.healthURL, t1.hintAt = health.URL+"/healthz?a=b", time.Time{}
		b.gate.mu.Unlock()
		b.gate.readHints(context.Background(), time.Now())
		idle()
		h := http.Header{}
		(&exchange{g: b.gate, target: "t1"}).setLoad(h)
		return h.Get(attempt.HeaderHint)
	}
	// A read that the gate's own loop began at the old address may end last.
	until := func(want string) {
		t.Helper()
		got := read()
		for end := time.Now().Add(10 * time.Second); got != want && time.Now().Before(end); got = read() {
		}
		if got != want {
			t.Errorf("endpoint status %d: hint %q, want %q", status.Load(), got, want)
		}
	}
	until("0")
	status.Store(http.StatusOK)
	until("")
}
