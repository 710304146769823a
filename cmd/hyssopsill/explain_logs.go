package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/process/logfile"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/record"
)

func logsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "logs",
		Usage: "saved log `FILE` of a process, or of several (- for standard input); may be repeated. The nodes and the log are not queried then"}
}

// explainLogs explains a request or a target from saved log files alone.
func (a *app) explainLogs(c *cli.Command, query telemetry.ExplainQuery) error {
	var log logfile.Log
	for _, name := range c.StringSlice("logs") {
		if err := a.readLogFile(&log, name); err != nil {
			return badInput{err}
		}
	}
	var timeline logfile.Timeline
	if query.Request != "" {
		timeline = log.RequestTimeline(query.Request)
	} else {
		timeline = log.TargetTimeline(query.Target, query.From, query.To)
	}
	if err := a.print(c, timeline, func(w io.Writer) { writeLogTimeline(w, timeline) }); err != nil {
		return err
	}
	if len(timeline.Records)+len(timeline.Notes) == 0 {
		return fmt.Errorf("no line about %s%s in the %d lines of %d nodes; plain successes are logged as a sample only",
			query.Request, query.Target, len(log.Records)+len(log.Notes), len(timeline.Nodes))
	}
	return nil
}

func (a *app) readLogFile(log *logfile.Log, name string) error {
	if name == "-" {
		return log.Read("standard input", a.stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file was only read
	return log.Read(name, f)
}

// logRange returns the time range of --from and --to. The default of --from does
// not apply, as saved logs may be older.
func (a *app) logRange(c *cli.Command) (from, to time.Time, err error) {
	if !c.IsSet("from") && !c.IsSet("to") {
		return from, to, nil
	}
	from, to, err = a.timeRange(c)
	if !c.IsSet("from") {
		from = time.Time{}
	}
	return from, to, err
}

func writeLogTimeline(w io.Writer, timeline logfile.Timeline) {
	writeRecords(w, timeline.Records)
	writeHeading := func(title string, n int) {
		if n > 0 {
			fmt.Fprintln(w, "\n"+title)
		}
	}
	writeHeading("Calls that its targets made:", len(timeline.Subrequests))
	writeRecords(w, timeline.Subrequests)
	writeHeading("Nearby changes:", len(timeline.NearbyChanges))
	writeRecords(w, timeline.NearbyChanges)
	writeHeading("Other lines:", len(timeline.Notes))
	for _, n := range timeline.Notes {
		text := fmt.Sprintf("%s %s: %s", n.At.UTC().Format(record.SentenceTimeLayout), n.Node, n.Message)
		if n.Error != "" {
			text += " (" + n.Error + ")"
		}
		fmt.Fprintln(w, text)
	}
	writeHeading("Missing:", len(timeline.Missing))
	for _, sentence := range timeline.Missing {
		fmt.Fprintln(w, "- "+sentence)
	}
}
