package order

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// BindingsOptions configure a Bindings. All nodes must use the same Window.
type BindingsOptions struct {
	Window     time.Duration // time for which a foreign key is honoured; default 24 h
	Retention  time.Duration // time for which the log certainly keeps records; 0: not known
	Interval   time.Duration // least time between two batches: max(20 ms, nodes × 10 ms); default 250 ms
	BatchSize  int           // bindings in one record; default 1000
	MaxQueue   int           // proposals that wait for the log; default 10,000
	StaleAfter time.Duration // time without a successful read after which the log counts as down; default 2 s

	lastWins    bool // test switch: a later record replaces the first
	trustAppend bool // test switch: a proposal counts as bound without reading it back
}

func (o BindingsOptions) withDefaults() BindingsOptions {
	if o.Window <= 0 {
		o.Window = 24 * time.Hour
	}
	if o.Interval <= 0 {
		o.Interval = 250 * time.Millisecond
	}
	if o.BatchSize <= 0 {
		o.BatchSize = 1000
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = 10_000
	}
	if o.StaleAfter <= 0 {
		o.StaleAfter = 2 * time.Second
	}
	return o
}

// Batch is one record of stream "orders".
type Batch struct {
	ID    string    `json:"id"` // identity: a repeated append counts once
	Items []Binding `json:"items"`
}

// Binding binds a foreign key to the gate incarnation that may run it.
type Binding struct {
	Key   KeyID     `json:"key"`
	Owner Owner     `json:"owner"`
	At    time.Time `json:"at"` // time of binding
}

// LookupState is the result of Lookup.
type LookupState int

const (
	Unbound     LookupState = iota // propose a binding
	Pending                        // proposed; ask again when Apply names the key
	Bound                          // Key holds the owner
	Unavailable                    // the log cannot say; outcome unknown, reason order-binding-unavailable
)

type bound struct {
	owner int32 // index into owners
	at    int64 // Unix milliseconds
}

// Bindings is the fold of stream "orders" at one node, and the proposals of
// this node. A binding counts only when it was read from the log, never by
// the answer of an append. It is not safe for concurrent use.
type Bindings struct {
	o         BindingsOptions
	next      int64 // offset of the next record to apply
	bound     map[KeyID]bound
	ends      expiry[KeyID]
	owners    []Owner
	compactAt int // number of owners at which to compact
	index     map[Owner]int32

	queued      []Binding
	pending     map[KeyID]bool // proposed and not yet read back
	inFlight    *Batch
	sent        bool // inFlight has been handed out and its append has not ended
	lastSent    time.Time
	serial      uint64
	self        Owner
	lastRead    time.Time
	unsureUntil time.Time // records may be missing: nothing is known to be unbound before this time
}

// NewBindings returns an empty fold that expects the offset 1.
func NewBindings(o BindingsOptions, self Owner) *Bindings {
	return &Bindings{
		o: o.withDefaults(), self: self, next: 1, compactAt: minOwners,
		bound: map[KeyID]bound{}, index: map[Owner]int32{}, pending: map[KeyID]bool{},
	}
}

// Next returns the offset from which to read.
func (b *Bindings) Next() int64 { return b.next }

// CaughtUp reports a successful read to the end of the stream.
func (b *Bindings) CaughtUp(now time.Time) { b.lastRead = now }

// Trimmed reports that records before first are no longer kept. Bindings in
// the missing records ended when the log keeps records longer than Window;
// else unknown keys stay unavailable until they have ended.
func (b *Bindings) Trimmed(now time.Time, first int64) {
	if first <= b.next {
		return
	}
	b.next = first
	if until := now.Add(b.o.Window - b.o.Retention); until.After(b.unsureUntil) {
		b.unsureUntil = until
	}
}

// Lookup returns the state of a foreign key and, when Bound, the key for the
// Registry. Only the fold decides, so that in an outage bound keys still work.
func (b *Bindings) Lookup(now time.Time, id KeyID, service string) (LookupState, Key) {
	if e, ok := b.bound[id]; ok {
		at := time.UnixMilli(e.at)
		if now.Before(at.Add(b.o.Window)) {
			return Bound, Key{ID: id, Owner: b.owners[e.owner], Service: service, IssuedAt: at, ExpiresAt: at.Add(b.o.Window)}
		}
	}
	if b.pending[id] && b.o.trustAppend {
		return Bound, Key{ID: id, Owner: b.self, Service: service, IssuedAt: now, ExpiresAt: now.Add(b.o.Window)}
	}
	if now.Before(b.unsureUntil) || b.lastRead.IsZero() || now.Sub(b.lastRead) > b.o.StaleAfter {
		return Unavailable, Key{}
	}
	if b.pending[id] {
		return Pending, Key{}
	}
	return Unbound, Key{}
}

