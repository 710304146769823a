package slopes

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes a Markdown table with the points, the fit and the value at full
// size of each series. The full sizes are given by dimension. Series with fewer
// than three sizes have no fit.
func WriteTable(w io.Writer, series []Series, fullSizes map[string]float64) error {
	table := "| benchmark | unit | points (size: median, min to max) | fit | residual | at full size |\n| --- | --- | --- | --- | --- | --- |\n"
	for _, s := range series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %s (%s to %s)", p.Size, formatNumber(p.Value), formatNumber(p.Min), formatNumber(p.Max)))
		}
		form, residual, atFullSize := "none", "", ""
		if f, err := Best(s.Points); err == nil {
			term := "n"
			if f.Form == Logarithmic {
				term = "ln n"
			}
			form = fmt.Sprintf("%s, %s + %s·%s", f.Form, formatNumber(f.Base), formatNumber(f.Slope), term)
			residual = fmt.Sprintf("%.0f %%", 100*f.Residual)
			if size, ok := fullSizes[s.Dimension]; ok {
				atFullSize = fmt.Sprintf("%s at %g", formatNumber(f.ValueAt(size)), size)
			}
		}
		table += fmt.Sprintf("| %s, %s | %s | %s | %s | %s | %s |\n", s.Name, s.Dimension, s.Unit, strings.Join(points, "; "), form, residual, atFullSize)
	}
	_, err := io.WriteString(w, table)
	return err
}

// formatNumber prints v with three significant digits, or as a whole number from
// 1000 on.
func formatNumber(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
