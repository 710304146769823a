package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"github.com/hyssopsill/hyssopsill/questionnaire"
)

func questionnaireCommand(a *app) *cli.Command {
	return &cli.Command{
		Name: "questionnaire", Usage: "describe services and derive their configuration", Action: unknownCommand,
		Commands: []*cli.Command{
			{Name: "new", Usage: "write an empty questionnaire, or ask the questions", ArgsUsage: "[FILE]", Action: a.questionnaireNew,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "interactive", Aliases: []string{"i"}, Usage: "ask on the terminal"}}},
			{Name: "check", Usage: "report all errors in a questionnaire", ArgsUsage: "FILE", Action: a.questionnaireCheck},
			{Name: "generate", Usage: "derive the configuration", ArgsUsage: "FILE", Action: a.questionnaireGenerate,
				Flags: []cli.Flag{&cli.StringFlag{Name: "to", Usage: "write to `FILE` (default: standard output)"}}},
		},
	}
}

func (a *app) questionnaireNew(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return badInputf("%s: want at most one argument FILE", c.FullName())
	}
	data := questionnaire.New()
	if c.Bool("interactive") {
		answers, err := a.askOnTerminal()
		if err != nil {
			return err
		}
		data = answers.Encode()
		if err := a.writeNewFile(c.Args().First(), data); err != nil {
			return err
		}
		return questionnaire.Check(c.Args().First(), data).Err()
	}
	return a.writeNewFile(c.Args().First(), data)
}

// writeNewFile writes to a file that must not exist yet, or to standard output
// when file is empty.
func (a *app) writeNewFile(file string, data []byte) error {
	if file == "" {
		_, err := a.stdout.Write(data)
		return err
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return badInput{err}
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close() // the write error is reported
		return err
	}
	return f.Close()
}

// askOnTerminal asks the questions on the terminal, which is in raw mode meanwhile.
func (a *app) askOnTerminal() (questionnaire.Answers, error) {
	in, ok := a.stdin.(*os.File)
	if !ok || !term.IsTerminal(int(in.Fd())) {
		return questionnaire.Answers{}, badInputf("--interactive: standard input is not a terminal; fill in a file instead")
	}
	terminalState, err := term.MakeRaw(int(in.Fd()))
	if err != nil {
		return questionnaire.Answers{}, fmt.Errorf("terminal: %w", err)
	}
	defer func() { _ = term.Restore(int(in.Fd()), terminalState) }()
	t := term.NewTerminal(struct {
		io.Reader
		io.Writer
	}{in, a.stderr}, "> ")
	return questionnaire.Ask(t)
}

func (a *app) questionnaireCheck(_ context.Context, c *cli.Command) error {
	file, err := singleArgument(c, "FILE")
	if err != nil {
		return err
	}
	data, err := a.readInput(file)
	if err != nil {
		return err
	}
	findings := questionnaire.Check(file, data)
	if len(findings) > 0 {
		if c.String("output") == "json" {
			_ = a.print(c, map[string]any{"findings": findings}, nil)
		}
		return findings
	}
	return a.print(c, map[string]any{"findings": []string{}}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: all questions are answered\n", file)
	})
}

func (a *app) questionnaireGenerate(_ context.Context, c *cli.Command) error {
	file, err := singleArgument(c, "FILE")
	if err != nil {
		return err
	}
	data, err := a.readInput(file)
	if err != nil {
		return err
	}
	out, findings := questionnaire.Generate(file, data)
	if len(findings) > 0 {
		return findings
	}
	if to := c.String("to"); to != "" {
		return os.WriteFile(to, out, 0o644)
	}
	_, err = a.stdout.Write(out)
	return err
}
