package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"github.com/hyssopsill/hyssopsill/demo"
)

// errInvariantBroken reports that an invariant was broken during the demo.
var errInvariantBroken = errors.New("demo: an invariant is broken")

func demoCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet with its stand-ins in this process, inject faults and check the invariants",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the demand and of the targets", Value: 1},
			&cli.DurationFlag{Name: "phase", Usage: "length of a phase of steady demand, at most 2s", Value: maxPhase, Validator: validatePhase},
			&cli.BoolFlag{Name: "double-order", Usage: "let one target run one order twice, to show that the checks detect it"},
			&cli.StringFlag{Name: "log-level", Usage: "print log lines of the nodes to stderr: debug, info, warn or error"},
		},
		Action: a.demo,
	}
}

func (a *app) demo(ctx context.Context, c *cli.Command) error {
	options := demo.Options{Seed: c.Uint64("seed"), Phase: c.Duration("phase"), DoubleOrder: c.Bool("double-order"), Log: zerolog.Nop()}
	if level := c.String("log-level"); level != "" {
		parsed, err := zerolog.ParseLevel(level)
		if err != nil {
			return badInput{err}
		}
		options.Log = zerolog.New(a.stderr).Level(parsed).With().Timestamp().Logger()
	}
	if c.String("output") != "json" {
		options.Out = a.stdout
		terminal, ok := a.stdout.(*os.File)
		options.Terminal = ok && term.IsTerminal(int(terminal.Fd()))
	}
	summary, err := a.runDemo(ctx, options)
	if err != nil {
		return err
	}
	if err := a.print(c, summary, func(w io.Writer) { _, _ = io.WriteString(w, "\n"); summary.WriteText(w) }); err != nil {
		return err
	}
	if !summary.OK {
		return errInvariantBroken
	}
	return nil
}

// maxPhase keeps a run of the demo within 30 s.
const maxPhase = 2 * time.Second

func validatePhase(d time.Duration) error {
	if d < minPhase || d > maxPhase {
		return fmt.Errorf("%s: want %s to %s", d, minPhase, maxPhase)
	}
	return nil
}

const minPhase = 200 * time.Millisecond
