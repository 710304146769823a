package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
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
	outputStart  int64 // offset of its output in the file
	cmd          *exec.Cmd
	done         chan struct{}

	mu  sync.Mutex
	end ProcessEnd // complete once done is closed
}

// start starts a program from Options.Binaries and appends its output to a log file.
func (f *fleet) start(name, program string, args ...string) (*process, error) {
	p := &process{name: name, output: filepath.Join(f.options.Dir, name+".log"), done: make(chan struct{})}
	p.outputStart = outputSize(p.output)
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
	p.end = ProcessEnd{Process: name, StartedAt: time.Now()}
	f.mu.Lock()
	f.started = append(f.started, p)
	f.mu.Unlock()
	go p.recordEnd()
	return p, nil
}

// signal sends a signal and records it, unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd.Process.Signal(s) != nil {
		return
	}
	p.end.recordSignal(s, time.Now())
}

// recordEnd waits for the end of the process and records it.
func (p *process) recordEnd() {
	_ = p.cmd.Wait() // the state of the process tells how it ended
	p.mu.Lock()
	p.end.EndedAt, p.end.Silent = time.Now(), outputSize(p.output) == p.outputStart
	if status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		p.end.Signal = status.Signal().String()
	}
	p.end.Status = p.cmd.ProcessState.ExitCode()
	p.mu.Unlock()
	close(p.done)
}

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

// waitForOutput waits until the output of the process matches the pattern and returns
// the pattern's first group.
func (p *process) waitForOutput(ctx context.Context, pattern *regexp.Regexp) (string, error) {
	for end := time.Now().Add(maxWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		data, err := os.ReadFile(p.output)
		if err != nil {
			return "", err
		}
		if match := pattern.FindSubmatch(data[min(p.outputStart, int64(len(data))):]); match != nil {
			return string(match[1]), nil
		}
		if !p.running() {
			return "", fmt.Errorf("%s: %w before its output matched %s", p.name, errProcessEnded, pattern)
		}
	}
	return "", fmt.Errorf("%s has no output that matches %s", p.name, pattern)
}

// outputSize returns the size of an output file.
func outputSize(name string) int64 {
	info, err := os.Stat(name)
	if err != nil {
		return 0 // the file does not exist yet
	}
	return info.Size()
}
