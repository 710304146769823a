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
	// patience bounds waits for what a busy machine delays.
	patience = time.Minute
	pollTime = 20 * time.Millisecond
)

// errEnded reports a process that ended while something was awaited of it.
var errEnded = errors.New("the process has ended")

// process is a program that the soak started, with its output in a file.
type process struct {
	name, output string
	cmd          *exec.Cmd
	done         chan struct{}
}

// start starts a program of the directory; output is added to a file.
func (f *fleet) start(name, program string, args ...string) (*process, error) {
	p := &process{name: name, output: filepath.Join(f.o.Dir, name+".log"), done: make(chan struct{})}
	file, err := os.OpenFile(p.output, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the process has its own
	p.cmd = exec.Command(filepath.Join(f.o.Binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.started = append(f.started, p)
	f.mu.Unlock()
	go func() {
		_ = p.cmd.Wait() // how it ended is read from ProcessState
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// wait waits for the end of the process.
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

// awaitOutput waits for text after an offset of the output and returns the first
// group of the pattern.
func (p *process) awaitOutput(ctx context.Context, offset int64, pattern *regexp.Regexp) (string, error) {
	for end := time.Now().Add(patience); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollTime) {
		data, err := os.ReadFile(p.output)
		if err != nil {
			return "", err
		}
		if match := pattern.FindSubmatch(data[min(offset, int64(len(data))):]); match != nil {
			return string(match[1]), nil
		}
		if !p.running() {
			return "", fmt.Errorf("%s: %w before it wrote %s", p.name, errEnded, pattern)
		}
	}
	return "", fmt.Errorf("%s did not write %s", p.name, pattern)
}

// outputSize is the offset at which the output of a new process begins.
func outputSize(name string) int64 {
	info, err := os.Stat(name)
	if err != nil {
		return 0 // not there yet
	}
	return info.Size()
}
