package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/conntest"
)

func soakConnectionsCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "connections",
		Usage: "play generated callers, targets and disruptions on connections of real nodes, and check what both ends observe",
		Description: "Each case has nodes of its own in this process. The directory gets report.json, pairs.svg (how often each pair of values " +
			"was played) and, for each finding, the smallest case that shows it, which --play plays again.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first case (default: random)"},
			&cli.IntFlag{Name: "cases", Value: conntest.DefaultCases, Usage: "number of cases, with consecutive seeds"},
			&cli.IntFlag{Name: "parallel", Value: conntest.DefaultParallel, Usage: "cases that are played at a time"},
			&cli.StringFlag{Name: "dir", Usage: "`DIR` for the reports (default: a temporary one)"},
			&cli.BoolFlag{Name: "first", Usage: "end with the first finding and don't reduce it"},
			&cli.StringFlag{Name: "play", Usage: "play the case in `FILE` and print what was observed"},
			&cli.IntFlag{Name: "times", Value: 1, Usage: "with --play: how often"},
		},
		Action: a.soakConnections,
	}
}

func (a *app) soakConnections(ctx context.Context, c *cli.Command) error {
	if file := c.String("play"); file != "" {
		return a.playCase(ctx, c, file)
	}
	if c.Int("cases") < 1 || c.Int("parallel") < 1 {
		return badInputf("soak connections: want --cases and --parallel of 1 or more")
	}
	o := conntest.Options{Seed: c.Uint64("seed"), Cases: c.Int("cases"), Parallel: c.Int("parallel"), Dir: c.String("dir"), First: c.Bool("first")}
	if !c.IsSet("seed") {
		o.Seed = uint64(rand.Uint32()) // 32 bits are short enough to type
	}
	if o.Dir == "" {
		var err error
		if o.Dir, err = os.MkdirTemp("", "hyssopsill-connections"); err != nil {
			return err
		}
	}
	report, err := conntest.Run(ctx, o)
	if err != nil {
		return fmt.Errorf("soak connections: %w", err)
	}
	if err := a.print(c, report, func(w io.Writer) { writeConnectionReport(w, report) }); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errGuaranteeViolated
	}
	return nil
}

func writeConnectionReport(w io.Writer, r conntest.Report) {
	fmt.Fprintf(w, "seed %d: %d cases in %.0f s, %.2f s each; %d of %d pairs of values played; %d findings; %s\n",
		r.Seed, r.Cases, r.Seconds, r.CaseSeconds, r.PairsPlayed, r.Pairs, len(r.Findings), r.Dir)
	for _, f := range r.Findings {
		fmt.Fprintf(w, "  %s, %d cases: %s\n    seed %d: %s\n    reduced to: %s\n    play it again: hyssopsill soak connections --play %s\n", f.Rule, f.Cases, f.Detail, f.Seed, f.Case, f.Reduced, f.File)
	}
	for _, k := range r.Known {
		if k.Cases > 0 {
			fmt.Fprintf(w, "  known, issue %d: %s, %d cases: %s\n", k.Issue, k.Rule, k.Cases, k.Case)
		}
	}
	for _, n := range r.NotPlayed {
		fmt.Fprintf(w, "  not played: %s\n", n)
	}
}

func (a *app) playCase(ctx context.Context, c *cli.Command, file string) error {
	if c.Int("times") < 1 {
		return badInputf("soak connections: want --times of 1 or more")
	}
	generated, err := conntest.Load(file)
	if err != nil {
		return badInputf("soak connections: %w", err)
	}
	results, broken := []conntest.Result{}, 0
	for range c.Int("times") {
		result, err := conntest.Play(ctx, generated)
		if err != nil {
			return err
		}
		if len(result.Violations) > 0 {
			broken++
		}
		results = append(results, result)
	}
	if err := a.print(c, results, func(w io.Writer) {
		fmt.Fprintf(w, "%s\n%d of %d plays violated a rule\n", generated, broken, len(results))
		for i, result := range results {
			for _, v := range result.Violations {
				fmt.Fprintf(w, "  play %d: %s: %s\n", i+1, v.Rule, v.Detail)
			}
		}
	}); err != nil {
		return err
	}
	if broken > 0 {
		return errGuaranteeViolated
	}
	return nil
}
