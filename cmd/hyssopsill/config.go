package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/version/config"
)

const maxInputBytes = 4 << 20

// errBaseMoved: the configuration changed since the version named by --base.
var errBaseMoved = errors.New("configuration has changed")

func configCommand(a *app) *cli.Command {
	publishing := func() []cli.Flag {
		return []cli.Flag{
			&cli.StringFlag{Name: "author", Usage: "`NAME` in the history", Value: os.Getenv("USER")},
			&cli.StringFlag{Name: "change-id", Usage: "`ID` of an earlier try whose result is unknown (default: a new one)"},
			&cli.Int64Flag{Name: "base", Usage: "refuse to publish when `VERSION` is no longer in force at the start", Value: -1},
		}
	}
	return &cli.Command{
		Name: "config", Usage: "check, publish and follow the configuration", Action: unknownCommand,
		Commands: []*cli.Command{
			{Name: "validate", Usage: "report all faults of a file", ArgsUsage: "FILE", Action: a.configValidate},
			{Name: "diff", Usage: "show what publishing a file would change", ArgsUsage: "FILE", Action: withTimeout(a.configDiff)},
			{Name: "publish", Usage: "publish a file and wait until it is accepted", ArgsUsage: "FILE",
				Flags: publishing(), Action: withTimeout(a.configPublish)},
			{Name: "status", Usage: "show the version in the log and at each node", Action: withTimeout(a.configStatus)},
			{Name: "history", Usage: "list the last changes", Action: withTimeout(a.configHistory)},
			{Name: "rollback", Usage: "publish a change back to a version", ArgsUsage: "VERSION",
				Flags: publishing(), Action: withTimeout(a.configRollback)},
		},
	}
}

// readInput reads a file, or standard input for "-".
func (a *app) readInput(name string) ([]byte, error) {
	in := a.stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, badInput{err}
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, badInput{err}
	}
	if len(data) > maxInputBytes {
		return nil, badInputf("%s: larger than %d bytes", name, maxInputBytes)
	}
	return data, nil
}

func (a *app) parseConfig(c *cli.Command) (*config.Config, error) {
	file, err := argument(c, "FILE")
	if err != nil {
		return nil, err
	}
	data, err := a.readInput(file)
	if err != nil {
		return nil, err
	}
	parsed, findings := config.Parse(file, data)
	if err := findings.Err(); err != nil {
		if c.String("output") == "json" {
			_ = a.print(c, map[string]any{"findings": findings.Sorted()}, nil)
		}
		return nil, err
	}
	return parsed, nil
}

func (a *app) configValidate(_ context.Context, c *cli.Command) error {
	parsed, err := a.parseConfig(c)
	if err != nil {
		return err
	}
	return a.print(c, map[string]any{"findings": []string{}}, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %d services, %d routes\n", len(parsed.Services), len(parsed.Routes))
	})
}

func (a *app) configDiff(ctx context.Context, c *cli.Command) error {
	want, err := a.parseConfig(c)
	if err != nil {
		return err
	}
	_, fold, err := loadFold(ctx, c)
	if err != nil {
		return err
	}
	differences, err := config.Diff(fold.Config(), want)
	if err != nil {
		return err
	}
	v := struct {
		Version     int64               `json:"version"`
		Differences []config.Difference `json:"differences"`
	}{fold.Version(), differences}
	return a.print(c, v, func(w io.Writer) {
		fmt.Fprintf(w, "version in force: %d\n", fold.Version())
		writeDifferences(w, differences)
	})
}

// writeDifferences shows for each object the lines that one side alone has.
func writeDifferences(w io.Writer, differences []config.Difference) {
	if len(differences) == 0 {
		fmt.Fprintln(w, "nothing differs")
	}
	for _, d := range differences {
		fmt.Fprintln(w, d.Object)
		writeMissing(w, "- ", d.From, d.To)
		writeMissing(w, "+ ", d.To, d.From)
	}
}

func writeMissing(w io.Writer, sign, text, other string) {
	has := map[string]int{}
	for line := range strings.Lines(other) {
		has[strings.TrimSpace(line)]++
	}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if has[line] > 0 || line == "" {
			has[line]--
			continue
		}
		fmt.Fprintln(w, "  "+sign+line)
	}
}

func (a *app) configPublish(ctx context.Context, c *cli.Command) error {
	want, err := a.parseConfig(c)
	if err != nil {
		return err
	}
	return a.publish(ctx, c, func(f *config.State, id, author string) (config.Change, error) {
		return f.ChangeTo(want, id, author)
	})
}

func (a *app) configRollback(ctx context.Context, c *cli.Command) error {
	text, err := argument(c, "VERSION")
	if err != nil {
		return err
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return badInputf("VERSION %q: want a number", text)
	}
	return a.publish(ctx, c, func(f *config.State, id, author string) (config.Change, error) {
		change, err := f.Rollback(version, id, author)
		if err != nil {
			return change, badInput{err}
		}
		return change, nil
	})
}

// publish appends the change that build makes from the configuration in force,
// and waits until it is accepted.
func (a *app) publish(ctx context.Context, c *cli.Command,
	build func(f *config.State, id, author string) (config.Change, error)) error {
	n, err := nodesOf(c)
	if err != nil {
		return err
	}
	if len(n.urls) == 0 {
		return badInputf("%s: want --node, since a change is accepted when nodes of two failure domains report it", c.FullName())
	}
	log, fold, err := loadFold(ctx, c)
	if err != nil {
		return err
	}
	id := c.String("change-id")
	if id == "" {
		id = uuid.NewString()
	}
	if c.String("author") == "" {
		return badInputf("%s: want --author NAME", c.FullName())
	}
	_, repeated := fold.LookupChange(id)
	if base := c.Int64("base"); base >= 0 && base != fold.Version() && !repeated {
		return fmt.Errorf("%w: version %d is in force, not %d", errBaseMoved, fold.Version(), base)
	}
	change, err := build(fold, id, c.String("author"))
	if err != nil && !repeated {
		return err
	}
	if len(change.Edits) == 0 && !repeated {
		return a.print(c, map[string]any{"version": fold.Version(), "changed": 0}, func(w io.Writer) {
			fmt.Fprintf(w, "nothing differs from version %d\n", fold.Version())
		})
	}
	change.ChangeID, change.Author = id, c.String("author")
	return a.send(ctx, c, n, log, fold, change)
}
