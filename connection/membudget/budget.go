package membudget

import "math/bits"

// Options configure a Budget.
type Options struct {
	// Bytes is the bound on the sum of all charges. Required.
	Bytes int64
	// Ordinary is the charge up to which a holder may use the reserve.
	Ordinary int64
	// Connections is the bound on the number of holders; 0 is no bound.
	Connections int
}

const (
	// reserveShare is the share of the budget that only ordinary holders may use.
	reserveShare = 0.25
	// maxClosingShare is the share of the budget that holders which are being closed may
	// still hold. Their memory is free only when their goroutines have run.
	maxClosingShare = 0.25
	// endShare is the share of the budget below which it no longer counts as reached.
	// It is far below 1, so that the state changes seldom under a steady load.
	endShare = 0.5
)

// Budget keeps the charges of all holders. It is not safe for concurrent use.
type Budget struct {
	options Options
	used    int64 // sum of all charges
	closing int64 // part of used of holders that are being closed
	holders int
	pending int                  // holders that are being closed
	sizes   [sizeClasses]holders // evictable holders, by the bit length of their charge
	reached bool
	refused int64
	evicted int64
}

const sizeClasses = 64

// Holder is what one connection holds. The zero value holds nothing.
type Holder struct {
	// Value is for the caller, which finds the connection of a holder with it.
	Value any

	bytes          int64
	open           bool
	evictable      bool
	closing        bool
	previous, next *Holder // in the list of its size class
}

// holders is a list, the oldest member first.
type holders struct{ first, last *Holder }

// Decision is the result of Update.
type Decision struct {
	// Admitted reports whether the charge is in force. Otherwise it is as before.
	Admitted bool
	// Close holds the holders whose connections must be closed to make room. Release
	// must follow for each.
	Close []*Holder
}

// Stats describe the state of a Budget.
type Stats struct {
	Bytes, Used int64
	Connections int
	Reached     bool  // memory was refused, or a connection closed, and Used is still high
	Refused     int64 // updates that were not admitted
	Evicted     int64 // holders that were chosen to be closed
}

// New returns a budget without charges.
func New(o Options) *Budget { return &Budget{options: o} }

// Update sets the charge of a holder and whether its connection may be closed to make
// room. The first update opens the holder. A charge that does not grow is always
// admitted.
func (b *Budget) Update(h *Holder, bytes int64, evictable bool) Decision {
	if h.closing {
		if bytes < h.bytes {
			b.used, b.closing = b.used-h.bytes+bytes, b.closing-h.bytes+bytes
			h.bytes = bytes
		}
		return Decision{Admitted: bytes <= h.bytes}
	}
	var d Decision
	if bytes > h.bytes || !h.open {
		if d = b.makeRoom(h, bytes); !d.Admitted {
			b.refused++
			b.reached = true
			return d
		}
	}
	if !h.open {
		h.open = true
		b.holders++
	}
	class := sizeClass(h.bytes)
	if h.evictable && (!evictable || class != sizeClass(bytes)) {
		b.unlink(h)
	}
	b.used += bytes - h.bytes
	h.bytes = bytes
	if evictable && !h.evictable {
		b.link(h)
	}
	b.clearReached()
	d.Admitted = true
	return d
}

// makeRoom chooses holders to close until the charge of h can be set to bytes.
func (b *Budget) makeRoom(h *Holder, bytes int64) Decision {
	limit, ordinary := b.options.Bytes, bytes <= b.options.Ordinary
	if !ordinary {
		limit -= int64(reserveShare * float64(b.options.Bytes))
	}
	var d Decision
	for b.used-b.closing+bytes-h.bytes > limit || b.tooMany(h) {
		victim := b.largest(h)
		smaller := victim != nil && sizeClass(victim.bytes) < sizeClass(bytes)
		if victim == nil || (smaller && !ordinary) || float64(b.closing) > maxClosingShare*float64(b.options.Bytes) {
			return d
		}
		b.unlink(victim)
		victim.closing = true
		b.closing += victim.bytes
		b.pending++
		b.evicted++
		b.reached = true
		d.Close = append(d.Close, victim)
	}
	d.Admitted = true
	return d
}

func (b *Budget) tooMany(h *Holder) bool {
	return !h.open && b.options.Connections > 0 && b.holders-b.pending >= b.options.Connections
}

// largest returns the evictable holder, other than h, of the greatest size class that
// has been in it for the longest time.
func (b *Budget) largest(h *Holder) *Holder {
	for class := sizeClasses - 1; class >= 0; class-- {
		for victim := b.sizes[class].first; victim != nil; victim = victim.next {
			if victim != h {
				return victim
			}
		}
	}
	return nil
}

// Release ends the charge of a holder, which may be used again.
func (b *Budget) Release(h *Holder) {
	if !h.open {
		return
	}
	if h.evictable {
		b.unlink(h)
	}
	b.used -= h.bytes
	b.holders--
	if h.closing {
		b.closing -= h.bytes
		b.pending--
	}
	h.bytes, h.open, h.closing = 0, false, false
	b.clearReached()
}

// clearReached ends the state of a reached budget once little is used.
func (b *Budget) clearReached() {
	connections := b.options.Connections
	if float64(b.used) <= endShare*float64(b.options.Bytes) && (connections == 0 || float64(b.holders) <= endShare*float64(connections)) {
		b.reached = false
	}
}

// Stats returns the state of the budget.
func (b *Budget) Stats() Stats {
	return Stats{Bytes: b.options.Bytes, Used: b.used, Connections: b.holders, Reached: b.reached, Refused: b.refused, Evicted: b.evicted}
}

func sizeClass(bytes int64) int { return min(bits.Len64(uint64(max(0, bytes))), sizeClasses-1) }

func (b *Budget) link(h *Holder) {
	list := &b.sizes[sizeClass(h.bytes)]
	h.evictable, h.previous, h.next = true, list.last, nil
	if list.last == nil {
		list.first = h
	} else {
		list.last.next = h
	}
	list.last = h
}

func (b *Budget) unlink(h *Holder) {
	list := &b.sizes[sizeClass(h.bytes)]
	if h.previous == nil {
		list.first = h.next
	} else {
		h.previous.next = h.next
	}
	if h.next == nil {
		list.last = h.previous
	} else {
		h.next.previous = h.previous
	}
	h.evictable, h.previous, h.next = false, nil, nil
}
