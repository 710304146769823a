package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/hyssopsill/hyssopsill/standin/target"
)

// ProcessEnd records how a process ended and which signals the soak sent to it before.
type ProcessEnd struct {
	Process   string    `json:"process"`
	StartedAt time.Time `json:"begun"`
	EndedAt   time.Time `json:"ended"`
	Status    int       `json:"status"` // exit status, -1 after a signal
	Signal    string    `json:"signal,omitempty"`
	Silent    bool      `json:"silent,omitempty"`   // it ended before its first line of output
	PeakKiB   int64     `json:"peak_kib,omitempty"` // resident memory of a node, read at intervals
	// Times of the first SIGTERM and SIGKILL and of the last SIGHUP.
	TermAt   time.Time `json:"sigterm,omitzero"`
	KillAt   time.Time `json:"sigkill,omitzero"`
	ReloadAt time.Time `json:"sighup,omitzero"`
}

const crashStatus = 1 // exit status of a target that a request crashed

func (e *ProcessEnd) recordSignal(s syscall.Signal, at time.Time) {
	switch {
	case s == syscall.SIGTERM && e.TermAt.IsZero():
		e.TermAt = at
	case s == syscall.SIGKILL && e.KillAt.IsZero():
		e.KillAt = at
	case s == syscall.SIGHUP:
		e.ReloadAt = at
	}
}

// cause describes the exit status or signal.
func (e *ProcessEnd) cause() string {
	if e.Signal != "" {
		return "signal: " + e.Signal
	}
	return fmt.Sprintf("exit status %d", e.Status)
}

// requested reports whether the soak asked for this end. No process can handle SIGHUP
// before its main function runs, so SIGHUP may end it before its first line of output.
func (e *ProcessEnd) requested() bool {
	switch e.Signal {
	case syscall.SIGKILL.String():
		return !e.KillAt.IsZero()
	case syscall.SIGHUP.String():
		return e.Silent && !e.ReloadAt.IsZero()
	case "":
		return e.Status == 0 && !e.TermAt.IsZero()
	}
	return false
}

// crashed reports whether a request that crashes targets ended the process.
func (e *ProcessEnd) crashed(executions []target.Execution) bool {
	if e.Signal != "" || e.Status != crashStatus {
		return false
	}
	for i := range executions {
		if run := &executions[i]; run.Target == e.Process && run.Crash != "" && !run.At.Before(e.StartedAt) && !run.At.After(e.EndedAt) {
			return true
		}
	}
	return false
}

func checkEnds(h *History) (out []string) {
	for i := range h.Ends {
		e := &h.Ends[i]
		if e.requested() || e.crashed(h.Executions) {
			continue
		}
		detail := fmt.Sprintf("%s ended at %s by %s", e.Process, e.EndedAt.Sub(h.StartedAt), e.cause())
		for _, s := range []struct {
			name string
			at   time.Time
		}{{"SIGTERM", e.TermAt}, {"SIGKILL", e.KillAt}, {"SIGHUP", e.ReloadAt}} {
			if !s.at.IsZero() {
				detail += fmt.Sprintf(", %s after %s", e.EndedAt.Sub(s.at), s.name)
			}
		}
		out = append(out, detail)
	}
	return out
}
