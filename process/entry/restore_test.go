package entry

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Guards against a node that stays behind a restored log, forgets or loses its
// bindings, lets requests wait for a lost proposal, or reads the log without a pause.
func TestBindingsAfterRestoredLog(t *testing.T) {
	log := logservice.New(logservice.Options{})
	e := New(Options{
		Node: "n1", Domain: "d1", Token: "token", HeaderBytes: 32 << 10, BodyBytes: 1 << 20, Now: time.Now,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}, LogService: log,
	})
	t.Cleanup(e.Close)
	e.Start(attempt.Incarnation{StartedMS: 1})
	e.SetView(membership.View{Self: "n1", Members: []membership.Member{{Node: "g1", Domain: "d1", State: membership.NodeAlive, DataAddress: "127.0.0.1:1",
		Incarnation: attempt.Incarnation{StartedMS: 1}, Targets: []membership.Target{{ID: "t1", Service: "shop", Slots: 4}}}}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = e.ServeBindings(ctx) }() // ends with the context
	resolve := func(n byte) (order.Key, error) {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		return e.bindings.resolve(ctx, order.KeyID{n}, "shop")
	}
	resolveEventually := func(n byte) order.Key {
		for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			key, err := resolve(n)
			if err == nil {
				return key
			}
			if time.Now().After(deadline) {
				t.Fatal(err)
			}
		}
	}
	resolveEventually(1)
	log.Checkpoint()
	lost := resolveEventually(2)
	log.Restore()
	reads := log.Counts().Reads
	time.Sleep(2 * time.Second)
	if n := log.Counts().Reads - reads; n < 2 || n > 40 {
		t.Errorf("%d reads in 2 s after the restore, want 2 to 40", n)
	}
	start := time.Now()
	if _, err := resolve(3); err == nil || time.Since(start) > time.Second {
		t.Errorf("unknown key: error %v after %v, want an error at once", err, time.Since(start))
	}
	if key, err := resolve(2); err != nil || key != lost {
		t.Errorf("lost binding: %v, error %v, want %v", key, err, lost)
	}
	page, err := log.Read(ctx, eventlog.StreamOrders, 1, 100)
	if err != nil {
		t.Fatal(err)
	}
	restarted := order.NewBindings(order.BindingsOptions{}, order.Owner{Node: "n2"})
	for _, r := range page.Records {
		restarted.ObserveEra(time.Now(), page.Era)
		if _, err := restarted.Apply(time.Now(), r); err != nil {
			t.Error(err)
		}
	}
	if state, key := restarted.Lookup(time.Now(), order.KeyID{2}, "shop"); state != order.Bound || key.Owner != lost.Owner {
		t.Errorf("lost binding in the stream: state %d, owner %v, want %v", state, key.Owner, lost.Owner)
	}
}
