package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

func explainCommand(a *app) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain the outcome of a request, or what happened to a target", ArgsUsage: "[REQUEST-ID]",
		Description: "Reads the nodes' memory first and the log for older records, or saved log files only (--logs). Says when records are missing.",
		Action:      withTimeout(a.explain),
		Flags:       append(rangeFlags("1h"), logsFlag(), &cli.StringFlag{Name: "target", Usage: "`TARGET` to explain instead of a request"}),
	}
}

func (a *app) explain(ctx context.Context, c *cli.Command) error {
	q := telemetry.ExplainQuery{Target: c.String("target")}
	if q.Target == "" {
		id, err := argument(c, "REQUEST-ID (or --target TARGET)")
		if err != nil {
			return err
		}
		q.Request = attempt.RequestID(id)
	} else if c.Args().Present() {
		return badInputf("%s: want either REQUEST-ID or --target", c.FullName())
	}
	var err error
	if c.IsSet("logs") {
		if q.From, q.To, err = a.logRange(c); err != nil {
			return err
		}
		return a.explainLogs(c, q)
	}
	if q.From, q.To, err = a.timeRange(c); err != nil {
		return err
	}
	found, err := a.gather(ctx, c, q)
	if err != nil {
		return err
	}
	if err := a.print(c, found, func(w io.Writer) { writeAccount(w, found) }); err != nil {
		return err
	}
	if len(found.Records) == 0 {
		return fmt.Errorf("no record of %s%s; the log holds a sample of plain successes only", q.Request, q.Target)
	}
	return nil
}

func writeRecords(w io.Writer, records []record.Record) {
	for i := range records {
		for j, sentence := range records[i].Sentences() {
			if j > 0 {
				sentence = "    " + sentence
			}
			fmt.Fprintln(w, sentence)
		}
	}
}

func writeAccount(w io.Writer, x account) {
	writeRecords(w, x.Records)
	if missing := x.missingSentences(); len(missing) > 0 {
		fmt.Fprintln(w, "\nMissing:")
		for _, sentence := range missing {
			fmt.Fprintln(w, "- "+sentence)
		}
	}
}
