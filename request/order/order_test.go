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
	self       = Owner{Node: "n1", Incarnation: attempt.Incarnation{StartedMS: 1, Random: 2}}
	otherOwner = Owner{Node: "n2", Incarnation: attempt.Incarnation{StartedMS: 1, Random: 3}}
)

func testKey(n int, expires time.Time) Key {
	key := Key{Owner: self, ExpiresAt: expires}
	binary.BigEndian.PutUint64(key.ID[:], uint64(n)+1)
	return key
}

func testAttempt(n int) attempt.ID {
	return attempt.ID{Request: attempt.RequestID(fmt.Sprint(n)), Number: 1, Entry: "e"}
}

// Guards against accepting forged or expired keys, or keys of other customers,
// as issued ones, and against keys that a header cannot carry.
func TestKeyIssuer(t *testing.T) {
	issuer := NewKeyIssuer(KeyIssuerOptions{FleetToken: "secret"}, rand.New(rand.NewPCG(1, 1)))
	text := issuer.Issue(epoch, "orders", "school-7", self)
	if strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") != "" {
		t.Errorf("key %q is not safe in a header", text)
	}
	key, err := issuer.Parse(epoch.Add(time.Minute), text)
	if err != nil || key.Owner != self || key.Service != "orders" || !key.ExpiresAt.Equal(epoch.Add(30*time.Minute)) {
		t.Errorf("parsed %+v, %v", key, err)
	}
	if err := issuer.CheckCustomer(text, "orders", "school-7"); err != nil {
		t.Errorf("own key: %v", err)
	}
	if issuer.CheckCustomer(text, "orders", "school-8") == nil || issuer.CheckCustomer(text, "library", "school-7") == nil {
		t.Error("key of another customer or service is accepted")
	}
	for i := len(keyPrefix); i < len(text); i++ {
		changed := []byte(text)
		changed[i] = "AB"[(changed[i]&1)^('A'&1)]
		if changedKey, err := issuer.Parse(epoch, string(changed)); err == nil && changedKey.ID != key.ID {
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
		if _, err := issuer.Parse(c.now, c.text); !errors.Is(err, c.want) {
			t.Errorf("parse of %q: %v, want %v", c.text, err, c.want)
		}
	}
	if issuer.CustomerKeyID("s", "a", "k") == issuer.CustomerKeyID("s", "b", "k") {
		t.Error("equal texts of two customers are one key")
	}
}

// Guards against waiting retries that are lost or run, stored responses that
// retries do not get, and memory that grows with the response bodies.
func TestRetriesGetTheStoredResponse(t *testing.T) {
	registry := NewRegistry(Options{Self: self, MaxResponseBytes: 3 * (responseOverhead + 1000), MaxWaiters: 2}, invariant.PanicReporter{})
	now, expiresAt := epoch, epoch.Add(30*time.Minute)
	for i := range 10 {
		key := testKey(i, expiresAt)
		registry.Begin(now, key, testAttempt(10*i))
		if !registry.Start(now, key, testAttempt(10*i), now.Add(time.Second)) {
			t.Fatal("start refused")
		}
		for j := 1; j <= 3; j++ {
			res := registry.Begin(now, key, testAttempt(10*i+j))
			if want := []Action{0, Wait, Wait, Refuse}[j]; res.Action != want || j == 3 && res.Outcome != attempt.Unknown {
				t.Fatalf("retry %d: %+v", j, res)
			}
		}
		woken := registry.Finish(now, key, testAttempt(10*i), Result{Outcome: attempt.Answered, Status: 201, Body: make([]byte, 1000)})
		if len(woken) != 2 {
			t.Fatalf("%d woken, want 2", len(woken))
		}
		for _, a := range woken {
			if res := registry.Begin(now, key, a); res.Action != Done || res.Stored.Status != 201 || len(res.Stored.Body) != 1000 {
				t.Fatalf("woken retry: %+v", res)
			}
		}
	}
	if usage := registry.Usage(); usage.AnswerBytes > 3*(responseOverhead+1000) || usage.Keys != 10 {
		t.Errorf("usage %+v beyond the bound, or keys forgotten", usage)
	}
	if res := registry.Begin(now, testKey(0, expiresAt), testAttempt(1000)); res.Action != Done || !res.Stored.BodyDropped {
		t.Errorf("order whose response was dropped: %+v, want done without body", res)
	}
	key := testKey(11, expiresAt)
	registry.Begin(now, key, testAttempt(2000))
	registry.Start(now, key, testAttempt(2000), time.Time{})
	registry.Finish(now, key, testAttempt(2000), Result{Outcome: attempt.Answered, Header: http.Header{"A": {"b"}}, Body: make([]byte, MaxStoredBody+1)})
	if res := registry.Begin(now, key, testAttempt(2001)); res.Action != Done || !res.Stored.BodyDropped || res.Stored.Header["A"][0] != "b" {
		t.Errorf("large response: %+v, want done with header and without body", res)
	}
	registry.Tick(expiresAt.Add(2 * expiryBucketSize))
	if usage := registry.Usage(); usage.Keys != 0 || usage.AnswerBytes != 0 {
		t.Errorf("usage %+v after the expiry", usage)
	}
}

