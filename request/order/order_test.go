package order

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

var (
	self  = Owner{Node: "n1", Incarnation: attempt.Incarnation{StartedMS: 1, Random: 2}}
	other = Owner{Node: "n2", Incarnation: attempt.Incarnation{StartedMS: 1, Random: 3}}
)

func keyOf(n int, expires time.Time) Key {
	k := Key{Owner: self, ExpiresAt: expires}
	binary.BigEndian.PutUint64(k.ID[:], uint64(n)+1)
	return k
}

func attemptOf(n int) attempt.ID {
	return attempt.ID{Request: attempt.RequestID(fmt.Sprint(n)), Number: 1, Entry: "e"}
}

// Guards against forged, foreign, expired or other customers' keys that pass
// for issued ones, and against text that a header cannot carry.
func TestMinter(t *testing.T) {
	m := NewKeyIssuer(KeyIssuerOptions{FleetToken: "secret"}, rand.New(rand.NewPCG(1, 1)))
	text := m.Issue(epoch, "orders", "school-7", self)
	if strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") != "" {
		t.Errorf("key %q is not safe in a header", text)
	}
	k, err := m.Parse(epoch.Add(time.Minute), text)
	if err != nil || k.Owner != self || k.Service != "orders" || !k.ExpiresAt.Equal(epoch.Add(30*time.Minute)) {
		t.Errorf("parsed %+v, %v", k, err)
	}
	if err := m.CheckCustomer(text, "orders", "school-7"); err != nil {
		t.Errorf("own key: %v", err)
	}
	if m.CheckCustomer(text, "orders", "school-8") == nil || m.CheckCustomer(text, "library", "school-7") == nil {
		t.Error("key of another customer or service is accepted")
	}
	for i := len(keyPrefix); i < len(text); i++ {
		changed := []byte(text)
		changed[i] = "AB"[(changed[i]&1)^('A'&1)]
		if k2, err := m.Parse(epoch, string(changed)); err == nil && k2.ID != k.ID {
			t.Fatalf("changed character %d is accepted as another key", i)
		}
	}
	for _, c := range []struct {
		now  time.Time
		text string
		want error
	}{
		{epoch, "customer-made", ErrCustomerKey}, {epoch, keyPrefix + "AAAA", ErrInvalid}, {epoch, keyPrefix, ErrInvalid},
		{epoch.Add(30 * time.Minute), text, ErrExpired}, {epoch.Add(-time.Hour), text, ErrTooEarly},
	} {
		if _, err := m.Parse(c.now, c.text); !errors.Is(err, c.want) {
			t.Errorf("parse of %q: %v, want %v", c.text, err, c.want)
		}
	}
	if m.CustomerKeyID("s", "a", "k") == m.CustomerKeyID("s", "b", "k") {
		t.Error("equal texts of two customers are one key")
	}
}

// Guards against waiting repeats that are lost or run, answers that are not
// repeated, and memory that grows with the bodies.
func TestRepeatsGetTheStoredAnswer(t *testing.T) {
	g := NewRegistry(Options{Self: self, MaxResponseBytes: 3 * (answerOverhead + 1000), MaxWaiters: 2}, invariant.PanicReporter{})
	now, end := epoch, epoch.Add(30*time.Minute)
	for i := range 10 {
		k := keyOf(i, end)
		g.Begin(now, k, attemptOf(10*i))
		if !g.Start(now, k, attemptOf(10*i), now.Add(time.Second)) {
			t.Fatal("start refused")
		}
		for j := 1; j <= 3; j++ {
			res := g.Begin(now, k, attemptOf(10*i+j))
			if want := []Action{0, Wait, Wait, Refuse}[j]; res.Action != want || j == 3 && res.Outcome != attempt.Unknown {
				t.Fatalf("repeat %d: %+v", j, res)
			}
		}
		woken := g.Finish(now, k, attemptOf(10*i), Result{Outcome: attempt.Answered, Status: 201, Body: make([]byte, 1000)})
		if len(woken) != 2 {
			t.Fatalf("%d woken, want 2", len(woken))
		}
		for _, a := range woken {
			if res := g.Begin(now, k, a); res.Action != Done || res.Stored.Status != 201 || len(res.Stored.Body) != 1000 {
				t.Fatalf("woken repeat: %+v", res)
			}
		}
	}
	if u := g.Usage(); u.AnswerBytes > 3*(answerOverhead+1000) || u.Keys != 10 {
		t.Errorf("usage %+v beyond the bound, or keys forgotten", u)
	}
	if res := g.Begin(now, keyOf(0, end), attemptOf(1000)); res.Action != Done || !res.Stored.BodyDropped {
		t.Errorf("order whose answer was dropped: %+v, want done without body", res)
	}
	k := keyOf(11, end)
	g.Begin(now, k, attemptOf(2000))
	g.Start(now, k, attemptOf(2000), time.Time{})
	g.Finish(now, k, attemptOf(2000), Result{Outcome: attempt.Answered, Header: http.Header{"A": {"b"}}, Body: make([]byte, MaxStoredBody+1)})
	if res := g.Begin(now, k, attemptOf(2001)); res.Action != Done || !res.Stored.BodyDropped || res.Stored.Header["A"][0] != "b" {
		t.Errorf("large answer: %+v, want done with header and without body", res)
	}
	g.Tick(end.Add(2 * expiryStep))
	if u := g.Usage(); u.Keys != 0 || u.AnswerBytes != 0 {
		t.Errorf("usage %+v after the expiry", u)
	}
}

