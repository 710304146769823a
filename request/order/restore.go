package order

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// maxClockDifference is by how much the clocks of two nodes may differ.
const maxClockDifference = time.Minute

// EraMarker tells about the beginning of an era.
type EraMarker struct {
	// Seen is the time at which the writer first read the stream in this era. Bindings
	// that the log lost by coming back from an older copy were made before.
	Seen time.Time `json:"seen"`
	// Restored states that the log was restored when the era began. Otherwise the era
	// is the first in which the stream is used.
	Restored bool `json:"restored,omitempty"`
	// Done states that Writer read the stream before the log was restored and that the
	// stream now has all bindings that it knew. Members are the nodes that may have known
	// bindings that Writer did not.
	Done    bool    `json:"done,omitempty"`
	Writer  *Owner  `json:"writer,omitempty"`
	Members []Owner `json:"members,omitempty"`
}

// eraState is the part of Bindings that answers a log that comes back from an older
// copy. Bindings that it lost are known only to the nodes that read them, and such a
// key must not be bound again. A node keeps all bindings that it knows and writes
// them again in the new era. All other keys are unavailable until each node that may know
// a lost binding has done so, or until the lost bindings have ended.
type eraState struct {
	era           int64
	eraKnown      bool      // a page was read
	eraSeen       time.Time // when this node first read the stream in this era
	eraRead       bool      // the stream was read to its end in this era
	restored      bool      // this node read an earlier era
	earlierEra    bool      // the stream has records of an earlier era
	hasMarker     bool      // the stream has a marker of this era
	wroteMarker   bool      // this node wrote a marker of this era
	wroteRestored bool      // this node wrote a marker that says Restored
	// restoredSeen is the earliest time at which a node saw that the log had been
	// restored to this era; zero when no marker says so.
	restoredSeen time.Time

	unconfirmed map[KeyID]bool // bound in an earlier era and not yet read in this one
	toRewrite   []KeyID
	// readFormerEraToEnd states that this node missed no binding of the earlier eras, and members
	// are the nodes that may know others.
	readFormerEraToEnd bool
	members            map[Owner]bool
	wroteDone          bool
	done               map[Owner]bool      // nodes that wrote their bindings again
	required           map[Owner]bool      // members of all nodes in done
	rewritten          int                 // number of bindings written again in this era
	conflicts          map[KeyID]time.Time // bound to two owners; the end of the later binding
	found              []Conflict
}

// Conflict is a customer key that is bound to two owners.
type Conflict struct {
	Key          KeyID
	Known, Other Owner
}

// Era returns the era of the log that was read last.
func (b *Bindings) Era() int64 { return b.era }

// Rewritten returns the number of bindings that were written again in this era.
func (b *Bindings) Rewritten() int { return b.rewritten }

// TakeConflicts returns the conflicts that were found since the last call.
func (b *Bindings) TakeConflicts() []Conflict {
	found := b.found
	b.found = nil
	return found
}

// ObserveEra takes the era of a page before its records are applied. In another era
// than before it reports that the log was restored: the page must be dropped and the
// stream read again from Next. It then returns the proposed keys, which may be bound
// elsewhere and are given up.
func (b *Bindings) ObserveEra(now time.Time, era int64) ([]KeyID, bool) {
	if b.eraKnown && era != b.era && !b.opts.ignoreEra {
		return b.Restored(now, era), true
	}
	if !b.eraKnown {
		b.era, b.eraKnown, b.eraSeen = era, true, now
		b.done, b.required = map[Owner]bool{}, map[Owner]bool{}
	}
	return nil, false
}

// Restored reports that the log came back from an older copy and returns the proposed
// keys, which are given up. The era is the same as before when the log does not
// state it and the offset to read was beyond the end.
func (b *Bindings) Restored(now time.Time, era int64) []KeyID {
	if b.opts.ignoreEra {
		b.nextOffset = 1
		return nil
	}
	readFormerEraToEnd, members := b.formerMembers(now)
	b.nextOffset, b.lastRead = 1, time.Time{}
	b.eraState = eraState{readFormerEraToEnd: readFormerEraToEnd, members: members, done: map[Owner]bool{}, required: map[Owner]bool{},
		era: era, eraKnown: true, eraSeen: now, restored: true, unconfirmed: map[KeyID]bool{}, conflicts: b.conflicts, found: b.found}
	for id := range b.bound {
		b.unconfirmed[id] = true
	}
	var pending []KeyID
	for id := range b.pending {
		pending = append(pending, id)
	}
	slices.SortFunc(pending, compareKeyIDs)
	clear(b.pending)
	b.queued, b.inFlight = nil, nil
	return pending
}

// recovered reports that no binding is lost that has not ended.
func (b *Bindings) recovered(now time.Time) bool {
	if !b.mayMissBindings() || b.allDone() {
		return true
	}
	seen := b.eraSeen
	if !b.restoredSeen.IsZero() && b.restoredSeen.Before(seen) {
		seen = b.restoredSeen
	}
	return !now.Before(seen.Add(b.opts.Window + maxClockDifference))
}

// SetMembers sets the nodes that may read and propose bindings, dead ones included. A
// node that has left is not one of them once the stream was read after that.
func (b *Bindings) SetMembers(members []Owner) { b.currentMembers = members }

