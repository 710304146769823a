package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/connection/quota"
	"github.com/hyssopsill/hyssopsill/process/entry"
)

func accountsCommand(a *app) *cli.Command {
	return &cli.Command{
		Name: "accounts", Usage: "list usage, limits and refused requests of accounts at each node", Action: withTimeout(a.accounts),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "account", Usage: "only this account"},
			&cli.BoolFlag{Name: "limited", Usage: "only accounts of which requests are refused now"},
		},
	}
}

// accountsView holds the accounts at one node.
type accountsView struct {
	Node string `json:"node"`
	entry.AccountsStatus
}

func (a *app) accounts(ctx context.Context, c *cli.Command) error {
	nodes, err := newNodeClient(c)
	if err != nil {
		return err
	}
	if len(nodes.urls) == 0 {
		return badInputf("%s: want --node", c.FullName())
	}
	out := struct {
		Views  []accountsView    `json:"views"`
		Errors map[string]string `json:"errors,omitempty"` // by URL
	}{Views: []accountsView{}}
	wanted := func(account string, share float64) bool {
		return (c.String("account") == "" || account == c.String("account")) && (share < 1 || !c.Bool("limited"))
	}
	responses, failed := fetchNamed[entry.AccountsStatus](ctx, nodes, "/v1/accounts")
	out.Errors = failed
	for _, response := range responses {
		view := accountsView{response.Node, response.Value}
		view.Entry = slices.DeleteFunc(view.Entry, func(s quota.AccountStatus) bool { return !wanted(s.Account, s.Share) })
		view.Owner = slices.DeleteFunc(view.Owner, func(s quota.OwnedStatus) bool { return !wanted(s.Account, s.Share) })
		out.Views = append(out.Views, view)
	}
	if err := a.print(c, out, func(w io.Writer) { writeAccountTables(w, out.Views) }); err != nil {
		return err
	}
	return a.reportNodeErrors(out.Errors, len(out.Views))
}

func writeAccountTables(w io.Writer, views []accountsView) {
	var entries, owners [][]string
	for _, v := range views {
		for _, s := range v.Entry {
			entries = append(entries, []string{v.Node, s.Account, fmt.Sprintf("%g", s.Rate), fmt.Sprintf("%g", s.Burst), fmt.Sprintf("%.2f", s.Share),
				fmt.Sprint(s.Admitted), fmt.Sprint(s.Refused), fmt.Sprint(s.Returned), s.Owner})
		}
		for _, s := range v.Owner {
			owners = append(owners, []string{v.Node, s.Account, fmt.Sprintf("%g", s.Rate), fmt.Sprintf("%.1f", s.Demand), fmt.Sprintf("%.2f", s.Share),
				fmt.Sprintf("%.0f", s.Level), fmt.Sprint(s.Entries)})
		}
	}
	writeTable(w, []string{"NODE", "ACCOUNT", "RATE", "BURST", "SHARE", "ADMITTED", "REFUSED", "RETURNED", "OWNER"}, entries)
	if len(owners) > 0 {
		fmt.Fprintln(w)
		writeTable(w, []string{"OWNER", "ACCOUNT", "RATE", "DEMAND", "SHARE", "LEVEL", "ENTRIES"}, owners)
	}
}
