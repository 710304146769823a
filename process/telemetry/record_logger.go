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

// Rate limits of the log lines of a process. Each kind of line has its own limit,
// so that a burst of refusals does not hide state changes.
const (
	requestLinesPerSecond = 20
	requestLinesBurst     = 100
	changeLinesPerSecond  = 20
	changeLinesBurst      = 200 // covers the changes for the whole fleet when a process starts
	sampleLinesPerSecond  = 0.2 // plain successes
	sampleLinesBurst      = 1
)

// Fields of log lines with a record. Package logfile reads them.
const (
	FieldRecord       = "record"
	FieldLinesDropped = "lines_dropped" // lines above the rate limits since the previous line
)

// RecordLogger writes decision records as log lines: requests that were refused,
// failed, were late or took several attempts, state changes, and a sample of plain
// successes. Lines above the rate limits are dropped and counted, and the next line
// holds the count. It is safe for concurrent use.
type RecordLogger struct {
	logger                     zerolog.Logger
	requests, changes, samples *rate.Limiter
	droppedSinceLine           atomic.Int64 // lines dropped since the previous line was written
	written, droppedTotal      expvar.Int
}

// NewRecordLogger returns a RecordLogger that writes to logger.
func NewRecordLogger(logger zerolog.Logger) *RecordLogger {
	return &RecordLogger{
		logger:   logger,
		requests: rate.NewLimiter(requestLinesPerSecond, requestLinesBurst),
		changes:  rate.NewLimiter(changeLinesPerSecond, changeLinesBurst),
		samples:  rate.NewLimiter(sampleLinesPerSecond, sampleLinesBurst),
	}
}

// PublishMetrics publishes the counts of lines written and dropped.
func (l *RecordLogger) PublishMetrics(m *Metrics) {
	m.Set("log_lines", &l.written)
	m.Set("log_lines_dropped", &l.droppedTotal)
}

// Write writes the log line of a record, unless its rate limit is reached.
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
	case succeededInTime(r.Request):
		if !l.samples.Allow() { // not counted as dropped: the metrics count all successes
			return
		}
	case !l.requests.Allow():
		l.drop()
		return
	}
	l.written.Add(1)
	r = trimCandidates(r)
	e := l.logger.Info()
	if r.Request != nil {
		e.Str("request", string(r.Request.ID))
	}
	e.Interface(FieldRecord, &r).Int64(FieldLinesDropped, l.droppedSinceLine.Swap(0)).Msg("record: " + string(r.Kind))
}

func (l *RecordLogger) drop() {
	l.droppedSinceLine.Add(1)
	l.droppedTotal.Add(1)
}

// succeededInTime reports whether a request was answered without a server error,
// by its first attempt and within its objective, or its deadline without one.
func succeededInTime(q *record.Request) bool {
	limit := q.ObjectiveMS
	if limit <= 0 {
		limit = q.DeadlineMS
	}
	return q.Outcome == attempt.Answered && q.Status < http.StatusInternalServerError && len(q.Attempts) < 2 &&
		(limit <= 0 || q.DurationMS <= float64(limit))
}

// trimCandidates returns r without candidates that are not ejected, have no reason
// and have little suspicion.
func trimCandidates(r record.Record) record.Record {
	if r.Request == nil {
		return r
	}
	q := *r.Request
	q.Attempts = append([]record.Attempt(nil), q.Attempts...)
	for i := range q.Attempts {
		a := &q.Attempts[i]
		var kept []record.Candidate
		for _, c := range a.Candidates {
			if c.Ejected || c.Why != "" || c.Suspicion >= minLoggedSuspicion {
				kept = append(kept, c)
			}
		}
		a.Candidates = kept
	}
	r.Request = &q
	return r
}

// minLoggedSuspicion is the suspicion, from 0 to 1, from which a candidate is part
// of a line.
const minLoggedSuspicion = 0.1
