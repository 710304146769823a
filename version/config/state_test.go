package config_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
)

func record(offset int64, data []byte) eventlog.Record {
	return eventlog.Record{Offset: offset, Data: data}
}

func encodeChange(id string, edits ...config.Edit) []byte {
	data, err := config.Change{ChangeID: id, Author: "ana", Edits: edits}.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func serviceEdit(name string, base int64, rate int) config.Edit {
	return config.Edit{Object: "services/" + name, BaseVersion: base, Value: fmt.Sprintf("max_rate = %d.0\n[classes.c]\n", rate)}
}

func routeEdit(id string, base int64, service string) config.Edit {
	return config.Edit{Object: "routes/" + id, BaseVersion: base, Value: fmt.Sprintf("path_prefix = \"/%s\"\nservice = %q\nclass = \"c\"\n", id, service)}
}

// Guards against a change that is applied although it must be rejected or skipped,
// and against one that is rejected without cause.
func TestApplyOutcomes(t *testing.T) {
	steps := []struct {
		name    string
		data    []byte
		outcome config.Outcome
		reason  string
	}{
		{"new objects", encodeChange("1", serviceEdit("a", 0, 1), routeEdit("r", 0, "a")), config.OutcomeApplied, ""},
		{"not JSON", []byte("{\n\"change_id\": }"), config.OutcomeMalformed, "config@2:2"},
		{"stale base rejects all edits", encodeChange("3", serviceEdit("b", 0, 1), serviceEdit("a", 0, 2)), config.OutcomeConflict, "services/a is at version 1"},
		{"other edit of the rejected change is absent", encodeChange("4", serviceEdit("b", 0, 3)), config.OutcomeApplied, ""},
		{"repeated id", encodeChange("4", serviceEdit("b", 4, 9)), config.OutcomeDuplicate, "offset 4"},
		{"repeated id of a rejected change", encodeChange("3", serviceEdit("a", 1, 2)), config.OutcomeDuplicate, "conflict"},
		{"dangling reference", encodeChange("7", config.Edit{Object: "services/a", BaseVersion: 1}), config.OutcomeInvalid, `service "a" does not exist`},
		{"unknown key in a value", encodeChange("8", config.Edit{Object: "services/a", BaseVersion: 1, Value: "floor = 0.1\nflor = 2\n[classes.c]"}), config.OutcomeInvalid, "services/a:2: flor"},
		{"ambiguous route", encodeChange("9", config.Edit{Object: "routes/s", Value: "path_prefix = \"/r\"\nservice = \"a\"\nclass = \"c\""}), config.OutcomeInvalid, `as route "r"`},
		{"delete both", encodeChange("10", config.Edit{Object: "services/a", BaseVersion: 1}, config.Edit{Object: "routes/r", BaseVersion: 1}), config.OutcomeApplied, ""},
		{"create again with base 0", encodeChange("11", serviceEdit("a", 0, 1)), config.OutcomeConflict, "at version 10"},
		{"create again", encodeChange("12", serviceEdit("a", 10, 1)), config.OutcomeApplied, ""},
		{"too large", bytes.Repeat([]byte("x"), config.MaxChangeBytes+1), config.OutcomeMalformed, "at most"},
	}
	state := config.NewState()
	state.SetReporter(invariant.PanicReporter{})
	for i, step := range steps {
		result := state.Apply(record(int64(i+1), step.data))
		if result.Outcome != step.outcome || !strings.Contains(result.Reason(), step.reason) {
			t.Fatalf("%s: got %s (%s), want %s (%s)", step.name, result.Outcome, result.Reason(), step.outcome, step.reason)
		}
	}
	if r := state.Apply(record(3, nil)); r.Outcome != config.OutcomeOld {
		t.Fatalf("old offset: %s", r.Outcome)
	}
	if r := state.Apply(record(99, nil)); r.Outcome != config.OutcomeGap || state.Offset() != int64(len(steps)) {
		t.Fatalf("gap: %s at %d", r.Outcome, state.Offset())
	}
	if rate := state.Config().Services["b"].MaxRate; rate != 3 || state.Version() != 12 {
		t.Fatalf("rate %v at version %d, want 3 at 12", rate, state.Version())
	}
}

// randomRecord draws a change whose base versions are mostly current, or random
// bytes.
func randomRecord(t *rapid.T, state *config.State) []byte {
	if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
	}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string]).Draw(t, "names")
	var edits []config.Edit
	for _, name := range names {
		object := rapid.SampledFrom([]string{"services/", "routes/"}).Draw(t, "kind") + name
		base := state.ObjectVersion(object)
		if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
			base = max(0, base-1)
		}
		edit := serviceEdit(name, base, rapid.IntRange(1, 9).Draw(t, "rate"))
		if strings.HasPrefix(object, "routes/") {
			edit = routeEdit(name, base, name)
		}
		if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			edit.Value = ""
		}
		edit.Object = object
		edits = append(edits, edit)
	}
	return encodeChange(fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id")), edits...)
}

