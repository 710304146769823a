package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("no space left on device") }

// Guards against a command that reports success although its output is lost.
func TestLostOutputFailsTheCommand(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var stderr bytes.Buffer
		code := run(t.Context(), []string{"hyssopsill", "--output", format, "config", "validate", sunbake}, strings.NewReader(""), fullDisk{}, &stderr)
		if code != exitFailed || !strings.Contains(stderr.String(), "no space left on device") {
			t.Errorf("%s: exit code %d, %q", format, code, stderr.String())
		}
	}
}
