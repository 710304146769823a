package order

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// Guards against a malformed record of the stream that ends the process, or after which
// later records are not applied.
func FuzzApplyRecord(f *testing.F) {
	f.Add([]byte(`{"id":"n1/1-2/1","items":[{"key":"000102030405060708090a0b0c0d0e0f","owner":{"node":"n1","incarnation":{}},"at":"2026-12-04T15:00:00Z"}]}`))
	f.Add([]byte(`{"items":[{"key":"zz"}]}`))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1_800_000_000, 0)
		b := NewBindings(BindingsOptions{}, Owner{Node: "n1"})
		_, _ = b.Apply(now, eventlog.Record{Offset: 1, Data: data})
		valid := []byte(`{"id":"n2/1-2/1","items":[{"key":"ff0102030405060708090a0b0c0d0e0f","owner":{"node":"n2"},"at":"2027-01-15T08:00:00Z"}]}`)
		if _, err := b.Apply(now, eventlog.Record{Offset: 2, Data: valid}); err != nil {
			t.Errorf("record after a malformed one: %v", err)
		}
		b.CaughtUp(now)
		var id KeyID
		if err := id.UnmarshalText([]byte("ff0102030405060708090a0b0c0d0e0f")); err != nil {
			t.Fatal(err)
		}
		if state, _ := b.Lookup(now, id, "shop"); state == Unavailable {
			t.Errorf("binding after a malformed record: state %d", state)
		}
	})
}
