package slopes

import (
	"errors"
	"flag"
	"math"
	"os"
	"strings"
	"testing"
)

const benchmarkOutput = `goos: linux
pkg: example
BenchmarkTick/nodes=100-10  	  100	 1000 ns/op	 64 B/op
BenchmarkTick/nodes=100-10  	  100	 3000 ns/op	 64 B/op
BenchmarkTick/nodes=100-10  	  100	 1200 ns/op	 64 B/op
BenchmarkTick/nodes=400     	  100	 4200 ns/op	 64 B/op
BenchmarkTick/nodes=800-10  	  100	 8200 ns/op	 64 B/op
BenchmarkAlone-10           	  100	 8200 ns/op
--- FAIL: BenchmarkOther
PASS
`

// Guards against results that are assigned to a wrong size, against a mean in place
// of the median, and against malformed values that are accepted.
func TestParse(t *testing.T) {
	series, err := Parse(strings.NewReader(benchmarkOutput))
	if err != nil || len(series) != 2 {
		t.Fatalf("error %v, series %+v; want 2 series", err, series)
	}
	s := series[0]
	if s.Name != "Tick" || s.Dimension != "nodes" || s.Unit != "ns/op" || len(s.Points) != 3 {
		t.Fatalf("%+v", s)
	}
	if p := s.Points[0]; p != (Point{Size: 100, Value: 1200, Runs: 3, Min: 1000, Max: 3000}) {
		t.Errorf("%+v", p)
	}
	if _, err := Parse(strings.NewReader("BenchmarkX/nodes=1 1 abc ns/op")); err == nil {
		t.Error("a malformed value is accepted")
	}
}

// Guards against an extrapolation with the wrong form, and against fits that hide a
// lack of sizes or a high residual.
func TestBest(t *testing.T) {
	for _, form := range []Form{Linear, Logarithmic} {
		want := Fit{Form: form, Base: 7, Slope: 3}
		var points []Point
		for _, n := range []float64{100, 400, 790} {
			points = append(points, Point{Size: n, Value: want.ValueAt(n)})
		}
		got, err := Best(points)
		if err != nil || got.Form != form || got.Residual > 1e-9 || math.Abs(got.ValueAt(7300)-want.ValueAt(7300)) > 1e-6 {
			t.Errorf("%s: %+v, %v", form, got, err)
		}
		if _, err := Best(points[:2]); !errors.Is(err, ErrTooFewSizes) {
			t.Errorf("two points: %v", err)
		}
	}
	if f, _ := Best([]Point{{Size: 1, Value: 10}, {Size: 2, Value: 20}, {Size: 3, Value: 60}}); f.Residual < 0.2 {
		t.Errorf("a poor fit has residual %g", f.Residual)
	}
}

// fullSizes maps the dimensions that benchmarks name to the sizes in docs/design.md,
// and to the sizes of one node that follow from them in docs/CAPACITY.md.
var fullSizes = map[string]float64{
	"nodes": 790, "instances": 7300, "services": 140, "routes": 2200, "customers": 52_000,
	"peers": 790, "objects": 2340, "targets": 3360,
}

var input = flag.String("input", "", "file with the output of go test -bench that TestTable prints as a table")

// Guards against a wrong fit or extrapolation in the table. With -input it prints
// the table of docs/CAPACITY.md instead:
//
//	go test ./bench/slopes -run TestTable -v -args -input FILE
func TestTable(t *testing.T) {
	text := benchmarkOutput
	if *input != "" {
		data, err := os.ReadFile(*input)
		if err != nil {
			t.Fatal(err)
		}
		text = string(data)
	}
	series, err := Parse(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := WriteTable(&out, series, fullSizes); err != nil {
		t.Fatal(err)
	}
	if *input != "" {
		t.Log("\n" + out.String())
	} else if want := "linear, 200 + 10·n | 0 % | 8100 at 790"; !strings.Contains(out.String(), want) {
		t.Errorf("no %q in\n%s", want, out.String())
	}
}
