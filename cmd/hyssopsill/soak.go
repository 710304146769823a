package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/soak"
)

// errGuaranteeViolated reports that a soak run violated a guarantee.
var errGuaranteeViolated = errors.New("soak: a guarantee was violated")

func soakCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the real programs on loopback, inject faults from outside and check the fleet's guarantees",
		Description: "Each seed has a directory with report.html, report.json, history.json and the logs of all processes. " +
			"It ends only processes that it started.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed (default: random)"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, with consecutive seeds"},
			&cli.DurationFlag{Name: "for", Value: soak.DefaultFaults, Usage: "time during which new faults are injected"},
			&cli.IntFlag{Name: "nodes", Value: soak.DefaultNodes},
			&cli.IntFlag{Name: "targets", Value: soak.DefaultTargets},
			&cli.StringFlag{Name: "binaries", Usage: "`DIR` of hyssopsilld and hyssopsill-standin (default: that of this program)"},
			&cli.StringFlag{Name: "dir", Usage: "`DIR` for the reports (default: a temporary one)"},
		},
		Action:   a.soak,
		Commands: []*cli.Command{soakConnectionsCommand(a)},
	}
}

func (a *app) soak(ctx context.Context, c *cli.Command) error {
	if c.Int("seeds") < 1 || c.Duration("for") <= 0 || c.Int("nodes")+c.Int("targets") > soak.MaxProcesses {
		return badInputf("soak: want --seeds of 1 or more, a positive --for, and at most %d nodes and targets together", soak.MaxProcesses)
	}
	binaries, dir, err := soakDirs(c.String("binaries"), c.String("dir"))
	if err != nil {
		return err
	}
	firstSeed := c.Uint64("seed")
	if !c.IsSet("seed") {
		firstSeed = uint64(rand.Uint32()) // 32 bits are short enough to type
	}
	failed := 0
	reports := []soak.Report{}
	for i := range uint64(c.Int("seeds")) {
		seed := firstSeed + i
		report, err := soak.Run(ctx, soak.Options{Seed: seed, Nodes: c.Int("nodes"), Targets: c.Int("targets"), Faults: c.Duration("for"),
			Binaries: binaries, Dir: filepath.Join(dir, fmt.Sprintf("seed-%d", seed))})
		if err != nil {
			return fmt.Errorf("soak: seed %d: %w", seed, err)
		}
		reports = append(reports, report)
		if !report.OK {
			failed++
		}
		if c.String("output") != "json" {
			writeSoakReport(a.stdout, report)
		}
	}
	if err := a.print(c, reports, func(w io.Writer) { fmt.Fprintf(w, "%d of %d runs violated a guarantee\n", failed, len(reports)) }); err != nil {
		return err
	}
	if failed > 0 {
		return errGuaranteeViolated
	}
	return nil
}

// soakDirs checks that the programs exist and returns the directories to use.
func soakDirs(binaries, dir string) (string, string, error) {
	if binaries == "" {
		program, err := os.Executable()
		if err != nil {
			return "", "", err
		}
		binaries = filepath.Dir(program)
	}
	for _, name := range []string{"hyssopsill", "hyssopsilld", "hyssopsill-standin"} {
		if _, err := os.Stat(filepath.Join(binaries, name)); err != nil {
			return "", "", badInputf("soak: --binaries %s: %w", binaries, err)
		}
	}
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "hyssopsill-soak"); err != nil {
			return "", "", err
		}
	}
	return binaries, dir, nil
}

func writeSoakReport(w io.Writer, report soak.Report) {
	events := 0
	for _, n := range report.Events {
		events += n
	}
	fmt.Fprintf(w, "seed %d: %d events, %d calls %v, %d violations, %d faults not injected, %.0f s, %s\n", report.Seed, events, report.Calls,
		report.Outcomes, len(report.Violations), len(report.Notes), report.Seconds, report.Dir)
	if l := report.Limits; l.LimitedRuns > 0 {
		fmt.Fprintf(w, "  limited accounts: %d requests ran, at most %d of one account in a window, %d refused with 429; %d calls refused with 401\n",
			l.LimitedRuns, l.BusiestWindow, l.Refused, l.Unauthenticated)
	}
	fmt.Fprintf(w, "  largest resident memory of a node: %d KiB\n", report.PeakKiB)
	for _, v := range report.Violations {
		fmt.Fprintf(w, "  %s: %s\n", v.Guarantee, v.Detail)
	}
}
