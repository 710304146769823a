package telemetry

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/record"
)

const (
	// appendTimeout bounds one append. It is shorter than the default interval,
	// so that a slow append does not delay the next batch.
	appendTimeout = 3 * time.Second
	// exportPollInterval is the interval at which Serve checks for a due batch.
	exportPollInterval = 200 * time.Millisecond
)

// Exporter keeps decision records in the ring and appends them to the log stream
// `decisions`. It implements suture.Service and is safe for concurrent use.
type Exporter struct {
	ring    *record.Ring
	log     eventlog.Log
	logger  zerolog.Logger
	mu      sync.Mutex
	queue   *ExportQueue
	metrics *Metrics
	failing bool // the last append failed
}

// NewExporter returns an exporter that appends to log. The ring may be nil.
func NewExporter(o ExportOptions, ring *record.Ring, log eventlog.Log, logger zerolog.Logger) *Exporter {
	return &Exporter{ring: ring, log: log, logger: logger, queue: NewExportQueue(o)}
}

// Record queues r for export and adds it to the ring under the same identity.
func (e *Exporter) Record(r record.Record) {
	e.mu.Lock()
	r = e.queue.Add(r)
	e.mu.Unlock()
	if e.ring != nil {
		e.ring.Add(r)
	}
}

// Stats returns the counts so far.
func (e *Exporter) Stats() ExportStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Stats()
}

// PublishMetrics publishes the counts as decision_export and the ring's as
// decision_ring, and from then on counts appended bytes as control bytes.
func (e *Exporter) PublishMetrics(m *Metrics) {
	e.mu.Lock()
	e.metrics = m
	e.mu.Unlock()
	m.Set("decision_export", expvar.Func(func() any { return e.Stats() }))
	if e.ring != nil {
		m.Set("decision_ring", expvar.Func(func() any { return e.ring.Stats() }))
	}
}

// String names the service in the supervisor's log.
func (e *Exporter) String() string { return "decision exporter" }

// Serve appends due batches until ctx ends, then makes one last append.
func (e *Exporter) Serve(ctx context.Context) error {
	ticker := time.NewTicker(exportPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			// The last append does not wait for the interval, since it happens
			// once per process.
			last := context.WithoutCancel(ctx)
			if dueAt, waiting := e.nextDue(); waiting {
				e.appendDue(last, maxTime(dueAt, time.Now()))
			}
			return ctx.Err()
		case now := <-ticker.C:
			e.appendDue(ctx, now)
		}
	}
}

func (e *Exporter) nextDue() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Due()
}

func (e *Exporter) appendDue(ctx context.Context, now time.Time) {
	e.mu.Lock()
	batch, ok := e.queue.Next(now)
	metrics := e.metrics
	e.mu.Unlock()
	if !ok {
		return
	}
	data := batch.Encode()
	if metrics != nil {
		metrics.ControlBytes("decisions", len(data), 0)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := e.log.Append(ctx, eventlog.StreamDecisions, data)
	e.mu.Lock()
	if errors.Is(err, eventlog.ErrInvalid) {
		e.queue.Reject()
	} else {
		e.queue.Done(len(data), err)
	}
	changed := e.failing != (err != nil)
	e.failing = err != nil
	buffered := e.queue.Stats().Buffered
	e.mu.Unlock()
	switch {
	case changed && err != nil:
		e.logger.Warn().Err(err).Int64("buffered", buffered).Msg("telemetry: decision records cannot be written")
	case changed:
		e.logger.Info().Msg("telemetry: decision records are written again")
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
