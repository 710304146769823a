package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// published is the JSON result of publish and rollback.
type published struct {
	ChangeID    string              `json:"change_id"`
	Version     int64               `json:"version,omitempty"`
	Accepted    bool                `json:"accepted"`
	Error       string              `json:"error,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"` // when the change lost
	// Others won in the meantime with other objects. The version in force
	// holds both, which neither author has seen.
	Others []config.HistoryEntry `json:"others,omitempty"`
}

func (a *app) send(ctx context.Context, c *cli.Command, n *nodes, log eventlog.Log, fold *config.State,
	change config.Change) error {
	id, before := change.ChangeID, fold.Version()
	p := config.Publisher{Log: log, Versions: n.versions}
	accepted, err := p.Publish(ctx, fold, change)
	out := published{ChangeID: id, Version: accepted.Result.Offset, Accepted: err == nil}
	var lost *config.RejectedError
	if errors.As(err, &lost) {
		out.Differences = lost.Differences
	}
	if err != nil {
		out.Error = err.Error()
	}
	for _, e := range fold.History() {
		if e.Offset > before && e.ChangeID != id {
			out.Others = append(out.Others, e)
		}
	}
	printErr := a.print(c, out, func(w io.Writer) {
		switch {
		case err == nil:
			fmt.Fprintf(w, "version %d is accepted (change %s)\n", out.Version, id)
			for _, e := range out.Others {
				fmt.Fprintf(w, "version %d by %s came into force in the meantime (%s); look at the result\n", e.Offset, e.Author, objectNames(e))
			}
		case lost != nil:
			writeDifferences(w, lost.Differences)
		default:
			fmt.Fprintf(w, "to find out later what became of it, repeat the command with --change-id %s\n", id)
		}
	})
	return errors.Join(err, printErr)
}

// nodeStatus is one row of config status.
type nodeStatus struct {
	URL    string            `json:"url"`
	Status *telemetry.Status `json:"status,omitempty"`
	Error  string            `json:"error,omitempty"`
}

func (a *app) configStatus(ctx context.Context, c *cli.Command) error {
	n, err := nodesOf(c)
	if err != nil {
		return err
	}
	if len(n.urls) == 0 && c.String("log") == "" {
		return badInputf("%s: want --node or --log", c.FullName())
	}
	out := struct {
		LogVersion *int64       `json:"log_version,omitempty"`
		LogError   string       `json:"log_error,omitempty"`
		Nodes      []nodeStatus `json:"nodes"`
	}{Nodes: []nodeStatus{}}
	if c.String("log") != "" {
		log, err := openLog(c)
		if err != nil {
			return err
		}
		if fold, err := config.Load(ctx, log); err != nil {
			out.LogError = err.Error()
		} else {
			version := fold.Version()
			out.LogVersion = &version
		}
	}
	for _, s := range ask[telemetry.Status](ctx, n, "/v1/status") {
		row := nodeStatus{URL: s.URL}
		if s.Err != nil {
			row.Error = s.Err.Error()
		} else {
			row.Status = &s.Value
		}
		out.Nodes = append(out.Nodes, row)
	}
	return a.print(c, out, func(w io.Writer) {
		if out.LogVersion != nil {
			fmt.Fprintf(w, "version in the log: %d\n", *out.LogVersion)
		}
		if out.LogError != "" {
			fmt.Fprintf(w, "log: %s\n", out.LogError)
		}
		writeNodes(w, out.Nodes)
	})
}

func writeNodes(w io.Writer, list []nodeStatus) {
	if len(list) == 0 {
		return
	}
	var rows [][]string
	for _, n := range list {
		if n.Status == nil {
			rows = append(rows, []string{n.URL, "", "", "", "", n.Error})
			continue
		}
		s := n.Status
		rows = append(rows, []string{s.Node, s.Domain, strconv.FormatBool(s.Ready), strconv.FormatBool(s.Draining),
			strconv.FormatInt(s.ConfigVersion, 10), s.Why})
	}
	table(w, []string{"NODE", "DOMAIN", "READY", "DRAINING", "VERSION", "WHY"}, rows)
}

func (a *app) configHistory(ctx context.Context, c *cli.Command) error {
	_, fold, err := loadFold(ctx, c)
	if err != nil {
		return err
	}
	history := fold.History()
	if history == nil {
		history = []config.HistoryEntry{}
	}
	return a.print(c, history, func(w io.Writer) {
		var rows [][]string
		for _, e := range history {
			rows = append(rows, []string{strconv.FormatInt(e.Offset, 10), e.Author, e.ChangeID, objectNames(e)})
		}
		table(w, []string{"VERSION", "AUTHOR", "CHANGE", "OBJECTS"}, rows)
	})
}

func objectNames(e config.HistoryEntry) string {
	names := make([]string, len(e.Objects))
	for i, o := range e.Objects {
		names[i] = o.Object
	}
	return strings.Join(names, " ")
}
