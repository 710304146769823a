package record

import (
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// RingOptions bounds a Ring. Zero values take the defaults.
type RingOptions struct {
	MaxRecords int // default 20,000
	MaxBytes   int // estimated memory, bytes; default 16 MiB

	// unbounded turns eviction off. Tests show with it that the bounds come
	// from eviction.
	unbounded bool
}

// Defaults of RingOptions.
const (
	DefaultRingRecords = 20_000
	// DefaultRingBytes is a quarter of the 64 MB of memory that a node may
	// spend on control.
	DefaultRingBytes = 16 << 20
)

// Ring keeps the most recent records within a bound of count and bytes. It is
// safe for concurrent use.
type Ring struct {
	opts RingOptions

	mu        sync.Mutex
	slots     []entry // circular; grows up to MaxRecords
	first     uint64  // sequence of the oldest entry kept
	next      uint64  // sequence of the next entry
	bytes     int
	evicted   int64
	newestOut time.Time // greatest time among evicted records
	byID      map[attempt.RequestID][]uint64
}

type entry struct {
	record Record
	size   int
}

// entryOverhead is the memory per record beyond Record.Size, bytes: the slot,
// spare slots after the last doubling, the index by request id and rounding by
// the allocator.
const entryOverhead = 400

// NewRing returns an empty ring.
func NewRing(o RingOptions) *Ring {
	if o.MaxRecords <= 0 {
		o.MaxRecords = DefaultRingRecords
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultRingBytes
	}
	return &Ring{opts: o, byID: map[attempt.RequestID][]uint64{}}
}

// Add keeps r and evicts the oldest records beyond the bounds. A record larger
// than the byte bound is evicted at once.
func (g *Ring) Add(r Record) {
	size := r.Size() + entryOverhead
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.opts.unbounded && g.len() > 0 && (g.len() >= g.opts.MaxRecords || g.bytes+size > g.opts.MaxBytes) {
		g.evict()
	}
	if !g.opts.unbounded && size > g.opts.MaxBytes {
		g.noteEvicted(r)
		return
	}
	if g.len() == len(g.slots) {
		g.grow()
	}
	*g.at(g.next) = entry{record: r, size: size}
	g.bytes += size
	if r.Request != nil {
		g.byID[r.Request.ID] = append(g.byID[r.Request.ID], g.next)
	}
	g.next++
}

func (g *Ring) len() int { return int(g.next - g.first) }

func (g *Ring) at(seq uint64) *entry { return &g.slots[seq%uint64(len(g.slots))] }

// grow doubles the slots, so that an idle node does not hold the whole ring.
func (g *Ring) grow() {
	size := max(64, 2*len(g.slots))
	if !g.opts.unbounded {
		size = min(size, g.opts.MaxRecords)
	}
	slots := make([]entry, size)
	for seq := g.first; seq < g.next; seq++ {
		slots[seq%uint64(size)] = *g.at(seq)
	}
	g.slots = slots
}

func (g *Ring) evict() {
	e := g.at(g.first)
	g.bytes -= e.size
	g.noteEvicted(e.record)
	if q := e.record.Request; q != nil {
		if seqs := g.byID[q.ID][1:]; len(seqs) > 0 {
			g.byID[q.ID] = seqs
		} else {
			delete(g.byID, q.ID)
		}
	}
	*e = entry{}
	g.first++
}

func (g *Ring) noteEvicted(r Record) {
	g.evicted++
	if r.At.After(g.newestOut) {
		g.newestOut = r.At
	}
}

// ByRequest returns the records of a request, oldest first.
func (g *Ring) ByRequest(id attempt.RequestID) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for _, seq := range g.byID[id] {
		out = append(out, g.at(seq).record)
	}
	return out
}

// ByTarget returns the records that concern a target (all when target is
// empty) with from <= At < to, oldest first. A zero time leaves that side open.
func (g *Ring) ByTarget(target string, from, to time.Time) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for seq := g.first; seq < g.next; seq++ {
		r := &g.at(seq).record
		if r.InRange(from, to) && r.Concerns(target) {
			out = append(out, *r)
		}
	}
	return out
}

// RingStats is how much a ring holds and what it has evicted.
type RingStats struct {
	Records int   `json:"records"`
	Bytes   int   `json:"bytes"` // estimated memory
	Evicted int64 `json:"evicted"`
	// CompleteSince: no record after this time was evicted. Zero when none was.
	CompleteSince time.Time `json:"complete_since"`
}

// Stats returns the current fill.
func (g *Ring) Stats() RingStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return RingStats{Records: g.len(), Bytes: g.bytes, Evicted: g.evicted, CompleteSince: g.newestOut}
}
