package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

const (
	anyPort = "127.0.0.1:0"
	// maxWait bounds the waits for a process, with room for a busy machine.
	maxWait      = time.Minute
	pollInterval = 20 * time.Millisecond
)

// errProcessEnded reports a process that ended before an awaited event.
var errProcessEnded = errors.New("the process has ended")

// process is a program that the soak started. Its output goes to a file.
type process struct {
	name, output string
	cmd          *exec.Cmd
	done         chan struct{}
}

// start starts a program from Options.Binaries and appends its output to a log file.
func (f *fleet) start(name, program string, args ...string) (*process, error) {
	p := &process{name: name, output: filepath.Join(f.options.Dir, name+".log"), done: make(chan struct{})}
	file, err := os.OpenFile(p.output, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the process has its own descriptor
	p.cmd = exec.Command(filepath.Join(f.options.Binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.started = append(f.started, p)
	f.mu.Unlock()
	go func() {
		_ = p.cmd.Wait() // the exit status is not needed
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails only if the process has ended

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// wait waits until the process ends, at most for limit.
func (p *process) wait(ctx context.Context, limit time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %s", p.name, limit)
	}
}

// waitForOutput waits until the output after offset matches the pattern and returns
// the pattern's first group.
func (p *process) waitForOutput(ctx context.Context, offset int64, pattern *regexp.Regexp) (string, error) {
	for end := time.Now().Add(maxWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		data, err := os.ReadFile(p.output)
		if err != nil {
			return "", err
		}
		if match := pattern.FindSubmatch(data[min(offset, int64(len(data))):]); match != nil {
			return string(match[1]), nil
		}
		if !p.running() {
			return "", fmt.Errorf("%s: %w before its output matched %s", p.name, errProcessEnded, pattern)
		}
	}
	return "", fmt.Errorf("%s has no output that matches %s", p.name, pattern)
}

// outputSize returns the offset at which the output of a new process will start.
func outputSize(name string) int64 {
	info, err := os.Stat(name)
	if err != nil {
		return 0 // the file does not exist yet
	}
	return info.Size()
}
