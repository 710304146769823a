package config_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/hyssopsill/hyssopsill/version/config"
)

const fleetTOML = `[services.orders]
floor = 0.5
customer_rate = 3.0
[services.orders.classes.place]
priority = "order"
deadline = "5s"
[services.library]
[services.library.classes.guide]
idempotent = true
long = true
[[routes]]
id = "orders-place"
path_prefix = "/orders"
methods = ["POST"]
service = "orders"
class = "place"
[[routes]]
id = "guides"
path_prefix = "/guides"
service = "library"
class = "guide"
`

// Guards against absent keys that do not get their documented default, and against
// an encoding that loses or changes a value.
func TestParseDefaultsAndEncode(t *testing.T) {
	c, findings := config.Parse("fleet.toml", []byte(fleetTOML))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	place, orders, library := c.Services["orders"].Classes["place"], c.Services["orders"], c.Services["library"]
	if c.CustomerHeader != "X-Customer" || library.Floor != 0.5 || library.SlowStart != config.DefaultSlowStart ||
		orders.CustomerBurst != 6 || place.MaxBody != 1<<20 || library.Classes["guide"].Priority != config.PriorityInteractive {
		t.Fatalf("defaults are missing: %+v", c)
	}
	text, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	reparsed, findings := config.Parse("again.toml", text)
	if err := findings.Err(); err != nil || !reflect.DeepEqual(c, reparsed) {
		t.Fatalf("round trip: %v\n%+v\n%+v", err, c, reparsed)
	}
}

// Guards against invalid values that are not reported because the same service or
// class also has an unknown key or a value of a wrong type, and against a second
// finding, or a missing service, that is only due to such a key.
func TestParseReportsValueFaultsBesideTypeErrors(t *testing.T) {
	_, findings := config.Parse("x", []byte(`[services.orders]
floor = 75
probe = "/healthz"
[services.orders.classes.place]
deadline = "10"
max_body = -1
[services.7]
slow_start = "soon"
queue_limit = -3
[services.7.classes.a]
[[routes]]
id = "orders-place"
path_prefix = 4
methods = ["GET", 3]
service = "orders"
class = "place"
[[routes]]
id = "seven"
path_prefix = "seven"
service = "7"
class = "a"
`))
	want := []string{"2 services.orders.floor", "3 services.orders.probe", "5 services.orders.classes.place.deadline",
		"6 services.orders.classes.place.max_body", "8 services.7.slow_start", "9 services.7.queue_limit", "13 routes[0].path_prefix",
		"14 routes[0].methods[1]", "19 routes[1].path_prefix"}
	var got []string
	for _, f := range findings {
		got = append(got, fmt.Sprint(f.Line, " ", f.Key))
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q\n%v", got, want, findings)
	}
}

// Guards against a floor of 0 that is replaced by the default.
func TestParseKeepsZeroFloor(t *testing.T) {
	c, findings := config.Parse("x", []byte("[services.a]\nfloor = 0\n[services.a.classes.b]\n"))
	if findings.Err() != nil || c.Services["a"].Floor != 0 {
		t.Fatalf("%v, %+v", findings, c)
	}
}

// Guards against reporting only some findings of a file, or findings without key
// and line.
func TestParseReportsAllFaults(t *testing.T) {
	text := `customer_header = "Hyssopsill-Fleet"
[services.orders]
floor = 1.5
queue_limit = 2.5
slow_start = 5
[services.orders.classes.place]
priority = "urgent"
hedge = true
[[routes]]
id = "a"
path_prefix = "orders"
service = "nothing"
class = "place"
[[routes]]
id = "b"
path_prefix = "/x"
service = "orders"
class = "nothing"
[[routes]]
id = "c"
path_prefix = "/x"
service = "orders"
class = "place"
`
	want := map[string]int{
		"customer_header": 1, "services.orders.floor": 3, "services.orders.queue_limit": 4,
		"services.orders.slow_start": 5, "services.orders.classes.place.priority": 7,
		"services.orders.classes.place.hedge": 8, "routes[0].path_prefix": 11, "routes[0].service": 12,
		"routes[1].class": 18, "routes[2].path_prefix": 21,
	}
	_, findings := config.Parse("fleet.toml", []byte(text))
	got := map[string]int{}
	for _, f := range findings {
		got[f.Key] = f.Line
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v\nwant %v", got, want)
	}
}

