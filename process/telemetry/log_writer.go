package telemetry

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// maxBufferedLines is the number of lines that may wait for a slow output. With
// lines of 1 KB a node buffers at most 2 MB, and a burst up to all rate limits fits.
const maxBufferedLines = 2000

// lineTimeFormat is the layout of the time of a line: UTC with milliseconds.
const lineTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// FieldLinesLost is the field for the number of lines lost to a slow output since
// the previous line.
const FieldLinesLost = "lines_lost"

// closeTimeout bounds the wait of Close for a slow output. A stalled one must not keep
// the process from ending.
const closeTimeout = time.Second

// LogWriter writes log lines in the background, so that a stalled output never
// delays a request. When more than maxBufferedLines wait, the oldest are lost and
// counted, and a later line holds the count.
type LogWriter struct {
	diode.Writer
	lost atomic.Int64
}

// NewLogWriter returns a LogWriter to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{}
	w.Writer = diode.NewWriter(struct{ io.Writer }{out}, maxBufferedLines, 0, func(n int) { w.lost.Add(int64(n)) })
	return w
}

// Close writes the buffered lines and leaves the output open. Lines that the output does
// not take within closeTimeout are lost.
func (w *LogWriter) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- w.Writer.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
		return errOutputStalled
	}
}

var errOutputStalled = errors.New("telemetry: the log output is stalled, lines are lost")

// Logger returns a logger for one node that writes to w.
func (w *LogWriter) Logger(node string, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = lineTimeFormat
	return zerolog.New(w).Level(level).Hook(w).With().Timestamp().Str("node", node).Logger()
}

// Run implements zerolog.Hook. It adds the number of lost lines to the event.
func (w *LogWriter) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	if n := w.lost.Swap(0); n > 0 {
		e.Int64(FieldLinesLost, n)
	}
}
