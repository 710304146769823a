package order

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// BindingsOptions configure a Bindings. All nodes must use the same Window.
type BindingsOptions struct {
	Window     time.Duration // time for which the binding of a customer key is valid; default 24 h
	Retention  time.Duration // time for which the log is certain to keep records; 0: not known
	Interval   time.Duration // minimum time between two batches: max(20 ms, nodes × 10 ms); default 250 ms
	BatchSize  int           // maximum number of bindings in one record; default 1000
	MaxQueue   int           // maximum number of proposals that wait for the log; default 10,000
	StaleAfter time.Duration // time without a successful read after which the log is taken to be unavailable; default 2 s

	lastWins    bool // for tests: a later record replaces the first
	trustAppend bool // for tests: a proposal is bound without reading it back
	ignoreEra   bool // for tests: a restored log is read on from the same offset
}

func (opts BindingsOptions) withDefaults() BindingsOptions {
	if opts.Window <= 0 {
		opts.Window = 24 * time.Hour
	}
	if opts.Interval <= 0 {
		opts.Interval = 250 * time.Millisecond
	}
	if opts.BatchSize <= 0 {
		opts.BatchSize = 1000
	}
	if opts.MaxQueue <= 0 {
		opts.MaxQueue = 10_000
	}
	if opts.StaleAfter <= 0 {
		opts.StaleAfter = 2 * time.Second
	}
	return opts
}

// Batch is one record of stream "orders".
type Batch struct {
	ID    string    `json:"id"` // unique, so that a retried append has no further effect
	Items []Binding `json:"items"`
	// Era is the era of the log that the writer read. A record that is read in a later
	// era proves nothing: it may have been appended after the log was restored, by a
	// node that did not know of it. Earlier versions do not write it.
	Era *int64 `json:"era,omitempty"`
	// Rewritten states that the items were bound in an earlier era.
	Rewritten bool `json:"rewritten,omitempty"`
	// Marker, in a record without items, describes how Era began.
	Marker *EraMarker `json:"marker,omitempty"`
}

// Binding binds a customer key to the gate incarnation that may run it.
type Binding struct {
	Key   KeyID     `json:"key"`
	Owner Owner     `json:"owner"`
	At    time.Time `json:"at"` // time of binding
}

// LookupState is the result of Lookup.
type LookupState int

const (
	Unbound     LookupState = iota // propose a binding
	Pending                        // proposed; call Lookup again when Apply returns the key
	Bound                          // the returned Key names the owner
	Unavailable                    // the state of the log is not known; outcome unknown, reason order-binding-unavailable
)

// compactBinding is a Binding as kept in memory.
type compactBinding struct {
	ownerIndex int32 // index into owners
	boundAtMS  int64 // Unix milliseconds
}

// Bindings holds the state of stream "orders" at one node, and the proposals of
// this node. A binding is valid only after it was read from the log; the response
// to an append is not enough. It is not safe for concurrent use.
type Bindings struct {
	opts            BindingsOptions
	nextOffset      int64 // offset of the next record to apply
	bound           map[KeyID]compactBinding
	expiries        expiryBuckets[KeyID]
	owners          []Owner
	compactOwnersAt int // number of owners at which compactOwners runs
	ownerIndexes    map[Owner]int32

	eraState
	currentMembers  []Owner // see SetMembers
	membersAtRead   []Owner // currentMembers when the stream was last read to its end
	queued          []Binding
	pending         map[KeyID]bool // proposed and not yet read back
	inFlight        *Batch
	appending       bool // inFlight has been handed out and its append has not ended
	lastAppend      time.Time
	lastBatch       uint64 // number of the last batch
	self            Owner
	lastRead        time.Time
	incompleteUntil time.Time // records may be missing, so no key is known to be unbound before this time
}

// NewBindings returns an empty state that expects the offset 1.
func NewBindings(opts BindingsOptions, self Owner) *Bindings {
	return &Bindings{
		opts: opts.withDefaults(), self: self, nextOffset: 1, compactOwnersAt: minOwnersToCompact,
		bound: map[KeyID]compactBinding{}, ownerIndexes: map[Owner]int32{}, pending: map[KeyID]bool{},
	}
}

