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
	// appendTimeout bounds one append; a longer wait would delay the next
	// batch beyond the interval.
	appendTimeout = 3 * time.Second
	// exportPoll is the period at which the runner looks for due batches.
	exportPoll = 200 * time.Millisecond
)

// Exporter keeps decision records in the ring and writes them to the log
// stream `decisions`. Serve makes it a suture service. It is safe for
// concurrent use.
type Exporter struct {
	ring    *record.Ring
	log     eventlog.Log
	logger  zerolog.Logger
	mu      sync.Mutex
	core    *ExportQueue
	metrics *Metrics
	failing bool
}

// NewExporter returns an exporter to log. Ring may be nil.
func NewExporter(o ExportOptions, ring *record.Ring, log eventlog.Log, logger zerolog.Logger) *Exporter {
	return &Exporter{ring: ring, log: log, logger: logger, core: NewExportQueue(o)}
}

// Record takes r for export and keeps it in the ring, under the same identity.
func (x *Exporter) Record(r record.Record) {
	x.mu.Lock()
	r = x.core.Add(r)
	x.mu.Unlock()
	if x.ring != nil {
		x.ring.Add(r)
	}
}

// Stats returns the counts so far.
func (x *Exporter) Stats() ExportStats {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.core.Stats()
}

// PublishMetrics publishes the counts as decision_export and the ring as decision_ring,
// and meters appends as control bytes.
func (x *Exporter) PublishMetrics(m *Metrics) {
	x.mu.Lock()
	x.metrics = m
	x.mu.Unlock()
	m.Set("decision_export", expvar.Func(func() any { return x.Stats() }))
	if x.ring != nil {
		m.Set("decision_ring", expvar.Func(func() any { return x.ring.Stats() }))
	}
}

// String names the service in the supervisor's log.
func (x *Exporter) String() string { return "decision exporter" }

// Serve appends due batches until ctx ends, then makes one last append.
func (x *Exporter) Serve(ctx context.Context) error {
	ticker := time.NewTicker(exportPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			// The last append does not wait for the budget: it happens once
			// in the life of a process.
			last := context.WithoutCancel(ctx)
			if due, waiting := x.due(); waiting {
				x.step(last, maxTime(due, time.Now()))
			}
			return ctx.Err()
		case now := <-ticker.C:
			x.step(ctx, now)
		}
	}
}

func (x *Exporter) due() (time.Time, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.core.Due()
}

func (x *Exporter) step(ctx context.Context, now time.Time) {
	x.mu.Lock()
	batch, ok := x.core.Next(now)
	metrics := x.metrics
	x.mu.Unlock()
	if !ok {
		return
	}
	data := batch.Encode()
	if metrics != nil {
		metrics.ControlBytes("decisions", len(data), 0)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := x.log.Append(ctx, eventlog.StreamDecisions, data)
	x.mu.Lock()
	if errors.Is(err, eventlog.ErrInvalid) {
		x.core.Reject()
	} else {
		x.core.Done(len(data), err)
	}
	changed := x.failing != (err != nil)
	x.failing = err != nil
	buffered := x.core.Stats().Buffered
	x.mu.Unlock()
	switch {
	case changed && err != nil:
		x.logger.Warn().Err(err).Int64("buffered", buffered).Msg("telemetry: decision records cannot be written")
	case changed:
		x.logger.Info().Msg("telemetry: decision records are written again")
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
