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
		Usage: "saved log `FILE` of a process, or of several (- for standard input); may be repeated. No fleet is asked then"}
}

// explainLogs answers from saved log files alone.
func (a *app) explainLogs(c *cli.Command, q telemetry.ExplainQuery) error {
	var l logfile.Log
	for _, name := range c.StringSlice("logs") {
		if err := a.readLogFile(&l, name); err != nil {
			return badInput{err}
		}
	}
	var found logfile.Timeline
	if q.Request != "" {
		found = l.RequestTimeline(q.Request)
	} else {
		found = l.TargetTimeline(q.Target, q.From, q.To)
	}
	if err := a.print(c, found, func(w io.Writer) { writeLogAccount(w, found) }); err != nil {
		return err
	}
	if len(found.Records)+len(found.Notes) == 0 {
		return fmt.Errorf("no line about %s%s in the %d lines of %d nodes; plain successes are logged as a sample only",
			q.Request, q.Target, len(l.Records)+len(l.Notes), len(found.Nodes))
	}
	return nil
}

func (a *app) readLogFile(l *logfile.Log, name string) error {
	if name == "-" {
		return l.Read("standard input", a.stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // only read
	return l.Read(name, f)
}

// logRange is the range of --from and --to. Saved logs may be old, so that no
// start is taken where none is given.
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

func writeLogAccount(w io.Writer, x logfile.Timeline) {
	writeRecords(w, x.Records)
	section := func(title string, n int) {
		if n > 0 {
			fmt.Fprintln(w, "\n"+title)
		}
	}
	section("Calls that its targets made:", len(x.Subrequests))
	writeRecords(w, x.Subrequests)
	section("Around it:", len(x.NearbyChanges))
	writeRecords(w, x.NearbyChanges)
	section("Other lines:", len(x.Notes))
	for _, n := range x.Notes {
		text := fmt.Sprintf("%s %s: %s", n.At.UTC().Format(record.SentenceTimeLayout), n.Node, n.Message)
		if n.Error != "" {
			text += " (" + n.Error + ")"
		}
		fmt.Fprintln(w, text)
	}
	section("Missing:", len(x.Missing))
	for _, sentence := range x.Missing {
		fmt.Fprintln(w, "- "+sentence)
	}
}
