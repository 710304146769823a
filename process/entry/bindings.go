package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/order"
)

// bindings proposes bindings of customer keys and reads the decided ones from the
// stream "orders" of the log.
type bindings struct {
	entry *Entry

	mu      sync.Mutex
	state   *order.Bindings
	waiters map[order.KeyID][]chan struct{}
	wakeup  chan struct{} // signals that a request waits for a binding, or a reset
	unread  int           // proposals not yet read from the log
	// rewritten is the number of bindings written again, as logged last.
	rewritten int
}

const (
	bindingsIdleInterval = 500 * time.Millisecond // between reads while no proposal is pending
	bindingsPageRecords  = 500
	bindingsCallTimeout  = 2 * time.Second
	// maxBindingsRereads is how often one read starts again at the start of the stream.
	maxBindingsRereads = 2
	// Minimum time between batches, and between reads while a proposal is pending:
	// the greater of minBindingsInterval and bindingsIntervalPerNode times the nodes.
	minBindingsInterval     = 20 * time.Millisecond
	bindingsIntervalPerNode = 10 * time.Millisecond
)

var (
	errNoOwner         = errors.New("no target is in rotation to which the order key could be bound")
	errBindingsFull    = errors.New("too many order keys wait for the log")
	errBindingsStale   = errors.New("the log is not available, so it is not known whether the order key was used before")
	errBindingsTimeout = errors.New("the order key was not bound in time")
)

func newBindings(e *Entry, self order.Owner) *bindings {
	return &bindings{
		entry: e, waiters: map[order.KeyID][]chan struct{}{}, wakeup: make(chan struct{}, 1),
		state: order.NewBindings(e.bindingsOptions(), self),
	}
}

func (e *Entry) bindingsOptions() order.BindingsOptions {
	return order.BindingsOptions{Interval: minBindingsInterval, Retention: e.options.LogRetention}
}

// reset starts with an empty state under a new incarnation, which is part of the
// identity of the batches.
func (b *bindings) reset(self order.Owner) {
	b.mu.Lock()
	b.state = order.NewBindings(b.entry.bindingsOptions(), self)
	b.mu.Unlock()
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// resolve returns the key once it is bound, and proposes a binding when there is
// none. A binding is valid only after it was read from the log.
func (b *bindings) resolve(ctx context.Context, id order.KeyID, service string) (order.Key, error) {
	for {
		b.mu.Lock()
		now := b.entry.now()
		status, key := b.state.Lookup(now, id, service)
		var decided chan struct{}
		switch status {
		case order.Bound:
			b.mu.Unlock()
			return key, nil
		case order.Unavailable:
			b.mu.Unlock()
			return order.Key{}, errBindingsStale
		case order.Unbound:
			owner, ok := b.entry.chooseOwner(service)
			if !ok {
				b.mu.Unlock()
				return order.Key{}, errNoOwner
			}
			if !b.state.Propose(now, id, owner) {
				b.mu.Unlock()
				return order.Key{}, errBindingsFull
			}
			b.unread++
		}
		decided = make(chan struct{})
		b.waiters[id] = append(b.waiters[id], decided)
		b.mu.Unlock()
		select {
		case b.wakeup <- struct{}{}:
		default:
		}
		select {
		case <-decided:
		case <-ctx.Done():
			return order.Key{}, errBindingsTimeout
		}
	}
}

// ServeBindings reads and appends bindings until ctx ends.
func (e *Entry) ServeBindings(ctx context.Context) error {
	b := e.bindings
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-b.wakeup:
		}
		// All nodes together append at most 100 batches/s.
		interval := max(minBindingsInterval, time.Duration(e.fleet.Load().entryCount)*bindingsIntervalPerNode)
		b.mu.Lock()
		b.state.SetInterval(interval)
		b.mu.Unlock()
		b.append(ctx)
		b.read(ctx)
		b.mu.Lock()
		next := bindingsIdleInterval
		if b.unread > 0 {
			next = interval
		}
		b.mu.Unlock()
		timer.Reset(next)
	}
}

