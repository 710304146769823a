package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// maxReportRequests limits the requests that a report explains one by one.
const maxReportRequests = 100

func reportCommand(a *app) *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "write an incident report as one self-contained HTML page", Action: withTimeout(a.report),
		Flags: append(rangeFlags("1h"),
			&cli.StringFlag{Name: "title", Value: "Incident report", Usage: "title of the page"},
			&cli.StringFlag{Name: "file", Usage: "write to `FILE` (default: standard output)"}),
	}
}

// outcomeCount is a row of the report's table of outcomes.
type outcomeCount struct {
	Service string
	Class   string
	Outcome attempt.Outcome
	Reason  attempt.Reason
	Count   int
}

// reportPage is the data of the HTML template.
type reportPage struct {
	Title    string
	From, To string
	Plot     template.HTML // SVG that plotSVG made from numbers and fixed labels
	Outcomes []outcomeCount
	Changes  []string
	Requests [][]string // the sentences of each request
	Omitted  int        // requests beyond maxReportRequests
	Missing  []string
}

func (a *app) report(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return badInputf("%s: unexpected argument %q", c.FullName(), c.Args().First())
	}
	from, to, err := a.timeRange(c)
	if err != nil {
		return err
	}
	result, err := a.gather(ctx, c, telemetry.ExplainQuery{From: from, To: to})
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return a.reportJSON(c, result)
	}
	page, err := newReportPage(c.String("title"), from, to, result)
	if err != nil {
		return err
	}
	if c.String("file") == "" {
		return page.write(a.stdout)
	}
	f, err := os.Create(c.String("file"))
	if err != nil {
		return badInput{err}
	}
	if err := page.write(f); err != nil {
		_ = f.Close() // the write error is reported
		return err
	}
	return f.Close()
}

// reportJSON writes the data of the report as JSON instead of HTML.
func (a *app) reportJSON(c *cli.Command, result queryResult) error {
	if c.String("file") == "" {
		return a.print(c, result, nil)
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.String("file"), append(data, '\n'), 0o644); err != nil {
		return badInput{err}
	}
	return nil
}

func newReportPage(title string, from, to time.Time, result queryResult) (*reportPage, error) {
	svg, err := plotSVG(from, to, result.Records)
	if err != nil {
		return nil, err
	}
	page := &reportPage{Title: title, From: from.UTC().Format(record.SentenceTimeLayout), To: to.UTC().Format(record.SentenceTimeLayout),
		Plot: template.HTML(svg), Outcomes: countOutcomes(result.Records), Missing: result.missingSentences()}
	for i := range result.Records {
		r := &result.Records[i]
		switch {
		case r.Request == nil:
			page.Changes = append(page.Changes, r.Sentences()[0])
		case r.PlainSuccess():
		case len(page.Requests) < maxReportRequests:
			page.Requests = append(page.Requests, r.Sentences())
		default:
			page.Omitted++
		}
	}
	return page, nil
}

func countOutcomes(records []record.Record) []outcomeCount {
	counts := map[outcomeCount]int{}
	for i := range records {
		if q := records[i].Request; q != nil {
			counts[outcomeCount{Service: q.Service, Class: q.Class, Outcome: q.Outcome, Reason: q.Reason}]++
		}
	}
	rows := slices.Collect(maps.Keys(counts))
	for i := range rows {
		rows[i].Count = counts[rows[i]]
	}
	slices.SortFunc(rows, func(x, y outcomeCount) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Class, y.Class),
			cmp.Compare(x.Outcome, y.Outcome), cmp.Compare(x.Reason, y.Reason))
	})
	return rows
}

func (page *reportPage) write(w io.Writer) error {
	if err := reportTemplate.Execute(w, page); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font-family: sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; }
th, td { border: 1px solid #999; padding: 0.2rem 0.6rem; text-align: left; }
td.number { text-align: right; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
<p>From {{.From}} to {{.To}} (UTC).</p>
<h2>Timeline</h2>
{{.Plot}}
<h2>Outcomes</h2>
{{if .Outcomes}}<table>
<tr><th>Service</th><th>Class</th><th>Outcome</th><th>Reason</th><th>Records</th></tr>
{{range .Outcomes}}<tr><td>{{.Service}}</td><td>{{.Class}}</td><td>{{.Outcome}}</td><td>{{.Reason}}</td><td class="number">{{.Count}}</td></tr>
{{end}}</table>
<p>Records of plain successes that are no longer in the nodes' memory are a sample.</p>
{{else}}<p>No records of requests.</p>{{end}}
<h2>State changes</h2>
{{if .Changes}}<ul>
{{range .Changes}}<li>{{.}}</li>
{{end}}</ul>{{else}}<p>None recorded.</p>{{end}}
<h2>Requests that were refused, retried, failed or unknown</h2>
{{if .Requests}}{{range .Requests}}<details><summary>{{index . 0}}</summary><ul>
{{range $i, $s := .}}{{if $i}}<li>{{$s}}</li>
{{end}}{{end}}</ul></details>
{{end}}{{else}}<p>None recorded.</p>{{end}}
{{if .Omitted}}<p>{{.Omitted}} further requests are not listed; explain shows them.</p>{{end}}
<h2>Missing records</h2>
{{if .Missing}}<ul>
{{range .Missing}}<li>{{.}}</li>
{{end}}</ul>{{else}}<p>None known.</p>{{end}}
</body>
</html>
`))
