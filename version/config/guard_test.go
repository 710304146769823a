package config

import (
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

type violations []string

func (v *violations) Check(_ invariant.Name, ok bool, format string, _ ...any) {
	if !ok {
		*v = append(*v, format)
	}
}

func headerChange(id string, base int64) []byte {
	edit := Edit{Object: ObjectCustomers, BaseVersion: base, Value: "customer_header = \"A" + id + "\""}
	data, err := Change{ChangeID: id, Author: "ana", Edits: []Edit{edit}}.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against a check of config-forward that cannot fail: without the
// refusal of older snapshots the violation is reported.
func TestWithoutOlderCheckTheVersionGoesBack(t *testing.T) {
	for _, off := range []bool{false, true} {
		var seen violations
		f := NewState()
		f.SetReporter(&seen)
		f.acceptOlder = off
		f.Apply(eventlog.Record{Offset: 1, Data: headerChange("1", 0)})
		older, err := f.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		f.Apply(eventlog.Record{Offset: 2, Data: headerChange("2", 1)})
		_ = f.Restore(older) // refused unless the check is off
		if got := strings.Join(seen, ""); (got != "") != off {
			t.Fatalf("check off: %v, violations %q at version %d", off, got, f.Version())
		}
	}
}
