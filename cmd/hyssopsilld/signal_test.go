package main_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// singleNodeSettings returns the settings of a node on free ports whose log service
// does not exist.
func singleNodeSettings() string {
	return fmt.Sprintf(`node = "n1"
domain = "d1"
fleet_token = %q
log_url = "http://127.0.0.1:1"
drain_notice = "100ms"
[listen]
caller = "127.0.0.1:0"
peer_data = "127.0.0.1:0"
peer_control = "127.0.0.1:0"
announce = "127.0.0.1:0"
admin = "127.0.0.1:0"
`, fleetToken)
}

// Guards against a signal that ends the process while it starts, and against one that
// is lost then.
func TestSignalsDuringStart(t *testing.T) {
	t.Parallel()
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			file, regular := filepath.Join(dir, "n1.toml"), filepath.Join(dir, "regular.toml")
			writeFile(t, regular, singleNodeSettings())
			if err := syscall.Mkfifo(file, 0o600); err != nil {
				t.Fatal(err)
			}
			n := startProcess(t, "n1", "hyssopsilld", "run", "--settings", file)
			fifo, err := os.OpenFile(file, os.O_WRONLY, 0) // waits until the process reads its settings
			if err != nil {
				t.Fatal(err)
			}
			n.signal(sig)
			time.Sleep(100 * time.Millisecond)
			if err := os.Rename(regular, file); err != nil { // for the reload
				t.Fatal(err)
			}
			if _, err := fifo.WriteString(singleNodeSettings()); err != nil {
				t.Errorf("the process no longer reads its settings: %v", err)
			}
			_ = fifo.Close()
			if sig == syscall.SIGHUP {
				n.awaitOutput(t, `(node: reload: the settings are unchanged)`)
				n.signal(syscall.SIGTERM)
			}
			n.waitExit(t, 10*time.Second)
			if code := n.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("the process ended with %s", n.cmd.ProcessState)
			}
			if !strings.Contains(n.out.String(), "node: stopped") {
				t.Errorf("no line on the end of the process:\n%s", n.out.String())
			}
		})
	}
}
