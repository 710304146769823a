package telemetry

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// stalledReader takes nothing until it is released.
type stalledReader struct {
	released chan struct{}
	mu       sync.Mutex
	taken    bytes.Buffer
}

func (r *stalledReader) Write(p []byte) (int, error) {
	<-r.released
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken.Write(p)
}

// Guards against log lines that wait for a stalled reader, and against lines
// that are lost without a word.
func TestStalledReaderDelaysNothing(t *testing.T) {
	r := &stalledReader{released: make(chan struct{})}
	o := NewLogWriter(r)
	logger := o.Logger("n1", zerolog.InfoLevel)
	const lines = 3 * outputLines
	for i := range lines { // returns although nothing is taken
		logger.Info().Int("line", i).Msg("test")
	}
	close(r.released)
	for o.lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	logger.Info().Msg("last") // tells the count
	_ = o.Close()
	written, lost := 0, int64(0)
	for line := range bytes.Lines(r.taken.Bytes()) {
		var x struct {
			Lost int64 `json:"lines_lost"`
		}
		if err := json.Unmarshal(line, &x); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		written, lost = written+1, lost+x.Lost
	}
	if int64(written)+lost != lines+1 || lost == 0 {
		t.Errorf("%d lines written and %d told as lost, want %d together", written, lost, lines+1)
	}
}
