package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// Stop records a graceful stop of a node, from SIGTERM to the end of the process.
type Stop struct {
	Node      string    `json:"node"`
	StartedAt time.Time `json:"begun"`
	EndedAt   time.Time `json:"ended"`
}

// Drain records the time in which a leaving target must get no new requests.
type Drain struct {
	Target string    `json:"target"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
}

// View records what the admin listener of a node reported.
type View struct {
	At          time.Time                `json:"at"`
	Node        string                   `json:"node"`
	Incarnation attempt.Incarnation      `json:"incarnation"` // of the process
	Version     int64                    `json:"version"`
	Targets     []telemetry.TargetStatus `json:"targets"`
}

// History records what callers, targets and the soak itself observed in a run.
type History struct {
	Plan       Plan               `json:"plan"`
	StartedAt  time.Time          `json:"begun"`
	Calls      []Call             `json:"calls"`
	Executions []target.Execution `json:"executions"`
	Stops      []Stop             `json:"stops"`
	Drains     []Drain            `json:"drains"`
	RateLimits []RateLimit        `json:"rate_limits"`
	Restarts   []time.Time        `json:"starts"` // of node processes, without the first ones
	Pauses     []Pause            `json:"pauses"` // of node processes
	Views      []View             `json:"views"`
	Stuck      []string           `json:"stuck"`   // nodes that did not exit by themselves
	Unready    string             `json:"unready"` // why the fleet did not recover
	Notes      []string           `json:"notes"`   // faults that could not be injected
	Ends       []ProcessEnd       `json:"ends"`

	KeysChangedAt time.Time `json:"keys_changed,omitzero"`     // when the publish that changes keys was accepted
	AddedKeyFails []string  `json:"added_key_fails,omitempty"` // nodes at which the added key does not work at the end

	mu sync.Mutex
}

// withLock calls change with the history locked.
func (h *History) withLock(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *History) notef(format string, args ...any) {
	h.withLock(func() { h.Notes = append(h.Notes, fmt.Sprintf(format, args...)) })
}

// readExecutions adds the executions that the targets wrote to a file.
func (h *History) readExecutions(name string) error {
	file, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // no target ran anything
	}
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // only read
	for in, number := bufio.NewReader(file), 1; ; number++ {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var execution target.Execution
		if err := json.Unmarshal(line, &execution); err != nil {
			return fmt.Errorf("%s:%d: %w", name, number, err)
		}
		h.Executions = append(h.Executions, execution)
	}
}
