package slopes

import (
	"errors"
	"math"
)

// Form describes how the value of a fit depends on the size.
type Form string

// Forms of a fit.
const (
	Linear      Form = "linear"      // value = Base + Slope × size
	Logarithmic Form = "logarithmic" // value = Base + Slope × ln(size)
)

// Fit is a least-squares fit of values by size.
type Fit struct {
	Form        Form
	Base, Slope float64
	// Residual is the root mean square deviation of the values from the fit, as a
	// share of the mean value.
	Residual float64
}

// ErrTooFewSizes is returned by Best for fewer than three sizes: with two, a fit of two
// parameters always has a residual of zero.
var ErrTooFewSizes = errors.New("slopes: fewer than three sizes")

// Best returns the linear or the logarithmic fit, whichever has the smaller
// residual. When both are equal it returns the linear fit.
func Best(points []Point) (Fit, error) {
	if len(points) < 3 {
		return Fit{}, ErrTooFewSizes
	}
	linear, logarithmic := fit(Linear, points), fit(Logarithmic, points)
	if logarithmic.Residual < linear.Residual {
		return logarithmic, nil
	}
	return linear, nil
}

// transform returns the term that the slope of the form is multiplied by.
func (f Form) transform(size float64) float64 {
	if f == Logarithmic {
		return math.Log(max(size, 1))
	}
	return size
}

func fit(form Form, points []Point) Fit {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += form.transform(p.Size) / n
		meanY += p.Value / n
	}
	var xx, xy float64
	for _, p := range points {
		dx := form.transform(p.Size) - meanX
		xx += dx * dx
		xy += dx * (p.Value - meanY)
	}
	f := Fit{Form: form}
	if xx > 0 {
		f.Slope = xy / xx
	}
	f.Base = meanY - f.Slope*meanX
	meanSquare := 0.0
	for _, p := range points {
		d := p.Value - f.ValueAt(p.Size)
		meanSquare += d * d / n
	}
	if meanY != 0 {
		f.Residual = math.Sqrt(meanSquare) / math.Abs(meanY)
	}
	return f
}

// ValueAt returns the value of the fit at a size, which may lie outside the fitted range.
func (f Fit) ValueAt(size float64) float64 { return f.Base + f.Slope*f.Form.transform(size) }