// Next returns the offset from which to read.
func (b *Bindings) Next() int64 { return b.nextOffset }

// CaughtUp reports that the caller read the stream to its end.
func (b *Bindings) CaughtUp(now time.Time) {
	b.lastRead, b.membersAtRead = now, b.currentMembers
	if !b.eraRead {
		b.eraRead = true
		b.prepareRewrite()
	}
}

// Trimmed reports that the log no longer keeps records before first. When it
// keeps records longer than Window, the bindings in the missing records have
// ended; otherwise unknown keys stay unavailable until they have ended.
func (b *Bindings) Trimmed(now time.Time, first int64) {
	if first <= b.nextOffset {
		return
	}
	b.nextOffset = first
	if until := now.Add(b.opts.Window - b.opts.Retention); until.After(b.incompleteUntil) {
		b.incompleteUntil = until
	}
}

// Lookup returns the state of a customer key and, when Bound, the key for the
// Registry. It uses only the local state, so that bound keys still work during
// an outage of the log.
func (b *Bindings) Lookup(now time.Time, id KeyID, service string) (LookupState, Key) {
	if current, ok := b.bound[id]; ok {
		boundAt := time.UnixMilli(current.boundAtMS)
		if until, conflict := b.conflicts[id]; conflict && now.Before(until) {
			return Unavailable, Key{}
		}
		if now.Before(boundAt.Add(b.opts.Window)) {
			return Bound, Key{ID: id, Owner: b.owners[current.ownerIndex], Service: service, IssuedAt: boundAt, ExpiresAt: boundAt.Add(b.opts.Window)}
		}
	}
	if b.pending[id] && b.opts.trustAppend {
		return Bound, Key{ID: id, Owner: b.self, Service: service, IssuedAt: now, ExpiresAt: now.Add(b.opts.Window)}
	}
	if now.Before(b.incompleteUntil) || !b.recovered(now) || b.lastRead.IsZero() || now.Sub(b.lastRead) > b.opts.StaleAfter {
		return Unavailable, Key{}
	}
	if b.pending[id] {
		return Pending, Key{}
	}
	return Unbound, Key{}
}

// Propose queues a binding of an unbound key. It returns false when too many
// proposals wait for the log.
func (b *Bindings) Propose(now time.Time, id KeyID, owner Owner) bool {
	if b.pending[id] {
		return true
	}
	if len(b.pending) >= b.opts.MaxQueue {
		return false
	}
	b.pending[id] = true
	b.queued = append(b.queued, Binding{Key: id, Owner: owner, At: now.UTC().Truncate(time.Millisecond)})
	return true
}

// SetInterval sets the minimum time between two batches.
func (b *Bindings) SetInterval(d time.Duration) { b.opts.Interval = d }

// NextBatch returns the record to append now, if any. The caller reports the
// end of the append by Appended. Only one append is in progress at a time.
func (b *Bindings) NextBatch(now time.Time) ([]byte, bool) {
	if b.appending || now.Sub(b.lastAppend) < b.opts.Interval {
		return nil, false
	}
	if b.inFlight == nil {
		batch := b.recoveryBatch()
		if batch == nil && len(b.queued) > 0 {
			n := min(len(b.queued), b.opts.BatchSize)
			batch = &Batch{Items: append([]Binding(nil), b.queued[:n]...)}
			b.queued = b.queued[n:]
		}
		if batch == nil {
			return nil, false
		}
		b.lastBatch++
		batch.ID = fmt.Sprintf("%s/%s/%d", b.self.Node, b.self.Incarnation, b.lastBatch)
		era := b.era
		batch.Era = &era
		b.inFlight = batch
	}
	data, err := json.Marshal(b.inFlight)
	if err != nil { // a Batch has only fields that always marshal
		return nil, false
	}
	b.appending, b.lastAppend = true, now
	return data, true
}

