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
	query := telemetry.ExplainQuery{Target: c.String("target")}
	if query.Target == "" {
		id, err := singleArgument(c, "REQUEST-ID (or --target TARGET)")
		if err != nil {
			return err
		}
		query.Request = attempt.RequestID(id)
	} else if c.Args().Present() {
		return badInputf("%s: want either REQUEST-ID or --target", c.FullName())
	}
	var err error
	if c.IsSet("logs") {
		if query.From, query.To, err = a.logRange(c); err != nil {
			return err
		}
		return a.explainLogs(c, query)
	}
	if query.From, query.To, err = a.timeRange(c); err != nil {
		return err
	}
	result, err := a.gather(ctx, c, query)
	if err != nil {
		return err
	}
	if err := a.print(c, result, func(w io.Writer) { writeQueryResult(w, result) }); err != nil {
		return err
	}
	if len(result.Records) == 0 {
		return fmt.Errorf("no record of %s%s; the log holds a sample of plain successes only", query.Request, query.Target)
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

func writeQueryResult(w io.Writer, result queryResult) {
	writeRecords(w, result.Records)
	if missing := result.missingSentences(); len(missing) > 0 {
		fmt.Fprintln(w, "\nMissing:")
		for _, sentence := range missing {
			fmt.Fprintln(w, "- "+sentence)
		}
	}
}
