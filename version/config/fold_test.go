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

func change(id string, edits ...config.Edit) []byte {
	data, err := config.Change{ChangeID: id, Author: "ana", Edits: edits}.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func service(name string, base int64, rate int) config.Edit {
	return config.Edit{Object: "services/" + name, BaseVersion: base, Value: fmt.Sprintf("max_rate = %d.0\n[classes.c]\n", rate)}
}

func route(id string, base int64, service string) config.Edit {
	return config.Edit{Object: "routes/" + id, BaseVersion: base, Value: fmt.Sprintf("path_prefix = \"/%s\"\nservice = %q\nclass = \"c\"\n", id, service)}
}

// Guards against each way in which a record must not win.
func TestFoldOutcomes(t *testing.T) {
	steps := []struct {
		name    string
		data    []byte
		outcome config.Outcome
		reason  string
	}{
		{"new objects", change("1", service("a", 0, 1), route("r", 0, "a")), config.OutcomeApplied, ""},
		{"not JSON", []byte("{\n\"change_id\": }"), config.OutcomeMalformed, "config@2:2"},
		{"stale base loses with all edits", change("3", service("b", 0, 1), service("a", 0, 2)), config.OutcomeConflict, "services/a is at version 1"},
		{"other edit of the lost change is absent", change("4", service("b", 0, 3)), config.OutcomeApplied, ""},
		{"repeated id", change("4", service("b", 4, 9)), config.OutcomeDuplicate, "offset 4"},
		{"repeated id of a lost change", change("3", service("a", 1, 2)), config.OutcomeDuplicate, "conflict"},
		{"dangling reference", change("7", config.Edit{Object: "services/a", BaseVersion: 1}), config.OutcomeInvalid, `service "a" does not exist`},
		{"fault in a value", change("8", config.Edit{Object: "services/a", BaseVersion: 1, Value: "floor = 0.1\nflor = 2\n[classes.c]"}), config.OutcomeInvalid, "services/a:2: flor"},
		{"ambiguous route", change("9", config.Edit{Object: "routes/s", Value: "path_prefix = \"/r\"\nservice = \"a\"\nclass = \"c\""}), config.OutcomeInvalid, `as route "r"`},
		{"delete both", change("10", config.Edit{Object: "services/a", BaseVersion: 1}, config.Edit{Object: "routes/r", BaseVersion: 1}), config.OutcomeApplied, ""},
		{"create again on base 0", change("11", service("a", 0, 1)), config.OutcomeConflict, "at version 10"},
		{"create again", change("12", service("a", 10, 1)), config.OutcomeApplied, ""},
		{"too large", bytes.Repeat([]byte("x"), config.MaxChangeBytes+1), config.OutcomeMalformed, "at most"},
	}
	fold := config.NewState()
	fold.SetReporter(invariant.PanicReporter{})
	for i, step := range steps {
		result := fold.Apply(record(int64(i+1), step.data))
		if result.Outcome != step.outcome || !strings.Contains(result.Reason(), step.reason) {
			t.Fatalf("%s: got %s (%s), want %s (%s)", step.name, result.Outcome, result.Reason(), step.outcome, step.reason)
		}
	}
	if r := fold.Apply(record(3, nil)); r.Outcome != config.OutcomeOld {
		t.Fatalf("old offset: %s", r.Outcome)
	}
	if r := fold.Apply(record(99, nil)); r.Outcome != config.OutcomeGap || fold.Offset() != int64(len(steps)) {
		t.Fatalf("gap: %s at %d", r.Outcome, fold.Offset())
	}
	if rate := fold.Config().Services["b"].MaxRate; rate != 3 || fold.Version() != 12 {
		t.Fatalf("rate %v at version %d, want 3 at 12", rate, fold.Version())
	}
}

// randomRecord draws a change whose bases are mostly current, or damage.
func randomRecord(t *rapid.T, fold *config.State) []byte {
	if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
	}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string]).Draw(t, "names")
	var edits []config.Edit
	for _, name := range names {
		object := rapid.SampledFrom([]string{"services/", "routes/"}).Draw(t, "kind") + name
		base := fold.ObjectVersion(object)
		if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
			base = max(0, base-1)
		}
		edit := service(name, base, rapid.IntRange(1, 9).Draw(t, "rate"))
		if strings.HasPrefix(object, "routes/") {
			edit = route(name, base, name)
		}
		if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			edit.Value = ""
		}
		edit.Object = object
		edits = append(edits, edit)
	}
	return change(fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id")), edits...)
}

