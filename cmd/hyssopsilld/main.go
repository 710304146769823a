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
	exitFindings     = 2 // the settings are invalid
	exitDrainAborted = 3 // a second signal ended a drain
)

// gcPercent lets the heap grow to five times the live data before a collection.
// Requests leave little live data and much garbage, and each collection delays the
// requests in progress.
const gcPercent = 400

// gcPercentMesh is for the platform, where memory costs more than processor time
// and a node serves a few requests per second.
const gcPercentMesh = 50

// maxProcs limits the processors in use. The daemon shares its host with targets,
// and with more processors than its work needs, time is lost on waking threads and
// on threads that search for work.
const maxProcs = 4

func main() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.GOMAXPROCS(0)))
	}
	if err := newCommand(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand(out io.Writer) *cli.Command {
	settingsFlag := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}
	return &cli.Command{
		Name:  "hyssopsilld",
		Usage: "node of a proxy fleet for targets with gray failures",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run the node", Flags: []cli.Flag{settingsFlag}, Action: run},
			{Name: "mesh", Usage: "run the node on the users' platform", Flags: []cli.Flag{settingsFlag}, Action: runMesh},
			{Name: "check", Usage: "report all errors in a settings file", Flags: []cli.Flag{settingsFlag},
				Action: func(_ context.Context, c *cli.Command) error {
					if _, err := loadSettings(c.String("settings")); err != nil {
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

// loadSettings reads a settings file. Findings become an error with the exit status
// exitFindings.
func loadSettings(path string) (settings.Settings, error) {
	s, err := settings.Load(path)
	var findings finding.List
	if errors.As(err, &findings) {
		return s, cli.Exit(findings.Error(), exitFindings)
	}
	return s, err
}

// run serves with the default HTTP profile.
func run(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, environment{out: os.Stderr, options: func(s settings.Settings, log zerolog.Logger) (node.Options, error) {
		store, err := platform.NewStore(platform.StoreOptions{BaseURL: s.LogURL})
		return node.Options{Settings: s, Log: log, LogService: store}, err
	}, gcPercent: gcPercent})
}

// runMesh serves on the users' platform, which reads logs from standard output.
func runMesh(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, environment{out: os.Stdout, options: platform.NodeOptions, signalsExtendDrain: true, gcPercent: gcPercentMesh})
}

// environment holds what differs between the commands run and mesh.
type environment struct {
	out     io.Writer // logs
	options func(settings.Settings, zerolog.Logger) (node.Options, error)
	// signalsExtendDrain is set where SIGTERM may be sent again during a drain. Each
	// signal starts a new grace period, after which the environment kills the
	// process. Without it, a second signal ends the process at once.
	signalsExtendDrain bool
	gcPercent          int // as for debug.SetGCPercent
}

// serve runs a node until a signal starts its drain and the drain ends.
func serve(ctx context.Context, c *cli.Command, env environment) error {
	// Signals come first: until a signal has a handler, its default action ends the
	// process, with the connections that the listeners have accepted by then.
	signals, reloads := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // else a write to standard output or error without a reader ends the process
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(env.gcPercent)
	}
	s, err := loadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	if limit := s.Limits.RuntimeMemory(); limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	logWriter := telemetry.NewLogWriter(env.out)
	defer func() { _ = logWriter.Close() }() // fails only if the output is stalled
	logger := logWriter.Logger(s.Node, level)
	nodeOptions, err := env.options(s, logger)
	if err != nil {
		return err
	}
	n, err := node.New(nodeOptions)
	if err != nil {
		logger.Error().Err(err).Msg("node: cannot start")
		return err
	}
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	go func() {
		first := <-signals
		logger.Info().Str("signal", first.String()).Msg("node: signal received, draining")
		drain()
		for sig := range signals {
			if !env.signalsExtendDrain {
				logger.Error().Msg("node: second signal, stopping at once")
				_ = logWriter.Close() // writes the line
				os.Exit(exitDrainAborted)
			}
			logger.Info().Str("signal", sig.String()).Msg("node: repeated signal, the time limit of the drain begins again")
			n.ExtendDrain()
		}
	}()
	go watchReload(reloads, c.String("settings"), s, logger)
	err = n.Serve(ctx)
	logger.Info().AnErr("cause", err).Msg("node: stopped")
	return err
}