// Guards against states that differ between a node that read every record and one
// that restored snapshots or got records twice, against a resulting configuration
// that does not validate, and against a change that is lost through a snapshot.
func TestStateIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, restored := config.NewState(), config.NewState()
		full.SetReporter(invariant.PanicReporter{})
		restored.SetReporter(invariant.PanicReporter{})
		for offset := int64(1); offset <= int64(rapid.IntRange(1, 30).Draw(t, "n")); offset++ {
			data := randomRecord(t, full)
			first := full.Apply(record(offset, data))
			switch rapid.IntRange(0, 3).Draw(t, "late") {
			case 0:
				snapshot, err := full.Snapshot()
				if err == nil {
					err = restored.Restore(snapshot)
				}
				if err != nil {
					t.Fatal(err)
				}
			default:
				second := restored.Apply(record(offset, data))
				if second.Outcome != first.Outcome || second.Reason() != first.Reason() {
					t.Fatalf("outcomes differ: %+v, %+v", first, second)
				}
				restored.Apply(record(offset, data))
			}
			if findings := full.Config().Validate("state"); len(findings) > 0 {
				t.Fatalf("resulting configuration does not validate: %v", findings)
			}
		}
		fullSnapshot, fullErr := full.Snapshot()
		restoredSnapshot, restoredErr := restored.Snapshot()
		if fullErr != nil || restoredErr != nil || !bytes.Equal(fullSnapshot, restoredSnapshot) {
			t.Fatalf("states differ (%v, %v):\n%s\n%s", fullErr, restoredErr, fullSnapshot, restoredSnapshot)
		}
	})
}

// Guards against a rollback that does not restore the earlier objects.
func TestRollback(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := config.NewState()
		versions := map[int64]*config.Config{0: state.Config()}
		for offset := int64(1); offset <= 20; offset++ {
			state.Apply(record(offset, randomRecord(t, state)))
			versions[state.Version()] = state.Config()
		}
		for version, want := range versions {
			c, err := state.Rollback(version, "back", "ana")
			if err != nil {
				continue
			}
			data, _ := c.Encode()
			snapshot, _ := state.Snapshot()
			restored := config.NewState()
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			if r := restored.Apply(record(restored.Offset()+1, data)); r.Outcome != config.OutcomeApplied {
				t.Fatalf("rollback to %d: %s %s", version, r.Outcome, r.Reason())
			}
			if d, err := config.Diff(want, restored.Config()); err != nil || len(d) > 0 {
				t.Fatalf("rollback to %d differs: %v, %v", version, d, err)
			}
		}
	})
}

// Guards against restoring an older snapshot, which a peer that is behind sent or
// a node wrote late, and against restoring a corrupt one.
func TestRestoreRejectsOlderSnapshot(t *testing.T) {
	state := config.NewState()
	state.Apply(record(1, encodeChange("1", serviceEdit("a", 0, 1))))
	older, _ := state.Snapshot()
	state.Apply(record(2, encodeChange("2", serviceEdit("a", 1, 2))))
	if err := state.Restore(older); !errors.Is(err, config.ErrNotNewer) || state.Version() != 2 {
		t.Fatalf("got %v at version %d", err, state.Version())
	}
	if err := config.NewState().Restore(bytes.Replace(older, []byte("max_rate = 1"), []byte("max_rate = 7"), 1)); err == nil {
		t.Fatal("a corrupt snapshot was restored")
	}
}

// fleetEdits returns edits that create n objects: services, and routes to them.
func fleetEdits(n int) []config.Edit {
	edits := make([]config.Edit, 0, n)
	for i := range n {
		if i < n/16 {
			edits = append(edits, serviceEdit(fmt.Sprintf("s%d", i), 0, 1))
		} else {
			edits = append(edits, routeEdit(fmt.Sprintf("r%d", i), 0, fmt.Sprintf("s%d", i%(n/16))))
		}
	}
	return edits
}

func BenchmarkApplyChanges(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			records := []eventlog.Record{record(1, encodeChange("import", fleetEdits(2340)...))}
			baseVersions := map[int]int64{}
			for i := 2; i <= n+1; i++ {
				serviceIndex := random.IntN(140)
				if baseVersions[serviceIndex] == 0 {
					baseVersions[serviceIndex] = 1
				}
				records = append(records, record(int64(i), encodeChange(fmt.Sprint(i), serviceEdit(fmt.Sprintf("s%d", serviceIndex), baseVersions[serviceIndex], i))))
				baseVersions[serviceIndex] = int64(i)
			}
			imported := config.NewState()
			imported.Apply(records[0])
			snapshot, _ := imported.Snapshot()
			for b.Loop() {
				b.StopTimer()
				state := config.NewState()
				if err := state.Restore(snapshot); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				for _, rec := range records[1:] {
					if r := state.Apply(rec); r.Outcome != config.OutcomeApplied {
						b.Fatal(r.Reason())
					}
				}
			}
		})
	}
}

func BenchmarkRestoreObjects(b *testing.B) {
	for _, n := range []int{160, 640, 2340} {
		b.Run(fmt.Sprintf("objects=%d", n), func(b *testing.B) {
			state := config.NewState()
			if r := state.Apply(record(1, encodeChange("import", fleetEdits(n)...))); r.Outcome != config.OutcomeApplied {
				b.Fatal(r.Reason())
			}
			snapshot, _ := state.Snapshot()
			for b.Loop() {
				if err := config.NewState().Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
		})
	}
}