// Guards against folds that differ between a node that read every record and
// one that started from a snapshot or got records twice, against a result that
// does not validate, and against the loss of a change through a snapshot.
func TestFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, late := config.NewState(), config.NewState()
		whole.SetReporter(invariant.PanicReporter{})
		late.SetReporter(invariant.PanicReporter{})
		for offset := int64(1); offset <= int64(rapid.IntRange(1, 30).Draw(t, "n")); offset++ {
			data := randomRecord(t, whole)
			first := whole.Apply(record(offset, data))
			switch rapid.IntRange(0, 3).Draw(t, "late") {
			case 0:
				snapshot, err := whole.Snapshot()
				if err == nil {
					err = late.Restore(snapshot)
				}
				if err != nil {
					t.Fatal(err)
				}
			default:
				second := late.Apply(record(offset, data))
				if second.Outcome != first.Outcome || second.Reason() != first.Reason() {
					t.Fatalf("outcomes differ: %+v, %+v", first, second)
				}
				late.Apply(record(offset, data))
			}
			if faults := whole.Config().Validate("fold"); len(faults) > 0 {
				t.Fatalf("folded configuration does not validate: %v", faults)
			}
		}
		a, errA := whole.Snapshot()
		b, errB := late.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatalf("folds differ (%v, %v):\n%s\n%s", errA, errB, a, b)
		}
	})
}

// Guards against a rollback that does not bring back the earlier objects.
func TestRollback(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fold := config.NewState()
		versions := map[int64]*config.Config{0: fold.Config()}
		for offset := int64(1); offset <= 20; offset++ {
			fold.Apply(record(offset, randomRecord(t, fold)))
			versions[fold.Version()] = fold.Config()
		}
		for version, want := range versions {
			c, err := fold.Rollback(version, "back", "ana")
			if err != nil {
				continue
			}
			data, _ := c.Encode()
			snapshot, _ := fold.Snapshot()
			trial := config.NewState()
			if err := trial.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			if r := trial.Apply(record(trial.Offset()+1, data)); r.Outcome != config.OutcomeApplied {
				t.Fatalf("rollback to %d: %s %s", version, r.Outcome, r.Reason())
			}
			if d, err := config.Diff(want, trial.Config()); err != nil || len(d) > 0 {
				t.Fatalf("rollback to %d differs: %v, %v", version, d, err)
			}
		}
	})
}

// Guards against an older snapshot of a stale peer or a late writer.
func TestRestoreRefusesOlder(t *testing.T) {
	fold := config.NewState()
	fold.Apply(record(1, change("1", service("a", 0, 1))))
	older, _ := fold.Snapshot()
	fold.Apply(record(2, change("2", service("a", 1, 2))))
	if err := fold.Restore(older); !errors.Is(err, config.ErrNotNewer) || fold.Version() != 2 {
		t.Fatalf("got %v at version %d", err, fold.Version())
	}
	if err := config.NewState().Restore(bytes.Replace(older, []byte("max_rate = 1"), []byte("max_rate = 7"), 1)); err == nil {
		t.Fatal("a damaged snapshot was restored")
	}
}

// fleetChange imports a configuration of n objects.
func fleetChange(n int) []config.Edit {
	edits := make([]config.Edit, 0, n)
	for i := range n {
		if i < n/16 {
			edits = append(edits, service(fmt.Sprintf("s%d", i), 0, 1))
		} else {
			edits = append(edits, route(fmt.Sprintf("r%d", i), 0, fmt.Sprintf("s%d", i%(n/16))))
		}
	}
	return edits
}

func BenchmarkFoldChanges(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			records := []eventlog.Record{record(1, change("import", fleetChange(2340)...))}
			base := map[int]int64{}
			for i := 2; i <= n+1; i++ {
				k := r.IntN(140)
				if base[k] == 0 {
					base[k] = 1
				}
				records = append(records, record(int64(i), change(fmt.Sprint(i), service(fmt.Sprintf("s%d", k), base[k], i))))
				base[k] = int64(i)
			}
			imported := config.NewState()
			imported.Apply(records[0])
			snapshot, _ := imported.Snapshot()
			for b.Loop() {
				b.StopTimer()
				fold := config.NewState()
				if err := fold.Restore(snapshot); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				for _, rec := range records[1:] {
					if r := fold.Apply(rec); r.Outcome != config.OutcomeApplied {
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
			fold := config.NewState()
			if r := fold.Apply(record(1, change("import", fleetChange(n)...))); r.Outcome != config.OutcomeApplied {
				b.Fatal(r.Reason())
			}
			snapshot, _ := fold.Snapshot()
			for b.Loop() {
				if err := config.NewState().Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
		})
	}
}
