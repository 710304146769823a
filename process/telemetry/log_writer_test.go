package telemetry

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// stalledWriter blocks writes until it is released.
type stalledWriter struct {
	released chan struct{}
	mu       sync.Mutex
	received bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received.Write(p)
}

// Guards against log calls that block on a stalled output, and against lost lines
// that are not counted.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	output := &stalledWriter{released: make(chan struct{})}
	w := NewLogWriter(output)
	logger := w.Logger("n1", zerolog.InfoLevel)
	const lines = 3 * maxBufferedLines
	for i := range lines { // returns although nothing is written
		logger.Info().Int("line", i).Msg("test")
	}
	close(output.released)
	for w.lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	logger.Info().Msg("last") // holds the count of lost lines
	_ = w.Close()
	written, lost := 0, int64(0)
	for line := range bytes.Lines(output.received.Bytes()) {
		var parsed struct {
			Lost int64 `json:"lines_lost"`
		}
		if err := json.Unmarshal(line, &parsed); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		written, lost = written+1, lost+parsed.Lost
	}
	if int64(written)+lost != lines+1 || lost == 0 {
		t.Errorf("%d lines written and %d counted as lost, want %d together", written, lost, lines+1)
	}
}

// Guards against a process that cannot end because nobody reads its log.
func TestCloseDoesNotWaitForStalledOutput(t *testing.T) {
	output := &stalledWriter{released: make(chan struct{})}
	defer close(output.released)
	w := NewLogWriter(output)
	logger := w.Logger("n1", zerolog.InfoLevel)
	logger.Info().Msg("test")
	closed := make(chan error, 1)
	go func() { closed <- w.Close() }()
	select {
	case err := <-closed:
		if err == nil {
			t.Error("Close reports no lost lines")
		}
	case <-time.After(10 * closeTimeout):
		t.Errorf("Close still waits after %s", 10*closeTimeout)
	}
}
