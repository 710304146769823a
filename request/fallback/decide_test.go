package fallback

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newRequest(refusals ...Refusal) Request {
	return Request{Start: start, Deadline: start.Add(6 * time.Second), Objective: 2 * time.Second, ServiceTime: 500 * time.Millisecond, Refusals: refusals}
}

// Guards against work that is forced to a failing target while a healthy one could
// serve it late, against a queue that it cannot leave before its deadline, and against
// a second try at the same queue.
func TestDecide(t *testing.T) {
	busy := Refusal{Target: "busy", Wait: time.Second}
	busier := Refusal{Target: "busier", Wait: 2 * time.Second}
	hopeless := Refusal{Target: "hopeless", Wait: 10 * time.Second}
	failing := Refusal{Target: "failing", Failing: true, Wait: 250 * time.Millisecond}
	triedLate := Refusal{Target: "busy", Wait: 500 * time.Millisecond, Late: true}
	for name, c := range map[string]struct {
		refusals []Refusal
		age      time.Duration
		called   bool
		want     Decision
	}{
		"no refusal":                  {nil, 0, false, Decision{Step: Reject}},
		"shortest queue":              {[]Refusal{busier, failing, busy}, 0, false, Decision{Step: QueueLate, Target: "busy"}},
		"next queue":                  {[]Refusal{busy, busier, triedLate}, 0, false, Decision{Step: QueueLate, Target: "busier"}},
		"short wait":                  {[]Refusal{busy, triedLate}, 0, false, Decision{Step: Wait, Delay: retryDelay}},
		"no room":                     {[]Refusal{hopeless}, time.Second, false, Decision{Step: Reject}},
		"no room but failing targets": {[]Refusal{hopeless, failing}, time.Second, false, Decision{Step: Reject}},
		"called work without room":    {[]Refusal{hopeless, failing}, time.Second, true, Decision{Step: Force}},
		"failing targets only":        {[]Refusal{failing}, time.Second, false, Decision{Step: Force}},
		"failing a moment ago":        {[]Refusal{failing}, 0, false, Decision{Step: Wait, Delay: retryDelay}},
	} {
		q := newRequest(c.refusals...)
		q.Called = c.called
		got := Decide(start.Add(c.age), q, newRandom())
		if got.RetryAfter > 0 {
			got.RetryAfter = 0
		}
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against rejected callers that all return at once, and against callers that
// return later than others although they have waited longer.
func TestRejectedCallersReturnInOrder(t *testing.T) {
	random := newRandom()
	mean := func(age time.Duration) (mean, least, most time.Duration) {
		least = time.Hour
		for range 200 {
			q := newRequest(Refusal{Target: "a", Wait: 10 * time.Second})
			after := Decide(start.Add(age), q, random).RetryAfter
			mean, least, most = mean+after/200, min(least, after), max(most, after)
		}
		return mean, least, most
	}
	fresh, least, most := mean(time.Second)
	waited, _, _ := mean(4 * time.Second)
	if waited >= fresh {
		t.Errorf("a caller that waited 4 s returns after %s, one that waited 1 s after %s", waited, fresh)
	}
	if most-least < 5*time.Second {
		t.Errorf("callers return between %s and %s, not spread over the expected wait", least, most)
	}
}

// Guards against a request that asks every target in turn while all have queues.
func TestExhausted(t *testing.T) {
	var refusals []Refusal
	for range 10 {
		refusals = append(refusals, Refusal{Failing: true})
	}
	if Exhausted(refusals) {
		t.Error("failing targets count as targets without room")
	}
	for range maxRefusals {
		refusals = append(refusals, Refusal{})
	}
	if !Exhausted(refusals) {
		t.Errorf("not exhausted after %d refusals", maxRefusals)
	}
}
