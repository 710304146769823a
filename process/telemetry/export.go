package telemetry

import (
	"encoding/json"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// ExportOptions configure an ExportQueue. Zero values take the defaults.
type ExportOptions struct {
	Node        string
	Incarnation attempt.Incarnation
	// Interval between appends. Default 4 s, the budget of 0.25 appends/s per node
	// (200/s for 790 nodes).
	Interval time.Duration
	// BatchBytes bounds the compressed data of one append approximately: the
	// compression ratio of the last batch determines the size of the next.
	// Default 12 KiB, which in the encoding of the log's protocol is 4 KiB/s of
	// the 10 KB/s that a node may spend on control traffic.
	BatchBytes int
	// BufferBytes bounds the encoded records that wait for an append, such as
	// during a log outage. Default 4 MiB. A quarter is reserved for state changes.
	BufferBytes int
	// SampleEvery is the number of plain successes of which one is exported.
	// Default 1000.
	SampleEvery int

	// These turn off gap records, the interval between appends and the space
	// reserved for state changes. Tests use them to show what each prevents.
	noGapRecords bool
	noInterval   bool
	noReserve    bool
}

const (
	defaultExportInterval = 4 * time.Second
	defaultBatchBytes     = 12 << 10
	defaultBufferBytes    = 4 << 20
	defaultSampleEvery    = 1000

	// The initial compression ratio, and the upper bound of the ratio taken from the
	// last batch. The margin keeps a batch that compresses worse than the last one
	// near its bound.
	initialRatio = 2
	maxRatio     = 20
	ratioMargin  = 0.8
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

// ExportStats counts records by their state, and appends.
type ExportStats struct {
	Numbered   int64 `json:"made"`        // given a sequence number
	Delivered  int64 `json:"delivered"`   // in a confirmed append; gap records not counted
	Dropped    int64 `json:"dropped"`     // counted by gap records
	Buffered   int64 `json:"buffered"`    // waiting for an append
	Bytes      int   `json:"bytes"`       // size of the encoded records that wait
	SampledOut int64 `json:"sampled_out"` // plain successes not in the sample
	Appends    int64 `json:"appends"`
	Failures   int64 `json:"failures"` // appends not confirmed
}

// bufferedRecord is an encoded record, or a gap record whose count may still grow.
type bufferedRecord struct {
	data json.RawMessage
	gap  *record.Record // encoded when it is sent
	size int
	at   time.Time
	seq  uint64
}

// gapRecordBytes is the size that is assumed for a gap record, whose count may grow.
const gapRecordBytes = 256

// ExportQueue is the deterministic core of the exporter: it samples, numbers,
// buffers and batches records. It is not safe for concurrent use.
type ExportQueue struct {
	opts            ExportOptions
	incarnation     string
	buffer          []bufferedRecord
	inFlight        int // number of leading records of buffer in the current batch
	batch           []json.RawMessage
	batchSampledOut int64 // SampledOut when the batch was filled
	ratio           float64
	nextSeq         uint64
	nextAt          time.Time
	plainSuccesses  int64
	stats           ExportStats
}

// NewExportQueue returns a queue with an empty buffer.
func NewExportQueue(opts ExportOptions) *ExportQueue {
	return &ExportQueue{opts: opts.withDefaults(), incarnation: opts.Incarnation.String(), nextSeq: 1, ratio: initialRatio}
}

// Add buffers a record for export: every refusal, unknown outcome, retry and state
// change, and one in SampleEvery plain successes. It returns the record with the
// identity under which it is exported; a sampled-out record has none.
func (q *ExportQueue) Add(r record.Record) record.Record {
	r.Node = q.opts.Node
	if r.PlainSuccess() {
		q.plainSuccesses++
		if (q.plainSuccesses-1)%int64(q.opts.SampleEvery) != 0 {
			q.stats.SampledOut++
			return r
		}
	}
	r.Incarnation, r.Sequence = q.incarnation, q.nextSeq
	q.nextSeq++
	q.stats.Numbered++
	data, err := json.Marshal(r)
	limit := q.opts.BufferBytes
	if r.Change == nil && !q.opts.noReserve {
		limit -= limit / 4
	}
	// A record that fits no batch would block the buffer forever.
	if err != nil || len(data) > q.opts.BatchBytes || q.stats.Bytes+len(data) > limit {
		q.drop(r)
		return r
	}
	q.push(bufferedRecord{data: data, size: len(data), at: r.At, seq: r.Sequence})
	q.stats.Buffered++
	return r
}

func (q *ExportQueue) push(r bufferedRecord) {
	q.buffer = append(q.buffer, r)
	q.stats.Bytes += r.size
}

// drop counts r in the gap record at the end of the buffer, or adds a gap record.
// There is at most one gap record between two records, so the buffer exceeds its
// bound by at most gapRecordBytes.
func (q *ExportQueue) drop(r record.Record) {
	q.stats.Dropped++
	if q.opts.noGapRecords {
		return
	}
	if last := len(q.buffer) - 1; last >= q.inFlight && q.buffer[last].gap != nil {
		q.buffer[last].gap.Count++
		return
	}
	q.push(q.newGap(r.At, r.Sequence, 1))
}

func (q *ExportQueue) newGap(at time.Time, first uint64, count int64) bufferedRecord {
	return bufferedRecord{size: gapRecordBytes, at: at, seq: first, gap: &record.Record{
		At: at, Node: q.opts.Node, Incarnation: q.incarnation, Sequence: first, Kind: record.KindGap, Count: count,
	}}
}

// Next returns the batch to append at now, if one is due. It returns the same
// records until Done confirms them, because an append without a response may have
// taken effect; readers recognize the duplicates by their identity.
func (q *ExportQueue) Next(now time.Time) (EncodedBatch, bool) {
	if len(q.buffer) == 0 || (now.Before(q.nextAt) && !q.opts.noInterval) {
		return EncodedBatch{}, false
	}
	if q.inFlight == 0 {
		q.fillBatch()
	}
	q.nextAt = now.Add(q.opts.Interval)
	q.stats.Appends++
	return EncodedBatch{Node: q.opts.Node, Incarnation: q.incarnation, SentAt: now, Records: q.batch, SampledOut: q.batchSampledOut}, true
}

// EncodedBatch is a record.Batch to append whose records are already encoded. It
// stays valid after further calls of the ExportQueue.
type EncodedBatch struct {
	Node        string            `json:"node"`
	Incarnation string            `json:"incarnation"`
	SentAt      time.Time         `json:"sent_at"`
	Records     []json.RawMessage `json:"records"`
	SampledOut  int64             `json:"sampled_out,omitempty"`
}

// Encode returns the data to append. It takes about a millisecond, so callers
// should not hold the lock that guards the ExportQueue.
func (b EncodedBatch) Encode() []byte {
	text, _ := json.Marshal(b) // cannot fail, since the records are already encoded
	return record.Compress(text)
}

func (q *ExportQueue) fillBatch() {
	q.batch, q.batchSampledOut = nil, q.stats.SampledOut
	limit, size := int(float64(q.opts.BatchBytes)*q.ratio), 0
	for i := range q.buffer {
		r := &q.buffer[i]
		if size += r.size; size > limit && i > 0 {
			break
		}
		data := r.data
		if r.gap != nil {
			data, _ = json.Marshal(r.gap) // cannot fail for a gap record
		}
		q.batch = append(q.batch, data)
	}
	q.inFlight = len(q.batch)
}

// Done takes the result of appending the batch of the last Next and the batch's
// encoded size in bytes. Without an error it removes the batch from the buffer.
func (q *ExportQueue) Done(size int, err error) {
	if err != nil {
		q.stats.Failures++
		return
	}
	raw := 0
	for i := range q.inFlight {
		r := &q.buffer[i]
		raw += r.size
		q.stats.Bytes -= r.size
		if r.gap == nil {
			q.stats.Buffered--
			q.stats.Delivered++
		}
		*r = bufferedRecord{}
	}
	q.buffer = q.buffer[q.inFlight:]
	if len(q.buffer) == 0 {
		q.buffer = nil
	}
	q.inFlight, q.batch = 0, nil
	q.ratio = min(max(ratioMargin*float64(raw)/float64(max(size, 1)), 1), maxRatio)
}

// Reject replaces the batch of the last Next, which the log refused as invalid, by
// one gap record: retrying the batch would block all later records forever. One
// gap record suffices because the sequence numbers in the buffer are contiguous.
func (q *ExportQueue) Reject() {
	q.stats.Failures++
	if q.inFlight == 0 {
		return
	}
	count := int64(0)
	for i := range q.inFlight {
		r := &q.buffer[i]
		q.stats.Bytes -= r.size
		if r.gap != nil {
			count += r.gap.Count
			continue
		}
		count++
		q.stats.Buffered--
		q.stats.Dropped++
	}
	first := q.buffer[0]
	q.buffer = q.buffer[q.inFlight-1:]
	q.buffer[0] = q.newGap(first.at, first.seq, count)
	q.stats.Bytes += gapRecordBytes
	q.inFlight, q.batch = 0, nil
}

// Due returns the time of the next append, or false when the buffer is empty.
func (q *ExportQueue) Due() (time.Time, bool) { return q.nextAt, len(q.buffer) > 0 }

// Stats returns the counts so far.
func (q *ExportQueue) Stats() ExportStats { return q.stats }
