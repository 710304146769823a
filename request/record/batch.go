package record

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"sync"
	"time"
)

// Batch is what an exporter appends as one record to the log stream `decisions`.
type Batch struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	// SentAt is the node's time at the append. After an outage of the log, Records
	// may be older by the length of the outage.
	SentAt  time.Time `json:"sent_at"`
	Records []Record  `json:"records"`
	// SampledOut counts the plain successes of this incarnation that sampling
	// has left out so far.
	SampledOut int64 `json:"sampled_out,omitempty"`
}

// Encode returns the batch as JSON in gzip format.
func (b *Batch) Encode() ([]byte, error) {
	text, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("decision batch: %w", err)
	}
	return Compress(text), nil
}

// maxBatchBytes bounds the JSON of a batch, so that a corrupt record of the log
// cannot exhaust the reader's memory.
const maxBatchBytes = 16 << 20

var compressors = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // a valid level
	return w
}}

// Compress returns text in gzip format.
func Compress(text []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	_, _ = w.Write(text) // writing to a buffer does not fail
	_ = w.Close()
	return out.Bytes()
}

// DecodeBatch decodes the format of Batch.Encode.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return b, fmt.Errorf("decision batch: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxBatchBytes)).Decode(&b); err != nil {
		return Batch{}, fmt.Errorf("decision batch: %w", err)
	}
	return b, nil
}

// Gap is a run of consecutive records that a node created and that are missing.
type Gap struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	First       uint64 `json:"first"` // sequence of the first missing record
	Count       int64  `json:"count"`
	// Recorded is set when the node itself recorded the gap. The other gaps are
	// missing sequences, such as those of trimmed or unread batches.
	Recorded bool `json:"recorded"`
}

// Collector merges records from the log and from nodes' memory. It drops the
// duplicates that arise when the response to an append is lost and the append is
// retried. It is not safe for concurrent use.
type Collector struct {
	seen       map[Identity]bool
	records    []Record
	duplicates int

	// keepDuplicates is for tests: duplicates are added too.
	keepDuplicates bool
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{seen: map[Identity]bool{}} }

// Add adds r unless a record with the same identity was added before. Records
// without an identity are always added.
func (c *Collector) Add(r Record) {
	if r.Sequence > 0 && !c.keepDuplicates {
		if c.seen[r.Identity()] {
			c.duplicates++
			return
		}
		c.seen[r.Identity()] = true
	}
	c.records = append(c.records, r)
}

// Records returns the records ordered by time, then node and sequence.
func (c *Collector) Records() []Record {
	out := slices.Clone(c.records)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		if !a.At.Equal(b.At) {
			return a.At.Before(b.At)
		}
		if a.Node != b.Node {
			return a.Node < b.Node
		}
		return a.Sequence < b.Sequence
	})
	return out
}

// Duplicates returns the number of records that were dropped as duplicates.
func (c *Collector) Duplicates() int { return c.duplicates }

// Gaps returns the recorded gaps and those between the sequences that were added,
// ordered by node, incarnation and sequence.
func (c *Collector) Gaps() []Gap {
	type nodeProcess struct{ node, incarnation string }
	byProcess := map[nodeProcess][]Record{}
	for _, r := range c.records {
		if r.Sequence > 0 {
			process := nodeProcess{r.Node, r.Incarnation}
			byProcess[process] = append(byProcess[process], r)
		}
	}
	var gaps []Gap
	for process, records := range byProcess {
		sort.Slice(records, func(i, j int) bool { return records[i].Sequence < records[j].Sequence })
		next := records[0].Sequence
		for i := range records {
			r := &records[i]
			if r.Sequence > next {
				gaps = append(gaps, Gap{process.node, process.incarnation, next, int64(r.Sequence - next), false})
			}
			next = max(next, r.Sequence+1)
			if r.Kind == KindGap {
				gaps = append(gaps, Gap{process.node, process.incarnation, r.Sequence, r.Count, true})
				next = max(next, r.Sequence+uint64(r.Count))
			}
		}
	}
	sort.Slice(gaps, func(i, j int) bool {
		a, b := gaps[i], gaps[j]
		if a.Node != b.Node {
			return a.Node < b.Node
		}
		if a.Incarnation != b.Incarnation {
			return a.Incarnation < b.Incarnation
		}
		return a.First < b.First
	})
	return gaps
}
