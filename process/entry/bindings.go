package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/order"
)

// bindings runs the fold of the stream "orders" over the log.
type bindings struct {
	e *Entry

	mu      sync.Mutex
	fold    *order.Bindings
	waiters map[order.KeyID][]chan struct{}
	wake    chan struct{} // a proposal waits
	unread  int           // proposals not yet read back
}

const (
	bindingsIdle = 500 * time.Millisecond // between reads without a proposal
	bindingsPage = 500
	bindingsCall = 2 * time.Second
	// Least time between batches, and between reads while a proposal waits.
	bindingsFirst   = 20 * time.Millisecond
	bindingsPerNode = 10 * time.Millisecond
)

var (
	errNoOwner       = errors.New("no target is in rotation to which the order key could be bound")
	errBindingsFull  = errors.New("too many order keys wait for the log")
	errBindingsStale = errors.New("the log is not available, so it is not known whether the order key was used before")
	errBindingsTime  = errors.New("the order key was not bound in time")
)

func newBindings(e *Entry, self order.Owner) *bindings {
	return &bindings{
		e: e, waiters: map[order.KeyID][]chan struct{}{}, wake: make(chan struct{}, 1),
		fold: order.NewBindings(e.bindingsOptions(), self),
	}
}

func (e *Entry) bindingsOptions() order.BindingsOptions {
	return order.BindingsOptions{Interval: bindingsFirst, Retention: e.o.LogRetention}
}

// restart begins the fold again: the identity of its batches carries the
// incarnation.
func (b *bindings) restart(self order.Owner) {
	b.mu.Lock()
	b.fold = order.NewBindings(b.e.bindingsOptions(), self)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// resolve returns the key once it is bound. The binding counts only when it was
// read from the log.
func (b *bindings) resolve(ctx context.Context, id order.KeyID, service string) (order.Key, error) {
	for {
		b.mu.Lock()
		now := b.e.now()
		state, key := b.fold.Lookup(now, id, service)
		var decided chan struct{}
		switch state {
		case order.Bound:
			b.mu.Unlock()
			return key, nil
		case order.Unavailable:
			b.mu.Unlock()
			return order.Key{}, errBindingsStale
		case order.Unbound:
			owner, ok := b.e.chooseOwner(service)
			if !ok {
				b.mu.Unlock()
				return order.Key{}, errNoOwner
			}
			if !b.fold.Propose(now, id, owner) {
				b.mu.Unlock()
				return order.Key{}, errBindingsFull
			}
			b.unread++
		}
		decided = make(chan struct{})
		b.waiters[id] = append(b.waiters[id], decided)
		b.mu.Unlock()
		select {
		case b.wake <- struct{}{}:
		default:
		}
		select {
		case <-decided:
		case <-ctx.Done():
			return order.Key{}, errBindingsTime
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
		case <-b.wake:
		}
		// All nodes together append at most 100 batches/s.
		interval := max(bindingsFirst, time.Duration(e.fleet.Load().entries)*bindingsPerNode)
		b.mu.Lock()
		b.fold.SetInterval(interval)
		b.mu.Unlock()
		b.append(ctx)
		b.read(ctx)
		b.mu.Lock()
		next := bindingsIdle
		if b.unread > 0 {
			next = interval
		}
		b.mu.Unlock()
		timer.Reset(next)
	}
}

func (b *bindings) append(ctx context.Context) {
	b.mu.Lock()
	data, ok := b.fold.NextBatch(b.e.now())
	b.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, bindingsCall)
	defer cancel()
	_, err := b.e.o.LogService.Append(ctx, eventlog.StreamOrders, data)
	b.mu.Lock()
	b.fold.Appended(b.e.now(), err == nil)
	b.mu.Unlock()
}

func (b *bindings) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bindingsCall)
	defer cancel()
	for {
		b.mu.Lock()
		from := b.fold.Next()
		b.mu.Unlock()
		begun := b.e.now()
		page, err := b.e.o.LogService.Read(ctx, eventlog.StreamOrders, from, bindingsPage)
		if errors.Is(err, eventlog.ErrTrimmed) {
			b.mu.Lock()
			b.fold.Trimmed(begun, page.First)
			b.mu.Unlock()
			continue
		}
		if err != nil {
			return
		}
		if b.apply(begun, page) {
			return
		}
	}
}

// apply folds a page and reports whether it reached the end of the stream.
func (b *bindings) apply(begun time.Time, page eventlog.Page) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset > b.fold.Next() { // the fold began again meanwhile
			return false
		}
		decided, err := b.fold.Apply(begun, r)
		if err != nil {
			b.e.log.Error().Msgf("entry: %v", err)
		}
		for _, id := range decided {
			b.unread = max(0, b.unread-1)
			for _, ch := range b.waiters[id] {
				close(ch)
			}
			delete(b.waiters, id)
		}
	}
	if b.fold.Next() < page.Next && len(page.Records) > 0 {
		return false
	}
	b.fold.CaughtUp(begun)
	return true
}
