package soak

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/hyssopsill/hyssopsill/plotsvg"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Report summarizes a run. It is written to the run's directory as report.json and
// report.html, beside the history in history.json.
type Report struct {
	Seed       uint64         `json:"seed"`
	OK         bool           `json:"ok"`
	Seconds    float64        `json:"seconds"`
	Events     map[Kind]int   `json:"events"`
	Calls      int            `json:"calls"`
	Uploads    int            `json:"uploads"` // long uploads with a complete response
	Outcomes   map[string]int `json:"outcomes"`
	Executions int            `json:"executions"`
	Views      int            `json:"views"`
	Stops      int            `json:"stops"`
	Ends       map[string]int `json:"ends"` // ended processes by exit status or signal
	Limits     LimitReport    `json:"limits"`
	PeakKiB    int64          `json:"peak_kib"` // largest resident memory of a node
	Violations []Violation    `json:"violations"`
	Notes      []string       `json:"notes"`
	Dir        string         `json:"dir"`
}

// LimitReport tells how much the guarantees of accounts were exercised. All counts are 0
// in a run without accounts.
type LimitReport struct {
	LimitedRuns     int `json:"limited_runs"`    // requests of accounts with a limit
	BusiestWindow   int `json:"busiest_window"`  // most requests of one of these accounts in a window
	Refused         int `json:"refused"`         // calls of these accounts with status 429
	Unauthenticated int `json:"unauthenticated"` // calls with status 401
}

func newLimitReport(h *History) (r LimitReport) {
	for _, runs := range limitedRuns(h) {
		most, _ := busiestWindow(runs, accountWindow)
		r.LimitedRuns, r.BusiestWindow = r.LimitedRuns+len(runs), max(r.BusiestWindow, most)
	}
	for i := range h.Calls {
		switch c := &h.Calls[i]; {
		case c.Status == http.StatusUnauthorized:
			r.Unauthenticated++
		case c.Status == http.StatusTooManyRequests && accountOfKey(c.Key) != openAccount:
			r.Refused++
		}
	}
	return r
}

func newReport(o Options, h *History) (Report, error) {
	r := Report{Seed: o.Seed, Seconds: time.Since(h.StartedAt).Seconds(), Events: map[Kind]int{}, Calls: len(h.Calls), Outcomes: map[string]int{}, Ends: map[string]int{},
		Executions: len(h.Executions), Views: len(h.Views), Stops: len(h.Stops), Limits: newLimitReport(h), Violations: Check(h), Notes: h.Notes, Dir: o.Dir}
	r.OK = len(r.Violations) == 0
	for _, e := range h.Plan.Events {
		r.Events[e.Kind]++
	}
	for i := range h.Calls {
		if c := &h.Calls[i]; c.Upload && c.Status == http.StatusOK && c.Incomplete == "" {
			r.Uploads++
		}
	}
	for i := range h.Ends {
		r.Ends[h.Ends[i].cause()]++
		r.PeakKiB = max(r.PeakKiB, h.Ends[i].PeakKiB)
	}
	for i := range h.Calls {
		r.Outcomes[outcomeOf(&h.Calls[i])]++
	}
	return r, r.writeFiles(o.Dir, h)
}

func outcomeOf(c *Call) string {
	switch {
	case c.Incomplete != "":
		return "no answer"
	case c.Outcome == attempt.Answered && c.Status >= 500:
		return "answered with an error"
	}
	return string(c.Outcome)
}

func (r *Report) writeFiles(dir string, h *History) error {
	page, err := r.renderHTML(h)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.html"), page, 0o600); err != nil {
		return err
	}
	for name, v := range map[string]any{"report.json": r, "history.json": h} {
		data, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

//go:embed report.html
var reportHTML string

var reportTemplate = template.Must(template.New("report").Parse(reportHTML))

func (r *Report) renderHTML(h *History) ([]byte, error) {
	chart, err := drawCalls(h)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = reportTemplate.Execute(&b, struct {
		*Report
		Plan  Plan
		Chart template.HTML
	}{r, h.Plan, template.HTML(chart)}) // safe: drawn by this package from numbers only
	return b.Bytes(), err
}

// drawCalls plots the calls that ended in each second by outcome, as an <svg> element.
func drawCalls(h *History) (string, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", "calls that ended"
	p.Legend.Top = true
	lastSecond := 1
	counts := map[string]map[int]int{}
	for i := range h.Calls {
		c := &h.Calls[i]
		second := int(c.EndedAt.Sub(h.StartedAt).Seconds())
		lastSecond = max(lastSecond, second)
		name := outcomeOf(c)
		if counts[name] == nil {
			counts[name] = map[int]int{}
		}
		counts[name][second]++
	}
	for i, name := range []string{string(attempt.Answered), "answered with an error", string(attempt.NotRun), string(attempt.Unknown), "no answer"} {
		points := make(plotter.XYs, lastSecond+1)
		for s := range points {
			points[s].X, points[s].Y = float64(s), float64(counts[name][s])
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plot: %w", err)
		}
		line.Color = []color.Color{color.RGBA{G: 0x80, A: 0xff}, color.RGBA{R: 0xe0, G: 0x80, A: 0xff}, color.RGBA{B: 0xc0, A: 0xff},
			color.RGBA{R: 0xc0, A: 0xff}, color.Black}[i]
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return plotsvg.Element(p)
}
