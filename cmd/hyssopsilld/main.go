// Command hyssopsilld is one node of the fleet: entry for callers and gate for
// the targets on its host.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/platform"
	"github.com/hyssopsill/hyssopsill/process/node"
	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
)

const (
	exitFindings = 2 // the settings have faults
	exitKilled   = 3 // a second signal ended a drain
)

// gcPercent lets the heap grow to five times what is live before a collection.
// Requests leave little alive and much garbage, and each collection delays the
// requests in progress.
const gcPercent = 400

// gcPercentSmall suits the platform, where memory is priced above processor time
// and a node serves a few requests per second.
const gcPercentSmall = 50

// maxProcs bounds the processors in use. The daemon shares its host with
// targets, and more processors than its work needs cost time in waking and
// searching threads.
const maxProcs = 4

func main() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.GOMAXPROCS(0)))
	}
	if err := command(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command(out io.Writer) *cli.Command {
	file := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}
	return &cli.Command{
		Name:  "hyssopsilld",
		Usage: "node of a proxy fleet for targets with gray failures",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run the node", Flags: []cli.Flag{file}, Action: run},
			{Name: "mesh", Usage: "run the node on the users' platform", Flags: []cli.Flag{file}, Action: runMesh},
			{Name: "check", Usage: "report all faults of a settings file", Flags: []cli.Flag{file},
				Action: func(_ context.Context, c *cli.Command) error {
					if _, err := load(c.String("settings")); err != nil {
						return err
					}
					_, err := fmt.Fprintln(out, "settings are valid")
					return err
				}},
			{Name: "settings", Usage: "print a commented settings file",
				Action: func(context.Context, *cli.Command) error {
					_, err := io.WriteString(out, settings.Template)
					return err
				}},
		},
	}
}

// load reads settings; findings end the program with their own exit status.
func load(path string) (settings.Settings, error) {
	s, err := settings.Load(path)
	var findings finding.List
	if errors.As(err, &findings) {
		return s, cli.Exit(findings.Error(), exitFindings)
	}
	return s, err
}

// run serves on the project's own surface.
func run(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, environment{out: os.Stderr, options: func(s settings.Settings, log zerolog.Logger) (node.Options, error) {
		store, err := platform.NewStore(platform.StoreOptions{BaseURL: s.LogURL})
		return node.Options{Settings: s, Log: log, LogService: store}, err
	}, gcPercent: gcPercent})
}

// runMesh serves on the users' platform, where logs go to standard output.
func runMesh(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, environment{out: os.Stdout, options: platform.NodeOptions, repeatsSignals: true, gcPercent: gcPercentSmall})
}

// environment is what a node runs in.
type environment struct {
	out     io.Writer // logs
	options func(settings.Settings, zerolog.Logger) (node.Options, error)
	// repeatsSignals tells that SIGTERM may come again during a drain, with a
	// grace of its own, and that the environment kills the process when it is
	// over. Otherwise a second signal ends the process at once.
	repeatsSignals bool
	// gcPercent is the growth of the heap before a collection.
	gcPercent int
}

func serve(ctx context.Context, c *cli.Command, e environment) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(e.gcPercent)
	}
	s, err := load(c.String("settings"))
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	output := telemetry.NewLogWriter(e.out)
	defer func() { _ = output.Close() }() // never fails
	logger := output.Logger(s.Node, level)
	o, err := e.options(s, logger)
	if err != nil {
		return err
	}
	n, err := node.New(o)
	if err != nil {
		return err
	}
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		drain()
		for s := range signals {
			if !e.repeatsSignals {
				logger.Error().Msg("node: second signal, stopping at once")
				_ = output.Close() // writes the line
				os.Exit(exitKilled)
			}
			logger.Info().Str("signal", s.String()).Msg("node: repeated signal, the time limit of the drain begins again")
			n.ExtendDrain()
		}
	}()
	go watchReload(ctx, c.String("settings"), s, logger)
	return n.Serve(ctx)
}
