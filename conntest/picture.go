package conntest

import (
	"bytes"
	"fmt"
	"html"
	"math"
)

// Measures of the picture, pixels.
const (
	cellSize    = 8
	labelWidth  = 170
	labelHeight = 12 // of the two lines of the caption
)

// drawPairs draws an SVG picture with a row and a column for each value: how often each pair
// was played, and whether a case with it violated a rule.
func drawPairs(played, broken pairs) []byte {
	var values []value
	for i, d := range dimensions {
		for j := range d.Values {
			values = append(values, value{i, j})
		}
	}
	top := 3 * labelHeight
	size := labelWidth + len(values)*cellSize
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="7">`+"\n", size, top+len(values)*cellSize)
	fmt.Fprintf(&b, `<text x="4" y="%d" font-size="11">Cases by pair of values: the darker, the more; white with a frame: none; red: a case with it violated a rule</text>`+"\n", labelHeight)
	fmt.Fprintf(&b, `<text x="4" y="%d" font-size="11">The columns are the values of the rows, in the same order</text>`+"\n", 2*labelHeight)
	for row, a := range values {
		y := top + row*cellSize
		fmt.Fprintf(&b, `<text x="4" y="%d">%s</text>`+"\n", y+cellSize-1, html.EscapeString(a.String()))
		for column, other := range values[:row] {
			if other.dimension == a.dimension {
				continue
			}
			both := pair{other, a}
			fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="%d" %s><title>%s: %d cases, %d violated a rule</title></rect>`+"\n",
				labelWidth+column*cellSize, y, cellSize-1, cellSize-1, paint(played[both], broken[both]), html.EscapeString(both.String()), played[both], broken[both])
		}
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

// paint returns the attributes of a cell.
func paint(played, broken int) string {
	if played == 0 {
		return `fill="white" stroke="black" stroke-width="0.5"`
	}
	const lightest, darkest, manyCases = 90, 30, 100
	share := min(1, math.Log1p(float64(played))/math.Log1p(manyCases))
	hue, saturation := 210, 30
	if broken > 0 {
		hue, saturation = 0, 80
	}
	return fmt.Sprintf(`fill="hsl(%d,%d%%,%.0f%%)"`, hue, saturation, lightest-share*(lightest-darkest))
}
