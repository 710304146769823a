package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Case names an experiment.
type Case string

// Experiments. RunOverhead runs CaseOverhead, and Run the others.
const (
	CaseDetection Case = "detection"
	CaseOverload  Case = "crest" // demand above the capacity
	CaseBlocking  Case = "blocking"
	CaseOverhead  Case = "overhead"
)

// Figure is one measured value, with the value of the baseline in the same run
// where there is one.
type Figure struct {
	Name     string   `json:"name"`
	Unit     string   `json:"unit"`
	Value    float64  `json:"value"`
	Baseline *float64 `json:"baseline,omitempty"`
	// Bound is the limit from the stated target, nil for a figure without one.
	Bound *Bound `json:"bound,omitempty"`
}

// Bound is the maximum or, with AtLeast, the minimum that a figure may have.
type Bound struct {
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"at_least"` // the limit is a minimum
}

// WithinBound reports whether the figure is within its bound.
func (f Figure) WithinBound() bool {
	switch {
	case f.Bound == nil:
		return true
	case f.Bound.AtLeast:
		return f.Value >= f.Bound.Limit
	default:
		return f.Value <= f.Bound.Limit
	}
}

// Result holds the figures of one experiment.
type Result struct {
	Deployment string   `json:"deployment"`
	Case       Case     `json:"case"`
	Seed       uint64   `json:"seed"`
	Seeds      int      `json:"seeds"`
	Figures    []Figure `json:"figures"`
	// Series are per-second values for plots.
	Series []Series `json:"series,omitempty"`
}

// Series is a line of a plot: one value a second.
type Series struct {
	Name   string    `json:"name"`
	Values []float64 `json:"values"`
}

// OutOfBounds returns the figures that are outside of their bounds.
func (r Result) OutOfBounds() []Figure {
	var out []Figure
	for _, f := range r.Figures {
		if !f.WithinBound() {
			out = append(out, f)
		}
	}
	return out
}

// WriteTable prints the figures as a table.
func (r Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s %s, seed %d, %d runs\n", r.Deployment, r.Case, r.Seed, r.Seeds)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "figure\tunit\tfleet\tbaseline\tbound\t")
	for _, f := range r.Figures {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\n", f.Name, f.Unit, formatNumber(&f.Value), formatNumber(f.Baseline), f.boundText(), f.outOfBoundsMark())
	}
	return tw.Flush()
}

func (f Figure) boundText() string {
	if f.Bound == nil {
		return "-"
	}
	operator := "<="
	if f.Bound.AtLeast {
		operator = ">="
	}
	return fmt.Sprintf("%s %s", operator, formatNumber(&f.Bound.Limit))
}

func (f Figure) outOfBoundsMark() string {
	if f.WithinBound() {
		return ""
	}
	return "BROKEN"
}

func formatNumber(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}

func atMost(limit float64) *Bound  { return &Bound{Limit: limit} }
func atLeast(limit float64) *Bound { return &Bound{Limit: limit, AtLeast: true} }
