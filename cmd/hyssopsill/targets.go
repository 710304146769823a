package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
)

func targetsCommand(a *app) *cli.Command {
	return &cli.Command{
		Name: "targets", Usage: "list the targets as each node sees them", Action: withTimeout(a.targets),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "only targets of this service"},
			&cli.BoolFlag{Name: "impaired", Usage: "only targets that are ejected, leaving or under suspicion"},
		},
	}
}

func (a *app) targets(ctx context.Context, c *cli.Command) error {
	nodes, err := newNodeClient(c)
	if err != nil {
		return err
	}
	if len(nodes.urls) == 0 {
		return badInputf("%s: want --node", c.FullName())
	}
	out := struct {
		Views  []targetView      `json:"views"`
		Errors map[string]string `json:"errors,omitempty"` // by URL
	}{Views: []targetView{}}
	responses, failed := fetchNamed[[]telemetry.TargetStatus](ctx, nodes, "/v1/targets")
	out.Errors = failed
	for _, response := range responses {
		view := targetView{Node: response.Node, Targets: []telemetry.TargetStatus{}}
		for _, t := range response.Value {
			impaired := t.Ejected || t.Leaving || t.Suspicion > 0 || t.PathSuspicion > 0
			if (c.String("service") == "" || t.Service == c.String("service")) && (impaired || !c.Bool("impaired")) {
				view.Targets = append(view.Targets, t)
			}
		}
		out.Views = append(out.Views, view)
	}
	if err := a.print(c, out, func(w io.Writer) { writeTargetTable(w, out.Views) }); err != nil {
		return err
	}
	return a.reportNodeErrors(out.Errors, len(out.Views))
}

// targetView lists the targets as one node sees them.
type targetView struct {
	Node    string                   `json:"node"`
	Targets []telemetry.TargetStatus `json:"targets"`
}

func writeTargetTable(w io.Writer, views []targetView) {
	var rows [][]string
	for _, v := range views {
		for _, t := range v.Targets {
			rows = append(rows, []string{v.Node, t.ID, t.Service, t.Node, t.Domain, targetState(t), fmt.Sprintf("%.2f", t.Weight),
				fmt.Sprintf("%.2f", t.Suspicion), fmt.Sprintf("%.2f", t.PathSuspicion), t.Why})
		}
	}
	writeTable(w, []string{"SEEN BY", "TARGET", "SERVICE", "NODE", "DOMAIN", "STATE", "WEIGHT", "SUSPICION", "PATH", "WHY"}, rows)
}

func targetState(t telemetry.TargetStatus) string {
	switch {
	case t.Leaving:
		return "leaving"
	case t.Ejected:
		return "ejected"
	case !t.InSubset:
		return "not used by this node"
	}
	return "in rotation"
}
