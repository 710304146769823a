package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// account is what memory and log hold about a query.
type account struct {
	Records []record.Record `json:"records"`
	// Gaps are records that nodes made and that the log does not hold.
	Gaps []logGap `json:"gaps"`
	// Missing tells in sentences which sources were not read or are incomplete.
	Missing []string `json:"missing"`
}

// logGap is a gap of the log, part of which the nodes' memory may fill.
type logGap struct {
	record.Gap
	InMemory int64 `json:"in_memory"`
}

// lateFlag bounds how far beyond the range the log is read.
func lateFlag() cli.Flag {
	return &cli.DurationFlag{Name: "late", Value: time.Hour,
		Usage: "also read batches that nodes sent up to this long after the range, as after a log outage"}
}

func rangeFlags(defaultFrom string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "from", Value: defaultFrom, Usage: "`TIME` such as 2026-01-31T12:00:00Z, or a time ago such as 15m"},
		&cli.StringFlag{Name: "to", Usage: "`TIME`, exclusive (default: now)"},
		lateFlag(),
	}
}

func (a *app) timeRange(c *cli.Command) (from, to time.Time, err error) {
	now := a.now()
	from, errFrom := parseTime(now, "from", c.String("from"))
	to, errTo := parseTime(now, "to", c.String("to"))
	if err := errors.Join(errFrom, errTo); err != nil {
		return from, to, err
	}
	if to.IsZero() {
		to = now
	}
	if !from.Before(to) {
		return from, to, badInputf("--from %s is not before --to %s", from.Format(time.RFC3339), to.Format(time.RFC3339))
	}
	return from, to, nil
}

// gather asks the nodes' memory first and reads the log for what it no longer
// holds. Records of a request are looked up in the log only when no node has
// them.
func (a *app) gather(ctx context.Context, c *cli.Command, q telemetry.ExplainQuery) (account, error) {
	n, err := nodesOf(c)
	if err != nil {
		return account{}, err
	}
	if len(n.urls) == 0 && c.String("log") == "" {
		return account{}, badInputf("%s: want --node or --log", c.FullName())
	}
	out := account{Records: []record.Record{}, Gaps: []logGap{}, Missing: []string{}}
	all := record.NewCollector()
	complete := askMemory(ctx, n, q, all, &out)
	found := q.Request != "" && len(all.Records()) > 0
	switch {
	case found:
	case c.String("log") == "":
		if !complete {
			out.Missing = append(out.Missing, "the log was not read; name it with --log")
		}
	default:
		if err := readLog(ctx, c, q, all, &out); err != nil {
			return out, err
		}
	}
	out.Records = append(out.Records, all.Records()...)
	return out, nil
}

// askMemory adds the records of the nodes' memory. It returns whether every
// node answered and holds the whole range.
func askMemory(ctx context.Context, n *nodes, q telemetry.ExplainQuery, all *record.Collector, out *account) bool {
	complete := len(n.urls) > 0
	query := q
	if q.Request != "" { // the memory is indexed by request; a range would not narrow it
		query = telemetry.ExplainQuery{Request: q.Request}
	}
	for _, e := range ask[telemetry.Explanation](ctx, n, "/v1/explain?"+query.Values().Encode()) {
		if e.Err != nil {
			complete = false
			out.Missing = append(out.Missing, fmt.Sprintf("node %s did not answer: %v", e.URL, e.Err))
			continue
		}
		for _, r := range e.Value.Records {
			all.Add(r)
		}
		since := e.Value.Ring.CompleteSince
		if since.IsZero() || q.Request == "" && since.Before(q.From) {
			continue
		}
		complete = false
		if q.Request == "" {
			out.Missing = append(out.Missing, fmt.Sprintf("the memory of node %s is complete only since %s; of older plain "+
				"successes the log holds a sample", e.Value.Node, since.UTC().Format(record.SentenceTimeLayout)))
		}
	}
	return complete
}

func readLog(ctx context.Context, c *cli.Command, q telemetry.ExplainQuery, all *record.Collector, out *account) error {
	log, err := openLog(c)
	if err != nil {
		return err
	}
	d, err := readDecisions(ctx, log, q.From, q.To, c.Duration("late"))
	out.Missing = append(out.Missing, d.missing...)
	if err != nil {
		out.Missing = append(out.Missing, fmt.Sprintf("the log could not be read: %v", err))
	}
	for _, r := range d.collector.Records() {
		if q.Matches(&r) {
			all.Add(r)
		}
	}
	for _, g := range d.collector.Gaps() {
		out.Gaps = append(out.Gaps, logGap{Gap: g, InMemory: countInGap(g, all.Records())})
	}
	return nil
}

func countInGap(g record.Gap, records []record.Record) (n int64) {
	for i := range records {
		r := &records[i]
		if r.Kind != record.KindGap && r.Node == g.Node && r.Incarnation == g.Incarnation &&
			r.Sequence >= g.First && r.Sequence < g.First+uint64(g.Count) {
			n++
		}
	}
	return n
}

// missingSentences lists what is missing, gaps included.
func (x account) missingSentences() []string {
	out := append([]string(nil), x.Missing...)
	for _, g := range x.Gaps {
		why := "they were not appended or are trimmed"
		if g.Recorded {
			why = "the node's buffer was full, such as in a log outage"
		}
		sentence := fmt.Sprintf("the log lacks %d records of node %s (from number %d of process %s): %s", g.Count, g.Node, g.First,
			g.Incarnation, why)
		if g.InMemory > 0 {
			sentence += fmt.Sprintf("; %d of them are shown from the node's memory", g.InMemory)
		}
		out = append(out, sentence)
	}
	return out
}
