// Package plotsvg draws plots for HTML pages.
package plotsvg

import (
	"bytes"
	"errors"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot on a page.
const (
	width  = 9 * vg.Inch
	height = 3.5 * vg.Inch
)

// Element draws a plot as an <svg> element.
func Element(p *plot.Plot) (string, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	// The XML declaration and document type have no place within HTML.
	_, element, ok := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !ok {
		return "", errors.New("plot: no svg element")
	}
	return "<svg" + string(element), nil
}
