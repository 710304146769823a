package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// outputLines is the number of lines that may wait for a slow reader: with lines
// of 1 KB a node keeps 2 MB at most, and a burst of all budgets fits.
const outputLines = 2000

// lineTime is the form of the time of a line: UTC with milliseconds.
const lineTime = "2006-01-02T15:04:05.000Z07:00"

// FieldLinesLost counts lines that a slow reader did not take since the last line.
const FieldLinesLost = "lines_lost"

// LogWriter takes log lines and writes them in the background, so that a reader
// that stalls never delays a request. Lines beyond outputLines are lost, the
// oldest first, counted, and the count is part of a later line.
type LogWriter struct {
	diode.Writer
	lost atomic.Int64
}

// NewLogWriter returns a LogWriter to w. Close writes what waits and leaves w open.
func NewLogWriter(w io.Writer) *LogWriter {
	o := &LogWriter{}
	o.Writer = diode.NewWriter(struct{ io.Writer }{w}, outputLines, 0, func(n int) { o.lost.Add(int64(n)) })
	return o
}

// Logger returns a logger of the output for one node.
func (o *LogWriter) Logger(node string, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = lineTime
	return zerolog.New(o).Level(level).Hook(o).With().Timestamp().Str("node", node).Logger()
}

// Run implements zerolog.Hook.
func (o *LogWriter) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	if n := o.lost.Swap(0); n > 0 {
		e.Int64(FieldLinesLost, n)
	}
}