// Guards against a withdrawal that was read after a pause and calls an attempt
// never started because its run was forgotten meanwhile.
func TestWithdrawalAfterPause(t *testing.T) {
	for _, off := range []bool{false, true} {
		g := NewRegistry(Options{Self: self, AttemptTTL: 10 * time.Minute, countPauses: off}, invariant.PanicReporter{})
		a := attemptOf(1)
		g.Begin(epoch, Key{}, a)
		g.Start(epoch, Key{}, a, time.Time{})
		g.Finish(epoch, Key{}, a, Result{Outcome: attempt.Unknown})
		res, _ := g.Withdraw(epoch.Add(time.Hour), Withdrawal{Attempt: a, Gate: self, Age: time.Second})
		if want := []WithdrawResult{Finished, NeverStarted}[map[bool]int{false: 0, true: 1}[off]]; res != want {
			t.Errorf("pauses counted %v: result %d, want %d", off, res, want)
		}
		if res, _ := g.Withdraw(epoch, Withdrawal{Attempt: attemptOf(2), Gate: other}); res != NotProved {
			t.Errorf("attempt sent to another incarnation: %d, want NotProved", res)
		}
	}
}

func record(offset int64, id string, at time.Time, o Owner, keys ...KeyID) eventlog.Record {
	b := Batch{ID: id}
	for _, k := range keys {
		b.Items = append(b.Items, Binding{Key: k, Owner: o, At: at})
	}
	data, _ := json.Marshal(b)
	return eventlog.Record{Offset: offset, Data: data}
}

// Guards against a binding that a late or repeated record replaces, a key that
// stays bound after its window, and folds that depend on the reader's clock.
func TestBindingWindow(t *testing.T) {
	k, window := keyOf(1, epoch).ID, 24*time.Hour
	records := []eventlog.Record{
		record(1, "a", epoch, self, k), record(2, "b", epoch.Add(time.Hour), other, k), record(3, "a", epoch, self, k),
		record(4, "c", epoch.Add(window), other, k), record(5, "a", epoch, self, k),
	}
	for _, skew := range []time.Duration{-time.Hour, 0, time.Hour, 3 * window} {
		b := NewBindings(BindingsOptions{}, other)
		for i, r := range records {
			if _, err := b.Apply(epoch.Add(skew), r); err != nil {
				t.Fatal(err)
			}
			b.CaughtUp(epoch)
			want := self
			if i >= 3 {
				want = other
			}
			if _, key := b.Lookup(epoch.Add(time.Minute), k, "s"); key.Owner != want {
				t.Errorf("skew %v, record %d: owner %v, want %v", skew, i+1, key.Owner, want)
			}
		}
		b.CaughtUp(epoch.Add(2 * window))
		if s, _ := b.Lookup(epoch.Add(2*window), k, "s"); s != Unbound {
			t.Errorf("skew %v: state %d after the window, want unbound", skew, s)
		}
	}
}

