package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var updatePages = flag.Bool("update", false, "write the commands' output to the pages under docs/operations")

// Guards against documentation pages with outdated command output. It runs each
// line that starts with "$ " in a console block, in the order of the page, against
// the stand-in fleet.
func TestPages(t *testing.T) {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"configuration.md", "questionnaire.md", "explain.md"} {
		t.Run(name, func(t *testing.T) {
			page := filepath.Join(root, "docs", "operations", name)
			want, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			enterWorkspace(t, root)
			got := runConsoleBlocks(t, newFleet(t), string(want))
			if *updatePages {
				if err := os.WriteFile(page, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if !bytes.Equal([]byte(got), want) {
				t.Errorf("outdated; run go test ./cmd/hyssopsill -run TestPages -update and review the difference")
			}
		})
	}
}

// enterWorkspace changes to a new directory with the files that the pages use: the
// examples, a changed configuration and files with errors.
func enterWorkspace(t *testing.T, root string) {
	t.Helper()
	t.Chdir(t.TempDir())
	links := map[string]string{
		"examples":    filepath.Join(root, "examples"),
		"faulty.toml": filepath.Join(root, "cmd", "hyssopsill", "testdata", "faulty.toml"),
		"shop.toml":   filepath.Join(root, "cmd", "hyssopsill", "testdata", "shop.toml"),
	}
	for name, target := range links {
		if err := os.Symlink(target, name); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(filepath.Join("examples", "sunbake", "config.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile("changed.toml", bytes.Replace(text, []byte("floor = 0.75"), []byte("floor = 0.5"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
}

// runConsoleBlocks returns the page with the current output in its console blocks. A
// line "# exit code N" follows a command that does not exit with 0.
func runConsoleBlocks(t *testing.T, f *fleet, page string) string {
	var out strings.Builder
	inBlock := false
	for line := range strings.Lines(page) {
		switch {
		case strings.HasPrefix(line, "```"):
			inBlock = !inBlock && strings.TrimSpace(line) == "```console"
			out.WriteString(line)
		case !inBlock:
			out.WriteString(line)
		case strings.HasPrefix(line, "$ export "):
			for _, pair := range strings.Fields(line)[2:] {
				name, value, _ := strings.Cut(pair, "=")
				t.Setenv(name, f.replacer().Replace(value))
			}
			out.WriteString(line)
		case strings.HasPrefix(line, "$ "):
			code, stdout, stderr := f.run(t, strings.TrimSpace(line[2:]))
			out.WriteString(line + stdout + stderr)
			if code != exitOK {
				out.WriteString("# exit code " + string(rune('0'+code)) + "\n")
			}
		}
	}
	return out.String()
}
