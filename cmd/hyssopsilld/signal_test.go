package main_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
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

// Guards against a node that ends when the reader of its log does.
func TestClosedLogOutputDoesNotEndNode(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "n1.toml")
	writeFile(t, file, singleNodeSettings())
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, "hyssopsilld"), "run", "--settings", file)
	cmd.Stderr = writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	line, err := bufio.NewReader(reader).ReadString('\n')
	match := regexp.MustCompile(`"admin":"([^"]+)"`).FindStringSubmatch(line)
	if match == nil {
		t.Fatalf("first line %q, error %v", line, err)
	}
	_ = reader.Close()
	for range 3 { // each writes a line
		_ = cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
	if resp, err := http.Get("http://" + match[1] + "/healthz"); err != nil {
		t.Errorf("after the reader closed: %v", err)
	} else {
		_ = resp.Body.Close()
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	if err := <-exited; err != nil {
		t.Errorf("the node ended with %v", err)
	}
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

// Guards against a node that ends at its start without a log line on the cause.
func TestFailedStartIsLogged(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	file := filepath.Join(t.TempDir(), "n1.toml")
	writeFile(t, file, strings.Replace(singleNodeSettings(), `caller = "127.0.0.1:0"`, fmt.Sprintf("caller = %q", l.Addr()), 1))
	n := startProcess(t, "n1", "hyssopsilld", "run", "--settings", file)
	n.waitExit(t, 10*time.Second)
	if code := n.cmd.ProcessState.ExitCode(); code != 1 {
		t.Errorf("the process ended with %s, want exit status 1", n.cmd.ProcessState)
	}
	if !regexp.MustCompile(`"level":"error".*address already in use.*node: cannot start`).MatchString(n.out.String()) {
		t.Errorf("no line on the cause:\n%s", n.out.String())
	}
}