// append sends the next batch of proposals to the log, if one is due.
func (b *bindings) append(ctx context.Context) {
	b.mu.Lock()
	data, ok := b.state.NextBatch(b.entry.now())
	b.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, bindingsCallTimeout)
	defer cancel()
	_, err := b.entry.options.LogService.Append(ctx, eventlog.StreamOrders, data)
	b.mu.Lock()
	b.state.Appended(b.entry.now(), err == nil)
	if rewritten := b.state.Rewritten(); rewritten != b.rewritten {
		b.rewritten = rewritten
		b.entry.log.Info().Int64("era", b.state.Era()).Int("bindings", rewritten).Msg("entry: order bindings written again")
	}
	b.mu.Unlock()
}

// read reads the stream up to its end.
func (b *bindings) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bindingsCallTimeout)
	defer cancel()
	rereads := 0
	for {
		b.mu.Lock()
		b.state.SetMembers(b.entry.fleet.Load().incarnations)
		from := b.state.Next()
		b.mu.Unlock()
		readAt := b.entry.now()
		page, err := b.entry.options.LogService.Read(ctx, eventlog.StreamOrders, from, bindingsPageRecords)
		beyondEnd := errors.Is(err, eventlog.ErrRestored)
		if err != nil && !beyondEnd && !errors.Is(err, eventlog.ErrTrimmed) {
			return
		}
		if b.observeEra(readAt, page.Era, from, beyondEnd) {
			if rereads++; rereads > maxBindingsRereads {
				return
			}
			continue
		}
		if err != nil {
			b.mu.Lock()
			b.state.Trimmed(readAt, page.First)
			skipped := b.state.Next() > from
			b.mu.Unlock()
			if !skipped {
				return
			}
			continue
		}
		if b.apply(readAt, page) {
			return
		}
	}
}

// observeEra takes the era of a page before its records are applied. It reports that
// the log came back from an older copy, so that the stream must be read anew. The
// proposed keys are then unavailable, which their waiting requests learn at once.
func (b *bindings) observeEra(now time.Time, era, from int64, beyondEnd bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	former := b.state.Era()
	abandoned, restored := b.state.ObserveEra(now, era)
	if !restored && beyondEnd && from == b.state.Next() { // the log does not state its era
		abandoned, restored = b.state.Restored(now, era), true
	}
	if !restored {
		return beyondEnd
	}
	b.entry.log.Warn().Int64("era", era).Int64("former_era", former).Int64("next_offset", from).Int("bindings", b.state.Len()).
		Msg("entry: the log was restored from an older copy; its order bindings are written again, and unknown customer keys are unavailable")
	b.decided(abandoned)
	return true
}

// decided lets the requests continue that wait for the given keys. The caller holds
// b.mu.
func (b *bindings) decided(keys []order.KeyID) {
	for _, id := range keys {
		b.unread = max(0, b.unread-1)
		for _, waiter := range b.waiters[id] {
			close(waiter)
		}
		delete(b.waiters, id)
	}
}

// apply applies the records of a page to the state and reports whether the end of
// the stream was reached.
func (b *bindings) apply(readAt time.Time, page eventlog.Page) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset > b.state.Next() { // the state was reset since the read
			return false
		}
		decided, err := b.state.Apply(readAt, r)
		if err != nil {
			b.entry.log.Error().Msgf("entry: %v", err)
		}
		b.decided(decided)
	}
	for _, c := range b.state.TakeConflicts() {
		b.entry.log.Error().Stringer("order_key", c.Key).
			Msgf("entry: a customer key is bound to %s (%s) and to %s (%s) and is unavailable until both bindings end",
				c.Known.Node, c.Known.Incarnation, c.Other.Node, c.Other.Incarnation)
	}
	if b.state.Next() < page.Next {
		return len(page.Records) == 0 // the state was reset since the read
	}
	b.state.CaughtUp(readAt)
	return true
}
