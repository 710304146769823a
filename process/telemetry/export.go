package telemetry

import (
	"encoding/json"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// ExportOptions configures an ExportQueue. Zero values take the defaults.
type ExportOptions struct {
	Node        string
	Incarnation attempt.Incarnation
	// Interval between appends. Default 4 s, the budget of 0.25 appends/s
	// per node (200/s for 790 nodes).
	Interval time.Duration
	// BatchBytes bounds the compressed data of one append, approximately: the
	// ratio of the last batch decides how many records the next one takes.
	// Default 12 KiB. Encoded by the log's protocol that is 4 KiB/s of the
	// 10 KB/s that a node may spend on control traffic.
	BatchBytes int
	// BufferBytes bounds encoded records that wait, such as in a log outage.
	// Default 4 MiB. A quarter is reserved for state changes.
	BufferBytes int
	// SampleEvery exports one plain success in this many. Default 1000.
	SampleEvery int

	// silentDrop turns gap records off, noBudget the budget and noReserve the
	// room for state changes. Tests show with them what these prevent.
	silentDrop bool
	noBudget   bool
	noReserve  bool
}

const (
	defaultExportInterval = 4 * time.Second
	defaultBatchBytes     = 12 << 10
	defaultBufferBytes    = 4 << 20
	defaultSampleEvery    = 1000

	// Compression ratio: assumed at first, and the bounds of what is learned.
	// The margin keeps a batch that compresses worse than the last one near
	// its bound.
	firstRatio  = 2
	maxRatio    = 20
	ratioMargin = 0.8
)

func (o ExportOptions) withDefaults() ExportOptions {
	if o.Interval <= 0 {
		o.Interval = defaultExportInterval
	}
	if o.BatchBytes <= 0 {
		o.BatchBytes = defaultBatchBytes
	}
	if o.BufferBytes <= 0 {
		o.BufferBytes = defaultBufferBytes
	}
	if o.SampleEvery <= 0 {
		o.SampleEvery = defaultSampleEvery
	}
	return o
}

// ExportStats counts what became of the records.
type ExportStats struct {
	Numbered   int64 `json:"made"`        // numbered for export
	Delivered  int64 `json:"delivered"`   // in an append that was confirmed; gap records not counted
	Dropped    int64 `json:"dropped"`     // covered by gap records
	Buffered   int64 `json:"buffered"`    // waiting
	Bytes      int   `json:"bytes"`       // encoded bytes waiting
	SampledOut int64 `json:"sampled_out"` // plain successes not chosen
	Appends    int64 `json:"appends"`
	Failures   int64 `json:"failures"` // appends without confirmation
}

// pending is an encoded record, or a gap that may still grow.
type pending struct {
	data json.RawMessage
	gap  *record.Record // encoded when it is sent
	size int
	at   time.Time
	seq  uint64
}

// gapSize is the room that a gap record takes in a batch, bytes.
const gapSize = 256

// ExportQueue is the deterministic core of the exporter: it chooses, numbers,
// buffers and batches records. It is not safe for concurrent use.
type ExportQueue struct {
	opts     ExportOptions
	inc      string
	buffer   []pending
	inFlight int // leading entries of buffer that the current batch holds
	batch    []json.RawMessage
	sampled  int64 // SampledOut when the batch was filled
	ratio    float64
	nextSeq  uint64
	nextAt   time.Time
	plain    int64
	stats    ExportStats
}

// NewExportQueue returns a queue with an empty buffer.
func NewExportQueue(o ExportOptions) *ExportQueue {
	return &ExportQueue{opts: o.withDefaults(), inc: o.Incarnation.String(), nextSeq: 1, ratio: firstRatio}
}

// Add takes a record: all refusals, unknowns, retries and state changes, and
// one in SampleEvery plain successes. It returns the record with the identity
// under which it is exported; a sampled-out record has none.
func (e *ExportQueue) Add(r record.Record) record.Record {
	r.Node = e.opts.Node
	if r.PlainSuccess() {
		e.plain++
		if (e.plain-1)%int64(e.opts.SampleEvery) != 0 {
			e.stats.SampledOut++
			return r
		}
	}
	r.Incarnation, r.Sequence = e.inc, e.nextSeq
	e.nextSeq++
	e.stats.Numbered++
	data, err := json.Marshal(r)
	limit := e.opts.BufferBytes
	if r.Change == nil && !e.opts.noReserve {
		limit -= limit / 4
	}
	// A record that fits no batch would block the buffer for ever.
	if err != nil || len(data) > e.opts.BatchBytes || e.stats.Bytes+len(data) > limit {
		e.drop(r)
		return r
	}
	e.push(pending{data: data, size: len(data), at: r.At, seq: r.Sequence})
	e.stats.Buffered++
	return r
}

func (e *ExportQueue) push(p pending) {
	e.buffer = append(e.buffer, p)
	e.stats.Bytes += p.size
}

// drop extends the gap at the end of the buffer or starts one. At most one gap
// stands between two records, so the buffer exceeds its bound by at most
// gapSize.
func (e *ExportQueue) drop(r record.Record) {
	e.stats.Dropped++
	if e.opts.silentDrop {
		return
	}
	if last := len(e.buffer) - 1; last >= e.inFlight && e.buffer[last].gap != nil {
		e.buffer[last].gap.Count++
		return
	}
	e.push(e.newGap(r.At, r.Sequence, 1))
}

func (e *ExportQueue) newGap(at time.Time, first uint64, count int64) pending {
	return pending{size: gapSize, at: at, seq: first, gap: &record.Record{
		At: at, Node: e.opts.Node, Incarnation: e.inc, Sequence: first, Kind: record.KindGap, Count: count,
	}}
}

// Next returns the data to append now. It repeats the same records until Done
// confirms them, because an append without an answer may have taken effect;
// readers recognise the repeated records by their identity.
func (e *ExportQueue) Next(now time.Time) (EncodedBatch, bool) {
	if len(e.buffer) == 0 || (now.Before(e.nextAt) && !e.opts.noBudget) {
		return EncodedBatch{}, false
	}
	if e.inFlight == 0 {
		e.fillBatch()
	}
	e.nextAt = now.Add(e.opts.Interval)
	e.stats.Appends++
	return EncodedBatch{Node: e.opts.Node, Incarnation: e.inc, SentAt: now, Records: e.batch, SampledOut: e.sampled}, true
}

// EncodedBatch is a batch to append: record.Batch with records that are already
// encoded. It stays valid after further calls of the ExportQueue.
type EncodedBatch struct {
	Node        string            `json:"node"`
	Incarnation string            `json:"incarnation"`
	SentAt      time.Time         `json:"sent_at"`
	Records     []json.RawMessage `json:"records"`
	SampledOut  int64             `json:"sampled_out,omitempty"`
}

// Encode returns the data to append. It takes about a millisecond, so callers
// need not hold the lock of the ExportQueue.
func (o EncodedBatch) Encode() []byte {
	text, _ := json.Marshal(o) // consists of encoded parts
	return record.Compress(text)
}

func (e *ExportQueue) fillBatch() {
	e.batch, e.sampled = nil, e.stats.SampledOut
	limit, size := int(float64(e.opts.BatchBytes)*e.ratio), 0
	for i := range e.buffer {
		p := &e.buffer[i]
		if size += p.size; size > limit && i > 0 {
			break
		}
		data := p.data
		if p.gap != nil {
			data, _ = json.Marshal(p.gap) // a gap always marshals
		}
		e.batch = append(e.batch, data)
	}
	e.inFlight = len(e.batch)
}

// Done reports the result of appending the batch of the last Next, and its
// encoded size in bytes.
func (e *ExportQueue) Done(size int, err error) {
	if err != nil {
		e.stats.Failures++
		return
	}
	raw := 0
	for i := range e.inFlight {
		p := &e.buffer[i]
		raw += p.size
		e.stats.Bytes -= p.size
		if p.gap == nil {
			e.stats.Buffered--
			e.stats.Delivered++
		}
		*p = pending{}
	}
	e.buffer = e.buffer[e.inFlight:]
	if len(e.buffer) == 0 {
		e.buffer = nil
	}
	e.inFlight, e.batch = 0, nil
	e.ratio = min(max(ratioMargin*float64(raw)/float64(max(size, 1)), 1), maxRatio)
}

// Reject reports that the log refused the batch of the last Next as invalid, so
// that repeating it would hold up all later records for ever. Its records
// become one gap; the numbers in the buffer are contiguous.
func (e *ExportQueue) Reject() {
	e.stats.Failures++
	if e.inFlight == 0 {
		return
	}
	count := int64(0)
	for i := range e.inFlight {
		p := &e.buffer[i]
		e.stats.Bytes -= p.size
		if p.gap != nil {
			count += p.gap.Count
			continue
		}
		count++
		e.stats.Buffered--
		e.stats.Dropped++
	}
	first := e.buffer[0]
	e.buffer = e.buffer[e.inFlight-1:]
	e.buffer[0] = e.newGap(first.at, first.seq, count)
	e.stats.Bytes += gapSize
	e.inFlight, e.batch = 0, nil
}

// Due returns the time of the next append; false when nothing waits.
func (e *ExportQueue) Due() (time.Time, bool) { return e.nextAt, len(e.buffer) > 0 }

// Stats returns the counts so far.
func (e *ExportQueue) Stats() ExportStats { return e.stats }