// Guards against a key called unbound while its binding may be in records that
// were trimmed, or in a log that cannot be read.
func TestTrimmedAndUnavailableLog(t *testing.T) {
	k := keyOf(1, epoch).ID
	for _, c := range []struct {
		retention time.Duration
		want      LookupState
	}{{0, Unavailable}, {12 * time.Hour, Unavailable}, {48 * time.Hour, Unbound}} {
		b := NewBindings(BindingsOptions{Retention: c.retention}, self)
		b.Trimmed(epoch, 100)
		b.CaughtUp(epoch)
		if s, _ := b.Lookup(epoch, k, "s"); s != c.want {
			t.Errorf("retention %v: state %d, want %d", c.retention, s, c.want)
		}
		b.CaughtUp(epoch.Add(25 * time.Hour))
		if s, _ := b.Lookup(epoch.Add(25*time.Hour), k, "s"); s != Unbound {
			t.Errorf("retention %v: state %d after the window, want unbound", c.retention, s)
		}
		if _, err := b.Apply(epoch, record(102, "x", epoch, self, k)); err == nil {
			t.Error("a record after a hole is folded")
		}
		if _, err := b.Apply(epoch, record(100, "x", epoch, other, k)); err != nil {
			t.Error(err)
		}
		if s, key := b.Lookup(epoch.Add(time.Hour), k, "s"); s != Bound || key.Owner != other {
			t.Errorf("bound key in an outage: state %d, owner %v", s, key.Owner)
		}
		if s, _ := b.Lookup(epoch.Add(26*time.Hour), keyOf(2, epoch).ID, "s"); s != Unavailable {
			t.Errorf("unbound key in an outage: state %d, want unavailable", s)
		}
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Measures one order from Begin to Finish, by the keys in memory.
func BenchmarkRegistry(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heap()
			g := NewRegistry(Options{Self: self, MaxKeys: 1 << 30, MaxAttempts: 1 << 30}, invariant.PanicReporter{})
			now, n := epoch, 0
			order := func() {
				k, a := keyOf(n, now.Add(30*time.Minute)), attemptOf(n)
				n++
				g.Begin(now, k, a)
				g.Start(now, k, a, time.Time{})
				g.Finish(now, k, a, Result{Outcome: attempt.Unknown})
			}
			for range keys {
				order()
			}
			bytes := float64(heap()-before) / float64(keys)
			b.ReportAllocs()
			for b.Loop() {
				order()
			}
			b.ReportMetric(bytes, "B/key")
		})
	}
}

// Measures the fold of one binding in batches of 100, by the bindings in memory.
func BenchmarkBindings(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heap()
			f, n := NewBindings(BindingsOptions{}, self), 0
			batch := func() eventlog.Record {
				var ids []KeyID
				for range 100 {
					ids = append(ids, keyOf(n, epoch).ID)
					n++
				}
				return record(int64(n/100), fmt.Sprint(n), epoch, self, ids...)
			}
			for n < keys {
				_, _ = f.Apply(epoch, batch())
			}
			bytes := float64(heap()-before) / float64(keys)
			for b.Loop() {
				b.StopTimer()
				r := batch()
				b.StartTimer()
				if _, err := f.Apply(epoch, r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(bytes, "B/key")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/100, "ns/binding")
		})
	}
}

// Guards against memory that grows with every gate that ever bound a key.
func TestBindingsForgetOwners(t *testing.T) {
	b := NewBindings(BindingsOptions{Window: time.Hour}, self)
	const gates = 5 * minOwners
	for i := range gates {
		now := epoch.Add(time.Duration(i) * 30 * time.Second) // 240 gates within twice the window
		o := Owner{Node: "n", Incarnation: attempt.Incarnation{StartedMS: int64(i)}}
		k := keyOf(i, epoch).ID
		if _, err := b.Apply(now, record(int64(i+1), "r", now, o, k)); err != nil {
			t.Fatal(err)
		}
		if s, key := b.Lookup(now, k, "s"); s != Bound || key.Owner != o {
			t.Fatalf("gate %d: state %d, owner %v", i, s, key.Owner)
		}
	}
	if n := len(b.owners); n > minOwners || b.Len() > 300 {
		t.Errorf("%d owners and %d bindings in memory", n, b.Len())
	}
}
