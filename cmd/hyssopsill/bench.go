package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/bench"
)

func benchCommand(a *app) *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "run an experiment against a plain baseline and check its bounds", Action: a.bench,
		Description: "The cases detection, crest and blocking run the decision code in virtual time;\n" +
			"the same seed gives the same figures. The case overhead starts whole processes on\n" +
			"loopback. The exit code is 1 when a figure is outside its bound.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "sunbake or anfb", Value: "sunbake"},
			&cli.StringFlag{Name: "case", Usage: "detection, crest, blocking or overhead", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 10},
			&cli.StringFlag{Name: "plot", Usage: "write the time series of the case crest as SVG to `FILE`"},
			&cli.StringFlag{Name: "binaries", Usage: "`DIR` of hyssopsilld and hyssopsill-standin for the case overhead (default: build them)"},
		},
	}
}

func (a *app) bench(ctx context.Context, c *cli.Command) error {
	if c.Int("seeds") < 1 {
		return badInputf("--seeds: want at least 1, got %d", c.Int("seeds"))
	}
	res, err := runBench(ctx, c)
	if err != nil {
		return err
	}
	if file := c.String("plot"); file != "" {
		if err := writePlot(file, res); err != nil {
			return err
		}
	}
	err = a.print(c, res, func(w io.Writer) { _ = res.WriteTable(w) }) // text output ignores failed writes
	if err != nil {
		return err
	}
	if outOfBounds := res.OutOfBounds(); len(outOfBounds) > 0 {
		return fmt.Errorf("%d of %d figures are outside their bounds", len(outOfBounds), len(res.Figures))
	}
	return nil
}

func runBench(ctx context.Context, c *cli.Command) (bench.Result, error) {
	name := bench.Case(c.String("case"))
	if name == bench.CaseOverhead {
		return bench.RunOverhead(ctx, bench.OverheadOptions{Binaries: c.String("binaries"), OpenLog: newLogClient})
	}
	deployment, err := bench.DeploymentByName(c.String("deployment"))
	if err != nil {
		return bench.Result{}, badInput{err}
	}
	res, err := bench.Run(deployment, name, c.Uint64("seed"), c.Int("seeds"))
	if err != nil {
		return res, badInput{err}
	}
	return res, nil
}

func writePlot(file string, res bench.Result) error {
	if len(res.Series) == 0 {
		return badInputf("--plot: case %s has no time series", res.Case)
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := res.WritePlot(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