// Propose queues a binding of an unbound key. It returns false when too many
// wait for the log.
func (b *Bindings) Propose(now time.Time, id KeyID, owner Owner) bool {
	if b.pending[id] {
		return true
	}
	if len(b.pending) >= b.o.MaxQueue {
		return false
	}
	b.pending[id] = true
	b.queued = append(b.queued, Binding{Key: id, Owner: owner, At: now.UTC().Truncate(time.Millisecond)})
	return true
}

// SetInterval sets the least time between two batches.
func (b *Bindings) SetInterval(d time.Duration) { b.o.Interval = d }

// NextBatch returns the record to append now, if any. The caller reports the
// end of the append by Appended. One append is under way at a time.
func (b *Bindings) NextBatch(now time.Time) ([]byte, bool) {
	if b.sent || now.Sub(b.lastSent) < b.o.Interval {
		return nil, false
	}
	if b.inFlight == nil {
		if len(b.queued) == 0 {
			return nil, false
		}
		n := min(len(b.queued), b.o.BatchSize)
		b.serial++
		b.inFlight = &Batch{ID: fmt.Sprintf("%s/%s/%d", b.self.Node, b.self.Incarnation, b.serial), Items: append([]Binding(nil), b.queued[:n]...)}
		b.queued = b.queued[n:]
	}
	data, err := json.Marshal(b.inFlight)
	if err != nil { // a Batch has only fields that always marshal
		return nil, false
	}
	b.sent, b.lastSent = true, now
	return data, true
}

// Appended reports the end of an append. When its answer was lost (ok is
// false) the same record, with its identity, is offered again unless Apply
// reads it first.
func (b *Bindings) Appended(_ time.Time, ok bool) {
	b.sent = false
	if ok {
		b.inFlight = nil
	}
}

// Apply folds one record and returns the keys that are decided by it. Records
// below Next were applied before and are skipped; a record above Next means
// that the caller left out records and is refused.
func (b *Bindings) Apply(now time.Time, r eventlog.Record) ([]KeyID, error) {
	if r.Offset < b.next {
		return nil, nil
	}
	if r.Offset > b.next {
		return nil, fmt.Errorf("orders record %d: expected offset %d", r.Offset, b.next)
	}
	b.next = r.Offset + 1
	b.expire(now)
	var batch Batch
	if err := json.Unmarshal(r.Data, &batch); err != nil {
		return nil, fmt.Errorf("orders record %d: %w", r.Offset, err)
	}
	if b.inFlight != nil && b.inFlight.ID == batch.ID {
		b.inFlight = nil
	}
	// A batch that was appended twice needs no memory of its identity: its
	// bindings carry their first time and lose against themselves.
	var decided []KeyID
	for _, item := range batch.Items {
		b.fold(item)
		if b.pending[item.Key] {
			delete(b.pending, item.Key)
			decided = append(decided, item.Key)
		}
	}
	return decided, nil
}

// fold applies one binding. Only times in the records decide, so that all
// nodes agree whatever their clocks say: a key binds again when the new
// binding is at least Window younger than the one in force.
func (b *Bindings) fold(item Binding) {
	if e, ok := b.bound[item.Key]; ok && !b.o.lastWins {
		if item.At.UnixMilli() < e.at+b.o.Window.Milliseconds() {
			return
		}
	}
	b.bound[item.Key] = bound{owner: b.ownerIndex(item.Owner), at: item.At.UnixMilli()}
	// Twice the window: a binding that one node still honours by its clock
	// must be known to the fold of every node.
	b.ends.add(item.At.Add(2*b.o.Window), item.Key)
}

func (b *Bindings) expire(now time.Time) {
	b.ends.sweep(now, func(id KeyID) bool {
		e, ok := b.bound[id]
		if ok && now.Before(time.UnixMilli(e.at).Add(2*b.o.Window)) {
			return true // bound again; its own end is listed
		}
		delete(b.bound, id)
		return true
	})
	if len(b.owners) >= b.compactAt {
		b.compact()
	}
}

// minOwners is the number of owners below which none is forgotten.
const minOwners = 1024

// compact forgets owners without bindings, such as gates that ended long ago.
func (b *Bindings) compact() {
	old := b.owners
	b.owners, b.index = nil, map[Owner]int32{}
	for id, e := range b.bound {
		e.owner = b.ownerIndex(old[e.owner])
		b.bound[id] = e
	}
	b.compactAt = max(minOwners, 2*len(b.owners))
}

func (b *Bindings) ownerIndex(o Owner) int32 {
	i, ok := b.index[o]
	if !ok {
		i = int32(len(b.owners))
		b.owners = append(b.owners, o)
		b.index[o] = i
	}
	return i
}

// Len returns the number of bindings in memory.
func (b *Bindings) Len() int { return len(b.bound) }