// Guards against a withdrawal that is read after a pause and reports a finished
// attempt as never started because the pause counted towards AttemptTTL.
func TestWithdrawalAfterPause(t *testing.T) {
	for _, countPauses := range []bool{false, true} {
		registry := NewRegistry(Options{Self: self, AttemptTTL: 10 * time.Minute, countPauses: countPauses}, invariant.PanicReporter{})
		a := testAttempt(1)
		registry.Begin(epoch, Key{}, a)
		registry.Start(epoch, Key{}, a, time.Time{})
		registry.Finish(epoch, Key{}, a, Result{Outcome: attempt.Unknown})
		res, _ := registry.Withdraw(epoch.Add(time.Hour), Withdrawal{Attempt: a, Gate: self, Age: time.Second})
		if want := []WithdrawResult{Finished, NeverStarted}[map[bool]int{false: 0, true: 1}[countPauses]]; res != want {
			t.Errorf("pauses counted %v: result %d, want %d", countPauses, res, want)
		}
		if res, _ := registry.Withdraw(epoch, Withdrawal{Attempt: testAttempt(2), Gate: otherOwner}); res != NotProved {
			t.Errorf("attempt sent to another incarnation: %d, want NotProved", res)
		}
	}
}

func bindingRecord(offset int64, id string, at time.Time, owner Owner, keys ...KeyID) eventlog.Record {
	batch := Batch{ID: id}
	for _, key := range keys {
		batch.Items = append(batch.Items, Binding{Key: key, Owner: owner, At: at})
	}
	data, _ := json.Marshal(batch)
	return eventlog.Record{Offset: offset, Data: data}
}

// Guards against a binding that a late or duplicate record replaces, a key that
// stays bound after its window, and a state that depends on the reader's clock.
func TestBindingWindow(t *testing.T) {
	id, window := testKey(1, epoch).ID, 24*time.Hour
	records := []eventlog.Record{
		bindingRecord(1, "a", epoch, self, id), bindingRecord(2, "b", epoch.Add(time.Hour), otherOwner, id), bindingRecord(3, "a", epoch, self, id),
		bindingRecord(4, "c", epoch.Add(window), otherOwner, id), bindingRecord(5, "a", epoch, self, id),
	}
	for _, skew := range []time.Duration{-time.Hour, 0, time.Hour, 3 * window} {
		bindings := NewBindings(BindingsOptions{}, otherOwner)
		for i, r := range records {
			if _, err := bindings.Apply(epoch.Add(skew), r); err != nil {
				t.Fatal(err)
			}
			bindings.CaughtUp(epoch)
			want := self
			if i >= 3 {
				want = otherOwner
			}
			if _, key := bindings.Lookup(epoch.Add(time.Minute), id, "s"); key.Owner != want {
				t.Errorf("skew %v, record %d: owner %v, want %v", skew, i+1, key.Owner, want)
			}
		}
		bindings.CaughtUp(epoch.Add(2 * window))
		if state, _ := bindings.Lookup(epoch.Add(2*window), id, "s"); state != Unbound {
			t.Errorf("skew %v: state %d after the window, want unbound", skew, state)
		}
	}
}

