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

// encodedHeaderChange encodes a change of the customer header based on a version.
func encodedHeaderChange(id string, base int64) []byte {
	edit := Edit{Object: ObjectCustomers, BaseVersion: base, Value: "customer_header = \"A" + id + "\""}
	data, err := Change{ChangeID: id, Author: "ana", Edits: []Edit{edit}}.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against a check of config-forward that cannot fail: a state that accepts
// older snapshots must report a violation, and only such a state.
func TestAcceptingOlderSnapshotViolatesConfigForward(t *testing.T) {
	for _, acceptOlder := range []bool{false, true} {
		var reported violations
		s := NewState()
		s.SetReporter(&reported)
		s.acceptOlder = acceptOlder
		s.Apply(eventlog.Record{Offset: 1, Data: encodedHeaderChange("1", 0)})
		older, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(eventlog.Record{Offset: 2, Data: encodedHeaderChange("2", 1)})
		_ = s.Restore(older) // ErrNotNewer unless older ones are accepted
		if got := strings.Join(reported, ""); (got != "") != acceptOlder {
			t.Fatalf("older accepted: %v, violations %q at version %d", acceptOlder, got, s.Version())
		}
	}
}
