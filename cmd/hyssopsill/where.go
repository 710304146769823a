package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/process/entry"
)

func whereCommand(a *app) *cli.Command {
	return &cli.Command{
		Name: "where", Usage: "explain where each node would send a request now, without sending it", ArgsUsage: "METHOD PATH", Action: withTimeout(a.where),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "host of the request"},
			&cli.StringFlag{Name: "account", Usage: "name of the account that sends it"},
		},
	}
}

func (a *app) where(ctx context.Context, c *cli.Command) error {
	nodes, err := newNodeClient(c)
	if err != nil {
		return err
	}
	if len(nodes.urls) == 0 || c.Args().Len() != 2 {
		return badInputf("%s: want --node, a method and a path", c.FullName())
	}
	query := url.Values{"method": {c.Args().Get(0)}, "path": {c.Args().Get(1)}, "host": {c.String("host")}, "account": {c.String("account")}}
	out := struct {
		Destinations []entry.Destination `json:"destinations"`
		Errors       map[string]string   `json:"errors,omitempty"` // by URL
	}{Destinations: []entry.Destination{}, Errors: map[string]string{}}
	for _, response := range fetchAll[entry.Destination](ctx, nodes, "/v1/where?"+query.Encode()) {
		if response.Err != nil {
			out.Errors[response.URL] = response.Err.Error()
			continue
		}
		out.Destinations = append(out.Destinations, response.Value)
	}
	if err := a.print(c, out, func(w io.Writer) { writeDestinations(w, out.Destinations) }); err != nil {
		return err
	}
	return a.reportNodeErrors(out.Errors, len(out.Destinations))
}

func writeDestinations(w io.Writer, destinations []entry.Destination) {
	for _, d := range destinations {
		fmt.Fprintf(w, "%s, version %d", d.Node, d.ConfigVersion)
		if d.Route != "" {
			fmt.Fprintf(w, ": route %s, service %s, class %s", d.Route, d.Service, d.Class)
		}
		if d.Split {
			fmt.Fprint(w, " (the route picks the service at random)")
		}
		if d.Account != "" && !d.AccountKnown {
			fmt.Fprintf(w, "; account %s is not in the configuration", d.Account)
		} else if d.AccountRank != nil {
			fmt.Fprintf(w, "; rank %d of account %s", *d.AccountRank, d.Account)
		}
		if d.Choice != "" {
			fmt.Fprintf(w, "\nchosen: %s at %s, %s\n", d.Choice, d.ChoiceNode, d.Why)
		} else {
			fmt.Fprintf(w, "\nno target: %s\n", d.Why)
		}
		var rows [][]string
		for _, t := range d.Candidates {
			load, age := fmt.Sprintf("%.2f", t.Load), "-"
			if t.Deviation > 0 {
				load += fmt.Sprintf(" ±%.2f", t.Deviation)
			}
			if t.AgeMS >= 0 {
				age = strconv.FormatInt(t.AgeMS, 10) + " ms"
			}
			rows = append(rows, []string{t.Target, t.Node, t.Domain, strconv.Itoa(t.Own), load, age, fmt.Sprintf("%.2f", t.Weight),
				fmt.Sprintf("%.2f", t.Suspicion), t.Why})
		}
		if len(rows) > 0 {
			writeTable(w, []string{"TARGET", "NODE", "DOMAIN", "OWN", "LOAD", "AGE", "WEIGHT", "SUSPICION", "WHY"}, rows)
		}
	}
}
