package record

import (
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// RingOptions holds the bounds of a Ring. Zero values take the defaults.
type RingOptions struct {
	MaxRecords int // default 20,000
	MaxBytes   int // estimated memory, bytes; default 16 MiB

	// unbounded is for tests: nothing is evicted, so that the ring exceeds its
	// bounds.
	unbounded bool
}

// Defaults of RingOptions.
const (
	DefaultRingRecords = 20_000
	// DefaultRingBytes is a quarter of the 64 MB of memory that a node may
	// spend on control.
	DefaultRingBytes = 16 << 20
)

// Ring keeps the most recent records within bounds on their number and memory. It
// is safe for concurrent use.
type Ring struct {
	opts RingOptions

	mu            sync.Mutex
	items         []item // circular; grows up to MaxRecords
	oldest        uint64 // position of the oldest item, counted from the first ever added
	next          uint64 // position of the next item
	bytes         int
	evicted       int64
	newestEvicted time.Time // greatest time among evicted records
	byRequest     map[attempt.RequestID][]uint64
}

type item struct {
	record Record
	size   int
}

// itemOverhead is the memory per record beyond Record.Size, bytes: the item, unused
// items since the slice last doubled, the index by request id and rounding by the
// allocator.
const itemOverhead = 400

// NewRing returns an empty ring.
func NewRing(o RingOptions) *Ring {
	if o.MaxRecords <= 0 {
		o.MaxRecords = DefaultRingRecords
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultRingBytes
	}
	return &Ring{opts: o, byRequest: map[attempt.RequestID][]uint64{}}
}

// Add stores r and evicts the oldest records beyond the bounds. A record larger
// than the byte bound is evicted at once.
func (ring *Ring) Add(r Record) {
	size := r.Size() + itemOverhead
	ring.mu.Lock()
	defer ring.mu.Unlock()
	for !ring.opts.unbounded && ring.len() > 0 && (ring.len() >= ring.opts.MaxRecords || ring.bytes+size > ring.opts.MaxBytes) {
		ring.evict()
	}
	if !ring.opts.unbounded && size > ring.opts.MaxBytes {
		ring.countEvicted(r)
		return
	}
	if ring.len() == len(ring.items) {
		ring.grow()
	}
	*ring.itemAt(ring.next) = item{record: r, size: size}
	ring.bytes += size
	if r.Request != nil {
		ring.byRequest[r.Request.ID] = append(ring.byRequest[r.Request.ID], ring.next)
	}
	ring.next++
}

func (ring *Ring) len() int { return int(ring.next - ring.oldest) }

func (ring *Ring) itemAt(position uint64) *item { return &ring.items[position%uint64(len(ring.items))] }

// grow doubles the slice of items, so that an idle node does not allocate the whole
// ring.
func (ring *Ring) grow() {
	size := max(64, 2*len(ring.items))
	if !ring.opts.unbounded {
		size = min(size, ring.opts.MaxRecords)
	}
	items := make([]item, size)
	for position := ring.oldest; position < ring.next; position++ {
		items[position%uint64(size)] = *ring.itemAt(position)
	}
	ring.items = items
}

// evict removes the oldest record.
func (ring *Ring) evict() {
	evicted := ring.itemAt(ring.oldest)
	ring.bytes -= evicted.size
	ring.countEvicted(evicted.record)
	if request := evicted.record.Request; request != nil {
		if positions := ring.byRequest[request.ID][1:]; len(positions) > 0 {
			ring.byRequest[request.ID] = positions
		} else {
			delete(ring.byRequest, request.ID)
		}
	}
	*evicted = item{}
	ring.oldest++
}

func (ring *Ring) countEvicted(r Record) {
	ring.evicted++
	if r.At.After(ring.newestEvicted) {
		ring.newestEvicted = r.At
	}
}

// ByRequest returns the records of a request, oldest first.
func (ring *Ring) ByRequest(id attempt.RequestID) []Record {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	var out []Record
	for _, position := range ring.byRequest[id] {
		out = append(out, ring.itemAt(position).record)
	}
	return out
}

// ByTarget returns the records that concern a target (all when target is empty)
// with from <= At < to, oldest first. A zero time is no bound.
func (ring *Ring) ByTarget(target string, from, to time.Time) []Record {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	var out []Record
	for position := ring.oldest; position < ring.next; position++ {
		r := &ring.itemAt(position).record
		if r.InRange(from, to) && r.Concerns(target) {
			out = append(out, *r)
		}
	}
	return out
}

// RingStats holds the size of a ring and the number of evicted records.
type RingStats struct {
	Records int   `json:"records"`
	Bytes   int   `json:"bytes"` // estimated memory
	Evicted int64 `json:"evicted"`
	// CompleteSince is the time after which no record was evicted; zero when none
	// was evicted at all.
	CompleteSince time.Time `json:"complete_since"`
}

// Stats returns the current statistics.
func (ring *Ring) Stats() RingStats {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	return RingStats{Records: ring.len(), Bytes: ring.bytes, Evicted: ring.evicted, CompleteSince: ring.newestEvicted}
}
