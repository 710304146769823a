package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/demo"
	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/platform"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadInput    = 2
	exitNotAccepted = 3
)

// badInput is an error in the command line or in an input file.
type badInput struct{ error }

func badInputf(format string, args ...any) error { return badInput{fmt.Errorf(format, args...)} }

// app holds the standard streams and the functions that tests replace.
type app struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	now            func() time.Time
	runDemo        func(context.Context, demo.Options) (demo.Summary, error)
}

// commands lists the constructors of the commands in the order of the help text. A
// constructor may return nil to leave its command out.
var commands = []func(*app) *cli.Command{
	configCommand, questionnaireCommand, targetsCommand, accountsCommand, whereCommand, explainCommand, reportCommand, demoCommand, benchCommand, soakCommand,
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	return (&app{stdin: stdin, stdout: stdout, stderr: stderr, now: time.Now, runDemo: demo.Run}).run(ctx, args)
}

func (a *app) run(ctx context.Context, args []string) int {
	err := a.root().Run(ctx, args)
	if err != nil {
		fmt.Fprintln(a.stderr, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var input badInput
	var findings finding.List
	var rejected *config.RejectedError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &rejected), errors.Is(err, config.ErrNotAccepted), errors.Is(err, config.ErrOutcomeUnknown),
		errors.Is(err, errBaseOutdated):
		return exitNotAccepted
	case errors.As(err, &input), errors.As(err, &findings):
		return exitBadInput
	}
	return exitFailed
}

func (a *app) root() *cli.Command {
	root := &cli.Command{
		Name:  "hyssopsill",
		Usage: "operate a fleet of hyssopsill nodes",
		Description: "Exit codes: 0 ok, 1 failed, 2 bad input, 3 change rejected or not known to be accepted.\n" +
			"Shell completion: hyssopsill completion bash|zsh|fish|pwsh prints the script to source.",
		Reader: a.stdin, Writer: a.stdout, ErrWriter: a.stderr,
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		ExitErrHandler:                  func(context.Context, *cli.Command, error) {}, // run prints the error and returns the exit code
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Usage: "admin `URL` of a node, such as http://127.0.0.1:7003; repeatable",
				Sources: cli.EnvVars("HYSSOPSILL_NODES")},
			&cli.StringFlag{Name: "log", Usage: "`URL` of the log service", Sources: cli.EnvVars("HYSSOPSILL_LOG")},
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: "text", Validator: validateOutput},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit of the whole command", Value: 30 * time.Second},
		},
		Action: unknownCommand,
	}
	for _, build := range commands {
		if c := build(a); c != nil {
			root.Commands = append(root.Commands, c)
		}
	}
	setUsageErrors(root)
	return root
}

func validateOutput(s string) error {
	if s != "text" && s != "json" {
		return fmt.Errorf("%q: want text or json", s)
	}
	return nil
}

// unknownCommand shows the help, or returns an error for an argument that is not a
// command.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return badInputf("unknown command %q; see hyssopsill help", c.Args().First())
	}
	return cli.ShowSubcommandHelp(c)
}

// setUsageErrors reports wrong flags of a command and its subcommands as bad input.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return badInput{err} }
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
}

// withTimeout limits the duration of a command by the flag --timeout.
func withTimeout(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		return action(ctx, c)
	}
}

// singleArgument returns the only argument of a command; name is for the error.
func singleArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", badInputf("%s: want one argument %s, got %d", c.FullName(), name, c.Args().Len())
	}
	return c.Args().First(), nil
}

func openLog(c *cli.Command) (eventlog.Log, error) {
	if c.String("log") == "" {
		return nil, badInputf("%s: want --log URL", c.FullName())
	}
	log, err := newLogClient(c.String("log"))
	if err != nil {
		return nil, badInput{err}
	}
	return log, nil
}

func newLogClient(url string) (eventlog.Log, error) {
	return platform.NewStore(platform.StoreOptions{BaseURL: url})
}

// print writes v as JSON with --output json and calls text otherwise.
func (a *app) print(c *cli.Command, v any, text func(w io.Writer)) error {
	if c.String("output") == "json" {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := &checkedWriter{Writer: a.stdout}
	text(w)
	return w.err
}

// checkedWriter remembers the first error of its writer, after which it writes nothing.
type checkedWriter struct {
	io.Writer
	err error
}

func (w *checkedWriter) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.Writer.Write(p)
	if err != nil {
		w.err = fmt.Errorf("output: %w", err)
	}
	return n, err
}

// writeTable writes rows under a heading, in aligned columns.
func writeTable(w io.Writer, heading []string, rows [][]string) {
	writer := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, row := range append([][]string{heading}, rows...) {
		fmt.Fprintln(writer, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	_ = writer.Flush() // an error here means that the output is closed
}

// parseTime parses the value of a flag: RFC 3339, a date with or without a time
// (UTC), or a duration before now such as 15m.
func parseTime(now time.Time, flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(strings.TrimPrefix(text, "-")); err == nil {
		return now.Add(-d), nil
	}
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02 15:04:05", "2006-01-02 15:04", "2006-01-02"} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, badInputf("--%s %q: want a time such as 2026-01-31T12:00:00Z or a time ago such as 15m", flag, text)
}

// loadState opens the log that the command names and loads its configuration.
func loadState(ctx context.Context, c *cli.Command) (eventlog.Log, *config.State, error) {
	log, err := openLog(c)
	if err != nil {
		return nil, nil, err
	}
	state, err := config.Load(ctx, log)
	return log, state, err
}
