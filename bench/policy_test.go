package bench

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

// Guards against figures that differ between runs with the same seed.
func TestSameSeedGivesSameFigures(t *testing.T) {
	t.Parallel()
	run := func() Result {
		res := Result{Seed: 3, Seeds: 1}
		runBlocking(libraryDeployment(), &res)
		return res
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Errorf("seed 3 gave %+v, then %+v", a, b)
	}
}

// libraryDeployment returns a deployment of one service with short and long
// requests, so that a run takes about a second.
func libraryDeployment() Deployment {
	d := Sunbake()
	d.Services = d.Services[2:]
	return d
}

// Guards against short requests that wait behind downloads. The check that the
// baseline, which has no classes, is out of bounds shows that the case can fail.
func TestBlockingBound(t *testing.T) {
	t.Parallel()
	res := Result{Seed: 1, Seeds: 1}
	runBlocking(libraryDeployment(), &res)
	checkBounds(t, res)
	if f := res.Figures[0]; *f.Baseline <= f.Bound.Limit {
		t.Errorf("the baseline is within the bound with %.3g: the case does not show the failure", *f.Baseline)
	}
}

// Guards against a failing target that still receives more than a trickle of work
// after 3 s.
func TestDetectionBound(t *testing.T) {
	t.Parallel()
	for _, f := range detectionFaults {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			if seconds := fleetDetectionTime(libraryDeployment(), f, 1); seconds > 3 {
				t.Errorf("work reduced to a trickle after %.2f s, bound 3 s", seconds)
			}
		})
	}
}

// Guards against a drop of goodput when demand exceeds the capacity. The check
// that the baseline, which queues without limit and retries without finding out
// what ran, is out of bounds shows that the case can fail.
func TestOverloadBound(t *testing.T) {
	t.Parallel()
	res := Result{Seed: 1, Seeds: 1}
	d := Sunbake()
	d.Services = d.Services[1:2]
	runOverload(d, &res)
	checkBounds(t, res)
	if f := res.Figures[0]; *f.Baseline >= f.Bound.Limit {
		t.Errorf("the baseline is within the bound with %.3g: the case does not show the failure", *f.Baseline)
	}
	var plot bytes.Buffer
	if err := res.WritePlot(&plot); err != nil || !strings.Contains(plot.String(), "<svg") {
		t.Errorf("plot of %d bytes: %v", plot.Len(), err)
	}
}

func checkBounds(t *testing.T, res Result) {
	t.Helper()
	for _, f := range res.OutOfBounds() {
		t.Errorf("%s: got %.4g, want %s", f.Name, f.Value, f.boundText())
	}
}

// Guards against a figure out of its bound that is reported as within it, and the
// reverse.
func TestWithinBound(t *testing.T) {
	for _, c := range []struct {
		value  float64
		bound  *Bound
		within bool
	}{
		{1, nil, true}, {1, atMost(1), true}, {1.01, atMost(1), false}, {0.95, atLeast(0.95), true}, {0.94, atLeast(0.95), false},
	} {
		if f := (Figure{Value: c.value, Bound: c.bound}); f.WithinBound() != c.within {
			t.Errorf("%v with %+v: WithinBound is %v", c.value, c.bound, f.WithinBound())
		}
	}
}
