package telemetry

import (
	"expvar"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// Bounds of the log lines of a process. Each sort has a budget of its own, so
// that a burst of refusals does not hide what the process came to believe.
const (
	requestLinesPerSecond = 20
	requestLinesBurst     = 100
	changeLinesPerSecond  = 20
	changeLinesBurst      = 200 // a view of the whole fleet of a start
	sampleLinesPerSecond  = 0.2 // plain successes
	sampleLinesBurst      = 1
)

// Fields of the log lines with a record, which package logfile reads.
const (
	FieldRecord       = "record"
	FieldLinesDropped = "lines_dropped" // lines above the bounds since the last one
)

// RecordLogger writes decision records as log lines: requests that were refused, failed,
// came late or took several attempts, changes of what the node believes, and a
// sample of plain successes. Lines above the bounds are counted, and the count is
// part of the next line. It is safe for concurrent use.
type RecordLogger struct {
	logger                     zerolog.Logger
	requests, changes, samples *rate.Limiter
	dropped                    atomic.Int64 // since the last line
	written, lost              expvar.Int
}

// NewRecordLogger returns a RecordLogger that writes to l.
func NewRecordLogger(l zerolog.Logger) *RecordLogger {
	return &RecordLogger{
		logger:   l,
		requests: rate.NewLimiter(requestLinesPerSecond, requestLinesBurst),
		changes:  rate.NewLimiter(changeLinesPerSecond, changeLinesBurst),
		samples:  rate.NewLimiter(sampleLinesPerSecond, sampleLinesBurst),
	}
}

// PublishMetrics publishes the counts of lines written and dropped.
func (l *RecordLogger) PublishMetrics(m *Metrics) {
	m.Set("log_lines", &l.written)
	m.Set("log_lines_dropped", &l.lost)
}

// Write writes the line of a record.
func (l *RecordLogger) Write(r record.Record) {
	if l.logger.GetLevel() > zerolog.InfoLevel {
		return
	}
	switch {
	case r.Request == nil:
		if !l.changes.Allow() {
			l.drop()
			return
		}
	case plain(r.Request):
		if !l.samples.Allow() { // the metrics count all successes
			return
		}
	case !l.requests.Allow():
		l.drop()
		return
	}
	l.written.Add(1)
	r = brief(r)
	e := l.logger.Info()
	if r.Request != nil {
		e.Str("request", string(r.Request.ID))
	}
	e.Interface(FieldRecord, &r).Int64(FieldLinesDropped, l.dropped.Swap(0)).Msg("record: " + string(r.Kind))
}

func (l *RecordLogger) drop() {
	l.dropped.Add(1)
	l.lost.Add(1)
}

// plain reports a request that was answered well by its first attempt and in
// time.
func plain(q *record.Request) bool {
	limit := q.ObjectiveMS
	if limit <= 0 {
		limit = q.DeadlineMS
	}
	return q.Outcome == attempt.Answered && q.Status < http.StatusInternalServerError && len(q.Attempts) < 2 &&
		(limit <= 0 || q.DurationMS <= float64(limit))
}

// brief leaves out the candidates about which nothing was to be said.
func brief(r record.Record) record.Record {
	if r.Request == nil {
		return r
	}
	q := *r.Request
	q.Attempts = append([]record.Attempt(nil), q.Attempts...)
	for i := range q.Attempts {
		a := &q.Attempts[i]
		var told []record.Candidate
		for _, c := range a.Candidates {
			if c.Ejected || c.Why != "" || c.Suspicion >= toldSuspicion {
				told = append(told, c)
			}
		}
		a.Candidates = told
	}
	r.Request = &q
	return r
}

// toldSuspicion is the suspicion, of 1 for certain, from which a candidate is
// part of a line.
const toldSuspicion = 0.1
