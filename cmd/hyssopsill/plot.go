package main

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/hyssopsill/hyssopsill/plotsvg"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

const plotBuckets = 60

// plotSeries are the lines of the plot, each counting the records it matches.
var plotSeries = []struct {
	label   string
	color   color.RGBA
	matches func(*record.Record) bool
}{
	{"not run", color.RGBA{R: 0xc0, G: 0x50, A: 0xff},
		func(r *record.Record) bool { return r.Request != nil && r.Request.Outcome == attempt.NotRun }},
	{"unknown", color.RGBA{R: 0xb0, B: 0x30, A: 0xff},
		func(r *record.Record) bool { return r.Request != nil && r.Request.Outcome == attempt.Unknown }},
	{"retried", color.RGBA{G: 0x60, B: 0xb0, A: 0xff},
		func(r *record.Record) bool { return r.Request != nil && len(r.Request.Attempts) > 1 }},
	{"state changes", color.RGBA{R: 0x40, G: 0x40, B: 0x40, A: 0xff},
		func(r *record.Record) bool { return r.Change != nil }},
	// A gap is drawn at its start with the number of records it covers, so that
	// missing records do not look like a time without events.
	{"missing", color.RGBA{R: 0xe0, G: 0xa0, A: 0xff},
		func(r *record.Record) bool { return r.Kind == record.KindGap }},
}

// newPlot plots the number of records per time step.
func newPlot(from, to time.Time, records []record.Record) (*plot.Plot, error) {
	p := plot.New()
	step := max(to.Sub(from)/plotBuckets, time.Second)
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	p.X.Label.Text = "time (UTC)"
	p.Y.Label.Text = fmt.Sprintf("records per %s", step.Round(time.Millisecond))
	p.Legend.Top = true
	p.X.Min, p.X.Max = float64(from.Unix()), float64(to.Unix())
	p.Y.Min, p.Y.Max = 0, 1
	for _, s := range plotSeries {
		points := make(plotter.XYs, int(to.Sub(from)/step)+1)
		for i := range points {
			points[i].X = float64(from.Add(time.Duration(i) * step).Unix())
		}
		for i := range records {
			if r := &records[i]; r.InRange(from, to) && s.matches(r) {
				points[int(r.At.Sub(from)/step)].Y += float64(max(r.Count, 1))
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("plot: %w", err)
		}
		line.Color = s.color
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(s.label, line)
	}
	return p, nil
}

// plotSVG draws records per time step as an <svg> element.
func plotSVG(from, to time.Time, records []record.Record) (string, error) {
	p, err := newPlot(from, to, records)
	if err != nil {
		return "", err
	}
	return plotsvg.Element(p)
}
