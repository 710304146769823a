package bench

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

// Guards against figures that depend on anything but the seed.
func TestSameSeedGivesSameFigures(t *testing.T) {
	t.Parallel()
	run := func() Result {
		res := Result{Seed: 3, Seeds: 1}
		runBlocking(small(), &res)
		return res
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Errorf("seed 3 gave %+v, then %+v", a, b)
	}
}

// small is a fleet of one service, so that a run takes about a second.
func small() Deployment {
	d := Sunbake()
	d.Services = d.Services[2:]
	return d
}

// Guards against short work that waits behind downloads. The baseline, which
// has no classes, shows the failure.
func TestBlockingBound(t *testing.T) {
	t.Parallel()
	res := Result{Seed: 1, Seeds: 1}
	runBlocking(small(), &res)
	checkBounds(t, res)
	if f := res.Figures[0]; *f.Baseline <= f.Bound.Limit {
		t.Errorf("the baseline holds the bound with %.3g: the case does not show the failure", *f.Baseline)
	}
}

// Guards against a failing target that stays in rotation.
func TestDetectionBound(t *testing.T) {
	t.Parallel()
	for _, f := range detectionFaults {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			if took := detectOurs(small(), f, 1); took > 3 {
				t.Errorf("down to a trickle after %.2f s, bound 3 s", took)
			}
		})
	}
}

// Guards against service that breaks down when demand exceeds the capacity. The
// baseline, which queues without limit and retries blindly, shows the failure.
func TestCrestBound(t *testing.T) {
	t.Parallel()
	res := Result{Seed: 1, Seeds: 1}
	d := Sunbake()
	d.Services = d.Services[1:2]
	runCrest(d, &res)
	checkBounds(t, res)
	if f := res.Figures[0]; *f.Baseline >= f.Bound.Limit {
		t.Errorf("the baseline holds the bound with %.3g: the case does not show the failure", *f.Baseline)
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

// Guards against a broken bound that is reported as held.
func TestBounds(t *testing.T) {
	for _, c := range []struct {
		value float64
		bound *Bound
		holds bool
	}{
		{1, nil, true}, {1, atMost(1), true}, {1.01, atMost(1), false}, {0.95, atLeast(0.95), true}, {0.94, atLeast(0.95), false},
	} {
		if f := (Figure{Value: c.value, Bound: c.bound}); f.WithinBound() != c.holds {
			t.Errorf("%v with %+v: holds is %v", c.value, c.bound, f.WithinBound())
		}
	}
}
