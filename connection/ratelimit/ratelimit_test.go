package ratelimit

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

var epoch = time.Unix(1_800_000_000, 0)

// operation is one request or release in a history.
type operation struct{ entry, customer, wait, release int }

var history = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
	n := rapid.IntRange(0, 99)
	return operation{n.Draw(t, "entry"), n.Draw(t, "customer"), n.Draw(t, "wait"), n.Draw(t, "release")}
}), 100, 500)

const entryCount = 3

var limits = Limits{Rate: 40, Concurrency: 12, CustomerRate: 6, CustomerBurst: 6, CustomerConcurrency: 6}

// runHistory sends requests of 12 customers to three entries, each with at most
// the given number of buckets, and returns messages on requests that exceed a limit
// of the fleet by more than one per entry and on entries with too many buckets.
func runHistory(o Options, buckets int, operations []operation) []string {
	o.MaxCustomers = buckets
	var limiters [entryCount]*Limiter
	for i := range limiters {
		o.DefaultShare = 1.0 / entryCount
		limiters[i] = New(o)
		limiters[i].SetServices(epoch, map[string]Limits{"s": limits})
		limiters[i].SetShares(epoch, map[string]float64{"s": []float64{0.5, 0.3, 0.2}[i]})
	}
	type runningRequest struct {
		entry    int
		customer string
	}
	var inProgress []runningRequest
	var violations []string
	now, allowed, perCustomer := epoch, 0.0, map[string]float64{}
	for _, operation := range operations {
		now = now.Add(time.Duration(operation.wait) * time.Millisecond / 10)
		if operation.release < 45 && len(inProgress) > 0 {
			i := operation.release % len(inProgress)
			limiters[inProgress[i].entry].Release(now, "s", inProgress[i].customer)
			inProgress = append(inProgress[:i], inProgress[i+1:]...)
			continue
		}
		entry, customer := operation.entry%entryCount, fmt.Sprint(operation.customer%12)
		if operation.customer < 40 {
			customer = "0" // customer 0 sends more than the others
		}
		if !limiters[entry].Allow(now, "s", customer).Allowed {
			continue
		}
		inProgress = append(inProgress, runningRequest{entry, customer})
		allowed++
		perCustomer[customer]++
		elapsed := now.Sub(epoch).Seconds()
		// The burst and rate of the limit plus one per entry.
		if bound := limits.Rate*(elapsed+0.1) + entryCount*(1+elapsed); allowed > bound {
			violations = append(violations, fmt.Sprintf("%v requests in %.2f s, at most %.1f", allowed, elapsed, bound))
		}
		if bound := limits.CustomerRate*(elapsed+1) + entryCount*(1+elapsed); perCustomer[customer] > bound {
			violations = append(violations, fmt.Sprintf("customer %s: %v requests in %.2f s, at most %.1f", customer, perCustomer[customer], elapsed, bound))
		}
		ofCustomer := 0
		for _, request := range inProgress {
			if request.customer == customer {
				ofCustomer++
			}
		}
		if len(inProgress) > limits.Concurrency+entryCount || ofCustomer > limits.CustomerConcurrency+entryCount {
			violations = append(violations, fmt.Sprintf("%d in progress, %d of customer %s", len(inProgress), ofCustomer, customer))
		}
		if n := limiters[entry].Customers(); n > buckets {
			violations = append(violations, fmt.Sprintf("%d buckets, bound %d", n, buckets))
		}
	}
	return violations
}

// Guards against limits that are exceeded by more than one per entry, also when
// buckets are evicted continually.
func TestLimitHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buckets := rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "buckets")
		if violations := runHistory(Options{}, buckets, history.Draw(t, "history")); len(violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}

// Proves that the histories find customers that gain tokens by eviction.
func TestLimitHistoriesFindGainedTokens(t *testing.T) {
	found := 0
	for seed := range 50 {
		if len(runHistory(Options{fullAfterEviction: true}, 1, history.Example(seed))) > 0 {
			found++
		}
	}
	t.Logf("violation found in %d of 50 histories", found)
	if found == 0 {
		t.Error("no history finds a violation")
	}
}