// Appended reports the end of an append. When its response was lost (ok is
// false), NextBatch returns the same record with the same ID again, unless
// Apply reads it first.
func (b *Bindings) Appended(_ time.Time, ok bool) {
	b.appending = false
	if ok {
		b.inFlight = nil
	}
}

// Apply applies one record and returns the pending keys that it binds. Records
// below Next were applied before and are skipped; a record above Next means
// that the caller left out records and is refused.
func (b *Bindings) Apply(now time.Time, r eventlog.Record) ([]KeyID, error) {
	if r.Offset < b.nextOffset {
		return nil, nil
	}
	if r.Offset > b.nextOffset {
		return nil, fmt.Errorf("orders record %d: expected offset %d", r.Offset, b.nextOffset)
	}
	b.nextOffset = r.Offset + 1
	b.removeExpired(now)
	var batch Batch
	if err := json.Unmarshal(r.Data, &batch); err != nil {
		return nil, fmt.Errorf("orders record %d: %w", r.Offset, err)
	}
	if b.inFlight != nil && b.inFlight.ID == batch.ID {
		b.inFlight = nil
	}
	// The IDs of applied batches need not be stored: when a batch was appended
	// twice, its bindings have the same times and do not replace themselves.
	if !b.valid(batch) {
		return nil, nil
	}
	var decided []KeyID
	for _, item := range batch.Items {
		b.applyBinding(item, batch.Rewritten)
		if b.pending[item.Key] {
			delete(b.pending, item.Key)
			decided = append(decided, item.Key)
		}
	}
	return decided, nil
}

// applyBinding applies one binding. It compares only times in the records, so
// that all nodes agree regardless of their clocks: a key can be bound again
// when the new binding is at least Window younger than the current one.
func (b *Bindings) applyBinding(item Binding, rewritten bool) {
	if current, ok := b.bound[item.Key]; ok && !b.opts.lastWins {
		window, age := b.opts.Window.Milliseconds(), item.At.UnixMilli()-current.boundAtMS
		if age < window {
			if age > -window {
				b.compare(item, current, rewritten)
			}
			return
		}
	}
	delete(b.unconfirmed, item.Key)
	b.bound[item.Key] = compactBinding{ownerIndex: b.ownerIndex(item.Owner), boundAtMS: item.At.UnixMilli()}
	// Kept for twice the window: while one node takes a binding as valid by its
	// own clock, every node must know it.
	b.expiries.add(item.At.Add(2*b.opts.Window), item.Key)
}

func (b *Bindings) removeExpired(now time.Time) {
	b.expiries.sweep(now, func(id KeyID) bool {
		current, ok := b.bound[id]
		if ok && now.Before(time.UnixMilli(current.boundAtMS).Add(2*b.opts.Window)) {
			return true // bound again; the new binding has its own expiry
		}
		delete(b.bound, id)
		delete(b.unconfirmed, id)
		delete(b.conflicts, id)
		return true
	})
	if len(b.owners) >= b.compactOwnersAt {
		b.compactOwners()
	}
}

// minOwnersToCompact is the number of owners below which none is removed.
const minOwnersToCompact = 1024

// compactOwners removes owners without bindings, such as gates that ended long
// ago.
func (b *Bindings) compactOwners() {
	old := b.owners
	b.owners, b.ownerIndexes = nil, map[Owner]int32{}
	for id, binding := range b.bound {
		binding.ownerIndex = b.ownerIndex(old[binding.ownerIndex])
		b.bound[id] = binding
	}
	b.compactOwnersAt = max(minOwnersToCompact, 2*len(b.owners))
}

func (b *Bindings) ownerIndex(owner Owner) int32 {
	index, ok := b.ownerIndexes[owner]
	if !ok {
		index = int32(len(b.owners))
		b.owners = append(b.owners, owner)
		b.ownerIndexes[owner] = index
	}
	return index
}

// Len returns the number of bindings in memory.
func (b *Bindings) Len() int { return len(b.bound) }