// formerMembers returns whether this node missed no binding before a restore, and the
// nodes that may know bindings that it doesn't.
func (b *Bindings) formerMembers(now time.Time) (bool, map[Owner]bool) {
	knows := b.eraRead && b.recovered(now) && b.knowsOther(b.membersAtRead)
	members := map[Owner]bool{}
	if !knows && b.readFormerEraToEnd { // restored again before the recovery was complete
		knows = true
		for member := range b.members {
			members[member] = true
		}
	}
	for _, member := range append(slices.Clone(b.currentMembers), b.membersAtRead...) {
		members[member] = true
	}
	return knows, members
}

// knowsOther reports whether members has another node. A node that starts may see only
// itself until a peer responds, which doesn't prove that it is the only one.
func (b *Bindings) knowsOther(members []Owner) bool {
	return slices.ContainsFunc(members, func(member Owner) bool { return member.Node != b.self.Node })
}

// allDone reports that each node that may know a lost binding wrote its bindings again.
func (b *Bindings) allDone() bool {
	if len(b.done) == 0 {
		return false
	}
	for member := range b.required {
		if !b.done[member] {
			return false
		}
	}
	return true
}

// mayMissBindings reports that the log was restored to this era. A node that started
// later sees it by the records of others.
func (b *Bindings) mayMissBindings() bool {
	return b.restored || b.earlierEra || !b.restoredSeen.IsZero()
}

// valid reports whether the items of a batch are bindings, and notes what the batch
// tells about the era.
func (b *Bindings) valid(batch Batch) bool {
	if batch.Era == nil || b.opts.ignoreEra { // of an earlier version, which knew no eras
		return true
	}
	if *batch.Era != b.era {
		b.earlierEra = true
		return false
	}
	if marker := batch.Marker; marker != nil {
		b.hasMarker = true
		if marker.Restored && (b.restoredSeen.IsZero() || marker.Seen.Before(b.restoredSeen)) {
			b.restoredSeen = marker.Seen
		}
		if marker.Done && marker.Writer != nil {
			b.done[*marker.Writer] = true
			for _, member := range marker.Members {
				b.required[member] = true
			}
		}
	}
	return true
}

// compare handles a binding whose window overlaps that of the current one.
func (b *Bindings) compare(item Binding, current compactBinding, rewritten bool) {
	owner := b.owners[current.ownerIndex]
	switch {
	case item.Owner == owner:
		delete(b.unconfirmed, item.Key)
	case rewritten || b.unconfirmed[item.Key]:
		// Either owner may have run the order, so that neither may run it now.
		if _, known := b.conflicts[item.Key]; !known {
			b.found = append(b.found, Conflict{Key: item.Key, Known: owner, Other: item.Owner})
		}
		if b.conflicts == nil {
			b.conflicts = map[KeyID]time.Time{}
		}
		b.conflicts[item.Key] = time.UnixMilli(max(item.At.UnixMilli(), current.boundAtMS)).Add(b.opts.Window)
	default: // an earlier record of this era has bound the key
	}
}

// prepareRewrite lists the bindings that the stream lacks in this era. Each node
// starts at another key, so that the nodes share the work.
func (b *Bindings) prepareRewrite() {
	for id := range b.unconfirmed {
		b.toRewrite = append(b.toRewrite, id)
	}
	slices.SortFunc(b.toRewrite, compareKeyIDs)
	if len(b.toRewrite) > 1 {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(b.self.Node)) // never fails
		start := int(hash.Sum32() % uint32(len(b.toRewrite)))
		b.toRewrite = append(b.toRewrite[start:len(b.toRewrite):len(b.toRewrite)], b.toRewrite[:start]...)
	}
}

// recoveryBatch returns the next record by which the nodes agree on a new era, if any.
func (b *Bindings) recoveryBatch() *Batch {
	if !b.eraRead || b.opts.ignoreEra {
		return nil
	}
	restored := b.mayMissBindings()
	if (restored && b.restoredSeen.IsZero() && !b.wroteRestored) || (!b.hasMarker && !b.wroteMarker) {
		b.wroteMarker, b.wroteRestored = true, restored
		return &Batch{Marker: &EraMarker{Seen: b.eraSeen.UTC(), Restored: restored}}
	}
	batch := &Batch{Rewritten: true}
	for len(b.toRewrite) > 0 && len(batch.Items) < b.opts.BatchSize {
		id := b.toRewrite[0]
		b.toRewrite = b.toRewrite[1:]
		if binding, ok := b.bound[id]; ok && b.unconfirmed[id] {
			batch.Items = append(batch.Items, Binding{Key: id, Owner: b.owners[binding.ownerIndex], At: time.UnixMilli(binding.boundAtMS).UTC()})
		}
	}
	b.rewritten += len(batch.Items)
	if len(batch.Items) > 0 {
		return batch
	}
	if b.restored && b.readFormerEraToEnd && len(b.unconfirmed) == 0 && !b.wroteDone {
		b.wroteDone = true
		return b.doneBatch()
	}
	return nil
}

func (b *Bindings) doneBatch() *Batch {
	self := b.self
	marker := &EraMarker{Seen: b.eraSeen.UTC(), Restored: true, Done: true, Writer: &self}
	for member := range b.members {
		marker.Members = append(marker.Members, member)
	}
	slices.SortFunc(marker.Members, func(x, y Owner) int {
		return cmp.Or(cmp.Compare(x.Node, y.Node), x.Incarnation.Compare(y.Incarnation))
	})
	return &Batch{Marker: marker}
}

func compareKeyIDs(x, y KeyID) int { return bytes.Compare(x[:], y[:]) }