// Guards against an eviction that drops the count of requests in progress, which
// would let a customer exceed its concurrency limit.
func TestEvictionKeepsRequestsInProgress(t *testing.T) {
	thirdAllowed := func(o Options) bool {
		o.MaxCustomers = 1
		l := New(o)
		l.SetServices(epoch, map[string]Limits{"s": {CustomerRate: 10, CustomerConcurrency: 2}})
		now := epoch
		for _, c := range []string{"a", "a", "b"} {
			if now = now.Add(time.Second); !l.Allow(now, "s", c).Allowed {
				t.Fatalf("customer %s refused below its limits", c)
			}
		}
		return l.Allow(now.Add(time.Second), "s", "a").Allowed
	}
	if thirdAllowed(Options{}) {
		t.Error("third request allowed although two of at most two are in progress")
	}
	if !thirdAllowed(Options{forgetRunning: true}) {
		t.Error("the check finds no violation although the requests in progress were dropped")
	}
}

// Guards against a RetryAfter that is too short, too long or missing, and against
// refused requests that take a token.
func TestRetryAfterIsExact(t *testing.T) {
	for _, serviceLimits := range []Limits{{Rate: 10}, {CustomerRate: 10, CustomerBurst: 1}} {
		l := New(Options{})
		l.SetServices(epoch, map[string]Limits{"s": serviceLimits})
		now := epoch
		for l.Allow(now, "s", "c").Allowed {
		}
		refusal := l.Allow(now, "s", "c")
		if refusal.Reason != attempt.ReasonRateLimit || refusal.RetryAfter <= 0 {
			t.Fatalf("%+v: refusal %+v", serviceLimits, refusal)
		}
		if l.Allow(now.Add(refusal.RetryAfter-time.Millisecond), "s", "c").Allowed {
			t.Errorf("%+v: allowed before %v", serviceLimits, refusal.RetryAfter)
		}
		if retried := l.Allow(now.Add(refusal.RetryAfter), "s", "c"); !retried.Allowed {
			t.Errorf("%+v: refused after %v: %+v", serviceLimits, refusal.RetryAfter, retried)
		}
	}
}

// Guards against limits that ignore a changed share, or the default share when none
// was reported.
func TestShares(t *testing.T) {
	l := New(Options{DefaultShare: 0.25})
	l.SetServices(epoch, map[string]Limits{"s": {Concurrency: 100}, "small": {Concurrency: 2}})
	countAllowed := func(service string) (n int) {
		for l.Allow(epoch, service, "c").Allowed {
			n++
		}
		for range n {
			l.Release(epoch, service, "c")
		}
		return n
	}
	if n := countAllowed("s"); n != 25 {
		t.Errorf("default share of 100: %d, want 25", n)
	}
	l.SetShares(epoch, map[string]float64{"s": 0.6})
	if n := countAllowed("s"); n != 60 {
		t.Errorf("share of 100: %d, want 60", n)
	}
	if n := countAllowed("small"); n != 1 {
		t.Errorf("quarter of 2: %d, want the minimum, 1", n)
	}
}

// BenchmarkLimiter measures one request, and the memory per customer, by the number of
// customers.
func BenchmarkLimiter(b *testing.B) {
	for _, customers := range []int{1_000, 10_000, 52_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprintf("customer-%06d", i)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := New(Options{})
			l.SetServices(epoch, map[string]Limits{"s": {Rate: math.MaxInt32, CustomerRate: 1e6, CustomerConcurrency: 10}})
			now := epoch
			for _, n := range names {
				l.Allow(now, "s", n)
				l.Release(now, "s", n)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				n := names[i%customers]
				l.Allow(now, "s", n)
				l.Release(now, "s", n)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(customers), "B/customer")
		})
	}
}
