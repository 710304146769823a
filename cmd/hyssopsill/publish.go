package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// publishResult is the JSON output of publish and rollback.
type publishResult struct {
	ChangeID    string              `json:"change_id"`
	Version     int64               `json:"version,omitempty"`
	Accepted    bool                `json:"accepted"`
	Error       string              `json:"error,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"` // when the change was rejected
	// Others lists changes of other objects that were applied in the meantime. The
	// version in force contains them too, a combination that no author has seen.
	Others []config.HistoryEntry `json:"others,omitempty"`
}

// publishChange appends the change, waits until it is accepted and prints the
// result.
func (a *app) publishChange(ctx context.Context, c *cli.Command, publisher config.Publisher, state *config.State,
	change config.Change) error {
	id, startVersion := change.ChangeID, state.Version()
	accepted, err := publisher.Publish(ctx, state, change)
	out := publishResult{ChangeID: id, Version: accepted.Result.Offset, Accepted: err == nil}
	var rejected *config.RejectedError
	if errors.As(err, &rejected) {
		for _, d := range rejected.Differences {
			out.Differences = append(out.Differences, d.WithoutKeys())
		}
	}
	if err != nil {
		out.Error = err.Error()
	}
	for _, e := range state.History() {
		if e.Offset > startVersion && e.ChangeID != id {
			out.Others = append(out.Others, e)
		}
	}
	printErr := a.print(c, out, func(w io.Writer) {
		switch {
		case err == nil:
			fmt.Fprintf(w, "version %d is accepted (change %s)\n", out.Version, id)
			for _, e := range out.Others {
				fmt.Fprintf(w, "version %d by %s came into force in the meantime (%s); review the combined configuration\n", e.Offset, e.Author, objectNames(e))
			}
		case rejected != nil:
			writeDifferences(w, out.Differences)
		default:
			fmt.Fprintf(w, "to check the outcome later, repeat the command with --change-id %s\n", id)
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
	nodes, err := newNodeClient(c)
	if err != nil {
		return err
	}
	if len(nodes.urls) == 0 && c.String("log") == "" {
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
		if state, err := config.Load(ctx, log); err != nil {
			out.LogError = err.Error()
		} else {
			version := state.Version()
			out.LogVersion = &version
		}
	}
	for _, response := range fetchAll[telemetry.Status](ctx, nodes, "/v1/status") {
		row := nodeStatus{URL: response.URL}
		if response.Err != nil {
			row.Error = response.Err.Error()
		} else {
			row.Status = &response.Value
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
		writeNodeTable(w, out.Nodes)
	})
}

func writeNodeTable(w io.Writer, list []nodeStatus) {
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
	writeTable(w, []string{"NODE", "DOMAIN", "READY", "DRAINING", "VERSION", "WHY"}, rows)
	writeConfigFaults(w, list)
}

// writeConfigFaults writes which documents nodes refused, and what they left out of the
// version in force. Nodes with the same line are counted.
func writeConfigFaults(w io.Writer, list []nodeStatus) {
	nodes := map[string]int{}
	for _, n := range list {
		if n.Status == nil {
			continue
		}
		if n.Status.ConfigRefused != "" {
			nodes[n.Status.ConfigRefused]++
		}
		for _, finding := range n.Status.ConfigLeftOut {
			nodes[fmt.Sprintf("version %d, left out: %s", n.Status.ConfigVersion, finding)]++
		}
	}
	for _, line := range slices.Sorted(maps.Keys(nodes)) {
		fmt.Fprintf(w, "%d nodes: %s\n", nodes[line], line)
	}
}

func (a *app) configHistory(ctx context.Context, c *cli.Command) error {
	_, state, err := loadState(ctx, c)
	if err != nil {
		return err
	}
	history := state.History()
	if history == nil {
		history = []config.HistoryEntry{}
	}
	return a.print(c, history, func(w io.Writer) {
		var rows [][]string
		for _, e := range history {
			rows = append(rows, []string{strconv.FormatInt(e.Offset, 10), e.Author, e.ChangeID, objectNames(e)})
		}
		writeTable(w, []string{"VERSION", "AUTHOR", "CHANGE", "OBJECTS"}, rows)
	})
}

func objectNames(e config.HistoryEntry) string {
	names := make([]string, len(e.Objects))
	for i, o := range e.Objects {
		names[i] = o.Object
	}
	return strings.Join(names, " ")
}