// Guards against a decoder that exhausts the stack or memory on deep nesting.
func TestParseRefusesDeepNesting(t *testing.T) {
	deep := "a = " + string(make([]byte, 0))
	for range 100000 {
		deep += "["
	}
	if _, findings := config.Parse("deep", []byte(deep)); len(findings) != 1 {
		t.Fatalf("got %v, want one finding", findings)
	}
}

// FuzzParse guards against a panic of the decoder, and against a configuration
// that is accepted but cannot be encoded and parsed again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{fleetTOML, "", "a = [", "[services.a]\n[services.a.classes.b]\n", "[[routes]]\n", "services = 3",
		"[services]\na.classes.b.deadline = 1e400", "[services.\"\"]\n", "routes = [[1]]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, findings := config.Parse("fuzz", data)
		if (c == nil) != (len(findings) > 0) {
			t.Fatalf("configuration %v with findings %v", c, findings)
		}
		if c == nil {
			return
		}
		text, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, findings := config.Parse("again", text); len(findings) > 0 {
			t.Fatalf("%v\n%s", findings, text)
		}
	})
}

// FuzzDecodeChange guards against a panic of the change decoder and against a
// record that only one of DecodeChange and State.Apply finds malformed.
func FuzzDecodeChange(f *testing.F) {
	for _, seed := range []string{"", "{", "null", `{"change_id":"a","author":"b","edits":[{"object":"customers","base_version":0,"value":"customer_header = \"A\""}]}`,
		`{"change_id":1}`, `{"edits":[{"object":"services/../x"}]}`, `{"change_id":"a"}{}`, `{"edits":[{"value":"[[[["}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, findings := config.DecodeChange("fuzz", data)
		result := config.NewState().Apply(record(1, data))
		if malformed := result.Outcome == config.OutcomeMalformed; malformed != (len(findings) > 0) {
			t.Fatalf("findings %v, outcome %s", findings, result.Outcome)
		}
		for _, finding := range findings {
			if finding.Line == 0 && len(data) <= config.MaxChangeBytes {
				t.Fatalf("finding without a line: %v", finding)
			}
		}
	})
}

// FuzzRestore guards against a panic on a corrupt snapshot, and against a state
// that such a snapshot changed.
func FuzzRestore(f *testing.F) {
	state := config.NewState()
	state.Apply(record(1, []byte(`{"change_id":"a","author":"b","edits":[{"object":"customers","base_version":0,"value":"customer_header = \"A\""}]}`)))
	snapshot, err := state.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot)
	f.Add(snapshot[:len(snapshot)/2])
	f.Add([]byte(`{"covers_offset":9,"sum":"0","state":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state := config.NewState()
		if err := state.Restore(data); err != nil && (state.Offset() != 0 || state.Version() != 0) {
			t.Fatalf("state changed by a rejected snapshot: %v", err)
		}
	})
}

// Guards against differences between equal configurations and against a
// difference that is not found.
func TestDiff(t *testing.T) {
	a, _ := config.Parse("a", []byte(fleetTOML))
	b, _ := config.Parse("b", []byte(fleetTOML))
	if d, err := config.Diff(a, b); err != nil || len(d) != 0 {
		t.Fatalf("equal configurations differ: %v, %v", d, err)
	}
	b.Routes = b.Routes[:1]
	if d, err := config.Diff(a, b); err != nil || len(d) != 1 || d[0].Object != "routes/guides" || d[0].To != "" {
		t.Fatalf("got %v, %v", d, err)
	}
}
