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

// queryResult holds what the nodes' memory and the log contain for a query.
type queryResult struct {
	Records []record.Record `json:"records"`
	// Gaps lists ranges of records that nodes made and the log lacks.
	Gaps []logGap `json:"gaps"`
	// Missing lists, as sentences, the sources that were not read or are incomplete.
	Missing []string `json:"missing"`
}

// logGap is a gap of the log.
type logGap struct {
	record.Gap
	InMemory int64 `json:"in_memory"` // its records that the nodes' memory holds
}

// lateFlag sets how far beyond the time range the log is read.
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

// gather queries the nodes' memory first and then reads the log for older records.
// For a request the log is read only when no node has a record of it.
func (a *app) gather(ctx context.Context, c *cli.Command, query telemetry.ExplainQuery) (queryResult, error) {
	nodes, err := newNodeClient(c)
	if err != nil {
		return queryResult{}, err
	}
	if len(nodes.urls) == 0 && c.String("log") == "" {
		return queryResult{}, badInputf("%s: want --node or --log", c.FullName())
	}
	out := queryResult{Records: []record.Record{}, Gaps: []logGap{}, Missing: []string{}}
	collector := record.NewCollector()
	complete := fetchRecords(ctx, nodes, query, collector, &out)
	found := query.Request != "" && len(collector.Records()) > 0
	switch {
	case found:
	case c.String("log") == "":
		if !complete {
			out.Missing = append(out.Missing, "the log was not read; name it with --log")
		}
	default:
		if err := readLogRecords(ctx, c, query, collector, &out); err != nil {
			return out, err
		}
	}
	out.Records = append(out.Records, collector.Records()...)
	return out, nil
}

// fetchRecords collects records from the nodes' memory. It reports whether every
// node responded and holds the whole range.
func fetchRecords(ctx context.Context, nodes *nodeClient, query telemetry.ExplainQuery, collector *record.Collector, out *queryResult) bool {
	complete := len(nodes.urls) > 0
	nodeQuery := query
	if query.Request != "" { // the memory is indexed by request; a range would not narrow it
		nodeQuery = telemetry.ExplainQuery{Request: query.Request}
	}
	for _, response := range fetchAll[telemetry.Explanation](ctx, nodes, "/v1/explain?"+nodeQuery.Values().Encode()) {
		if response.Err != nil {
			complete = false
			out.Missing = append(out.Missing, fmt.Sprintf("node %s did not respond: %v", response.URL, response.Err))
			continue
		}
		for _, r := range response.Value.Records {
			collector.Add(r)
		}
		completeSince := response.Value.Ring.CompleteSince
		if completeSince.IsZero() || query.Request == "" && completeSince.Before(query.From) {
			continue
		}
		complete = false
		if query.Request == "" {
			out.Missing = append(out.Missing, fmt.Sprintf("the memory of node %s is complete only since %s; of older plain "+
				"successes the log holds a sample", response.Value.Node, completeSince.UTC().Format(record.SentenceTimeLayout)))
		}
	}
	return complete
}

// readLogRecords adds the matching records and the gaps of the log stream
// `decisions`.
func readLogRecords(ctx context.Context, c *cli.Command, query telemetry.ExplainQuery, collector *record.Collector, out *queryResult) error {
	log, err := openLog(c)
	if err != nil {
		return err
	}
	decisions, err := readDecisions(ctx, log, query.From, query.To, c.Duration("late"))
	out.Missing = append(out.Missing, decisions.missing...)
	if err != nil {
		out.Missing = append(out.Missing, fmt.Sprintf("the log could not be read: %v", err))
	}
	for _, r := range decisions.collector.Records() {
		if query.Matches(&r) {
			collector.Add(r)
		}
	}
	for _, gap := range decisions.collector.Gaps() {
		out.Gaps = append(out.Gaps, logGap{Gap: gap, InMemory: countGapRecords(gap, collector.Records())})
	}
	return nil
}

// countGapRecords returns how many of the records are those that the gap covers.
func countGapRecords(gap record.Gap, records []record.Record) (n int64) {
	for i := range records {
		r := &records[i]
		if r.Kind != record.KindGap && r.Node == gap.Node && r.Incarnation == gap.Incarnation &&
			r.Sequence >= gap.First && r.Sequence < gap.First+uint64(gap.Count) {
			n++
		}
	}
	return n
}

// missingSentences returns Missing and a sentence for each gap.
func (result queryResult) missingSentences() []string {
	out := append([]string(nil), result.Missing...)
	for _, gap := range result.Gaps {
		reason := "they were not appended or are trimmed"
		if gap.Recorded {
			reason = "the node's buffer was full, such as in a log outage"
		}
		sentence := fmt.Sprintf("the log lacks %d records of node %s (from number %d of process %s): %s", gap.Count, gap.Node, gap.First,
			gap.Incarnation, reason)
		if gap.InMemory > 0 {
			sentence += fmt.Sprintf("; %d of them are shown from the node's memory", gap.InMemory)
		}
		out = append(out, sentence)
	}
	return out
}
