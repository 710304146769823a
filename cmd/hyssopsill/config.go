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

// errBaseOutdated reports that the version named by --base is no longer in force.
var errBaseOutdated = errors.New("configuration has changed")

func configCommand(a *app) *cli.Command {
	publishFlags := func() []cli.Flag {
		return []cli.Flag{
			&cli.StringFlag{Name: "author", Usage: "`NAME` in the history", Value: os.Getenv("USER")},
			&cli.StringFlag{Name: "change-id", Usage: "`ID` of an earlier publication whose outcome is unknown (default: a new one)"},
			&cli.Int64Flag{Name: "base", Usage: "refuse to publish unless `VERSION` is in force at the start", Value: -1},
		}
	}
	return &cli.Command{
		Name: "config", Usage: "check, publish and follow the configuration", Action: unknownCommand,
		Commands: []*cli.Command{
			{Name: "validate", Usage: "report all errors in a file", ArgsUsage: "FILE", Action: a.configValidate},
			{Name: "diff", Usage: "show what publishing a file would change", ArgsUsage: "FILE", Action: withTimeout(a.configDiff)},
			{Name: "publish", Usage: "publish a file and wait until it is accepted", ArgsUsage: "FILE",
				Flags: publishFlags(), Action: withTimeout(a.configPublish)},
			{Name: "status", Usage: "show the version in the log and at each node", Action: withTimeout(a.configStatus)},
			{Name: "history", Usage: "list the last changes", Action: withTimeout(a.configHistory)},
			{Name: "rollback", Usage: "publish a change back to a version", ArgsUsage: "VERSION",
				Flags: publishFlags(), Action: withTimeout(a.configRollback)},
		},
	}
}

// readInput reads a file, or standard input for "-".
func (a *app) readInput(name string) ([]byte, error) {
	input := a.stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, badInput{err}
		}
		defer f.Close()
		input = f
	}
	data, err := io.ReadAll(io.LimitReader(input, maxInputBytes+1))
	if err != nil {
		return nil, badInput{err}
	}
	if len(data) > maxInputBytes {
		return nil, badInputf("%s: larger than %d bytes", name, maxInputBytes)
	}
	return data, nil
}

// parseConfig parses the file that the argument names. It returns the findings as
// the error and also prints them with --output json.
func (a *app) parseConfig(c *cli.Command) (*config.Config, error) {
	file, err := singleArgument(c, "FILE")
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
		text := fmt.Sprintf("valid: %d services, %d routes", len(parsed.Services), len(parsed.Routes))
		if len(parsed.Accounts) > 0 {
			text += fmt.Sprintf(", %d accounts", len(parsed.Accounts))
		}
		fmt.Fprintln(w, text)
	})
}

func (a *app) configDiff(ctx context.Context, c *cli.Command) error {
	proposed, err := a.parseConfig(c)
	if err != nil {
		return err
	}
	_, state, err := loadState(ctx, c)
	if err != nil {
		return err
	}
	differences, err := config.Diff(state.Config(), proposed)
	if err != nil {
		return err
	}
	for i := range differences {
		differences[i] = differences[i].WithoutKeys()
	}
	out := struct {
		Version     int64               `json:"version"`
		Differences []config.Difference `json:"differences"`
	}{state.Version(), differences}
	return a.print(c, out, func(w io.Writer) {
		fmt.Fprintf(w, "version in force: %d\n", state.Version())
		writeDifferences(w, differences)
	})
}

// writeDifferences writes for each object the lines that only one side contains.
func writeDifferences(w io.Writer, differences []config.Difference) {
	if len(differences) == 0 {
		fmt.Fprintln(w, "nothing differs")
	}
	for _, d := range differences {
		fmt.Fprintln(w, d.Object)
		writeUniqueLines(w, "- ", d.From, d.To)
		writeUniqueLines(w, "+ ", d.To, d.From)
	}
}

// writeUniqueLines writes the lines of text that other lacks.
func writeUniqueLines(w io.Writer, sign, text, other string) {
	otherLines := map[string]int{}
	for line := range strings.Lines(other) {
		otherLines[strings.TrimSpace(line)]++
	}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if otherLines[line] > 0 || line == "" {
			otherLines[line]--
			continue
		}
		fmt.Fprintln(w, "  "+sign+line)
	}
}

func (a *app) configPublish(ctx context.Context, c *cli.Command) error {
	proposed, err := a.parseConfig(c)
	if err != nil {
		return err
	}
	return a.publish(ctx, c, func(state *config.State, id, author string) (config.Change, error) {
		return state.ChangeTo(proposed, id, author)
	})
}

func (a *app) configRollback(ctx context.Context, c *cli.Command) error {
	text, err := singleArgument(c, "VERSION")
	if err != nil {
		return err
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return badInputf("VERSION %q: want a number", text)
	}
	return a.publish(ctx, c, func(state *config.State, id, author string) (config.Change, error) {
		change, err := state.Rollback(version, id, author)
		if err != nil {
			return change, badInput{err}
		}
		return change, nil
	})
}

// publish appends the change that build derives from the configuration in force
// and waits until it is accepted. With the --change-id of a change that is already
// in the log it only waits for that one.
func (a *app) publish(ctx context.Context, c *cli.Command,
	build func(state *config.State, id, author string) (config.Change, error)) error {
	nodes, err := newNodeClient(c)
	if err != nil {
		return err
	}
	if len(nodes.urls) == 0 {
		return badInputf("%s: want --node, since a change is accepted when nodes of two failure domains report it", c.FullName())
	}
	log, state, err := loadState(ctx, c)
	if err != nil {
		return err
	}
	publisher := config.Publisher{Log: log, Versions: nodes.versions}
	if err := publisher.AwaitEra(ctx, state); err != nil {
		return fmt.Errorf("nothing published: %w", err)
	}
	id := c.String("change-id")
	if id == "" {
		id = uuid.NewString()
	}
	if c.String("author") == "" {
		return badInputf("%s: want --author NAME", c.FullName())
	}
	_, alreadyPublished := state.LookupChange(id)
	if base := c.Int64("base"); base >= 0 && base != state.Version() && !alreadyPublished {
		return fmt.Errorf("%w: version %d is in force, not %d", errBaseOutdated, state.Version(), base)
	}
	change, err := build(state, id, c.String("author"))
	if err != nil && !alreadyPublished {
		return err
	}
	if len(change.Edits) == 0 && !alreadyPublished {
		return a.print(c, map[string]any{"version": state.Version(), "changed": 0}, func(w io.Writer) {
			fmt.Fprintf(w, "nothing differs from version %d\n", state.Version())
		})
	}
	change.ChangeID, change.Author = id, c.String("author")
	return a.publishChange(ctx, c, publisher, state, change)
}