// Guards against a key reported as unbound while its binding may be in trimmed
// records or in a log that cannot be read.
func TestTrimmedAndUnavailableLog(t *testing.T) {
	id := testKey(1, epoch).ID
	for _, c := range []struct {
		retention time.Duration
		want      LookupState
	}{{0, Unavailable}, {12 * time.Hour, Unavailable}, {48 * time.Hour, Unbound}} {
		bindings := NewBindings(BindingsOptions{Retention: c.retention}, self)
		bindings.Trimmed(epoch, 100)
		bindings.CaughtUp(epoch)
		if state, _ := bindings.Lookup(epoch, id, "s"); state != c.want {
			t.Errorf("retention %v: state %d, want %d", c.retention, state, c.want)
		}
		bindings.CaughtUp(epoch.Add(25 * time.Hour))
		if state, _ := bindings.Lookup(epoch.Add(25*time.Hour), id, "s"); state != Unbound {
			t.Errorf("retention %v: state %d after the window, want unbound", c.retention, state)
		}
		if _, err := bindings.Apply(epoch, bindingRecord(102, "x", epoch, self, id)); err == nil {
			t.Error("a record after a gap is applied")
		}
		if _, err := bindings.Apply(epoch, bindingRecord(100, "x", epoch, otherOwner, id)); err != nil {
			t.Error(err)
		}
		if state, key := bindings.Lookup(epoch.Add(time.Hour), id, "s"); state != Bound || key.Owner != otherOwner {
			t.Errorf("bound key in an outage: state %d, owner %v", state, key.Owner)
		}
		if state, _ := bindings.Lookup(epoch.Add(26*time.Hour), testKey(2, epoch).ID, "s"); state != Unavailable {
			t.Errorf("unbound key in an outage: state %d, want unavailable", state)
		}
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRegistry measures one order from Begin to Finish, by the number of keys in
// memory.
func BenchmarkRegistry(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heapBytes()
			registry := NewRegistry(Options{Self: self, MaxKeys: 1 << 30, MaxAttempts: 1 << 30}, invariant.PanicReporter{})
			now, next := epoch, 0
			runOrder := func() {
				key, a := testKey(next, now.Add(30*time.Minute)), testAttempt(next)
				next++
				registry.Begin(now, key, a)
				registry.Start(now, key, a, time.Time{})
				registry.Finish(now, key, a, Result{Outcome: attempt.Unknown})
			}
			for range keys {
				runOrder()
			}
			bytes := float64(heapBytes()-before) / float64(keys)
			b.ReportAllocs()
			for b.Loop() {
				runOrder()
			}
			b.ReportMetric(bytes, "B/key")
		})
	}
}

// BenchmarkBindings measures Apply per binding in batches of 100, by the number of
// bindings in memory.
func BenchmarkBindings(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heapBytes()
			bindings, next := NewBindings(BindingsOptions{}, self), 0
			nextRecord := func() eventlog.Record {
				var ids []KeyID
				for range 100 {
					ids = append(ids, testKey(next, epoch).ID)
					next++
				}
				return bindingRecord(int64(next/100), fmt.Sprint(next), epoch, self, ids...)
			}
			for next < keys {
				_, _ = bindings.Apply(epoch, nextRecord())
			}
			bytes := float64(heapBytes()-before) / float64(keys)
			for b.Loop() {
				b.StopTimer()
				r := nextRecord()
				b.StartTimer()
				if _, err := bindings.Apply(epoch, r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(bytes, "B/key")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/100, "ns/binding")
		})
	}
}

// Guards against memory that grows with each gate to which a key was ever bound.
func TestBindingsForgetOwners(t *testing.T) {
	bindings := NewBindings(BindingsOptions{Window: time.Hour}, self)
	const gates = 5 * minOwnersToCompact
	for i := range gates {
		now := epoch.Add(time.Duration(i) * 30 * time.Second) // 240 gates within twice the window
		owner := Owner{Node: "n", Incarnation: attempt.Incarnation{StartedMS: int64(i)}}
		id := testKey(i, epoch).ID
		if _, err := bindings.Apply(now, bindingRecord(int64(i+1), "r", now, owner, id)); err != nil {
			t.Fatal(err)
		}
		if state, key := bindings.Lookup(now, id, "s"); state != Bound || key.Owner != owner {
			t.Fatalf("gate %d: state %d, owner %v", i, state, key.Owner)
		}
	}
	if n := len(bindings.owners); n > minOwnersToCompact || bindings.Len() > 300 {
		t.Errorf("%d owners and %d bindings in memory", n, bindings.Len())
	}
}
