package transfer

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// ErrStalled is the cause of the end of a context in which nothing arrived in time.
var ErrStalled = errors.New("transfer stalled")

// Transfer counts the bytes of one call. It is safe for concurrent use; a nil Transfer
// counts nothing.
type Transfer struct {
	source    string
	startedAt time.Time
	received  atomic.Int64
	movedAt   atomic.Int64 // nanoseconds from startedAt to the last bytes, received or sent
	firstAt   atomic.Int64 // nanoseconds from startedAt to the first bytes received; 0 without any
}

// New returns a Transfer from a source, which its log line names.
func New(source string) *Transfer { return &Transfer{source: source, startedAt: time.Now()} }

type contextKey struct{}

// NewContext returns a context whose call adds its bytes to t.
func NewContext(ctx context.Context, t *Transfer) context.Context {
	return context.WithValue(ctx, contextKey{}, t)
}

// FromContext returns the Transfer of a call, nil without one.
func FromContext(ctx context.Context) *Transfer {
	t, _ := ctx.Value(contextKey{}).(*Transfer)
	return t
}

// Received adds bytes that have arrived.
func (t *Transfer) Received(n int) {
	if t != nil && n > 0 {
		t.received.Add(int64(n))
		t.moved()
		t.firstAt.CompareAndSwap(0, t.movedAt.Load())
	}
}

// Sent notes that bytes have been sent.
func (t *Transfer) Sent(n int) {
	if t != nil && n > 0 {
		t.moved()
	}
}

func (t *Transfer) moved() { t.movedAt.Store(int64(time.Since(t.startedAt))) }

// Bytes returns the number of bytes that have arrived.
func (t *Transfer) Bytes() int64 { return t.received.Load() }

// Age returns the time since the first bytes arrived, 0 before. A call may wait for long
// until there is something to transfer.
func (t *Transfer) Age() time.Duration {
	if t.Bytes() == 0 {
		return 0
	}
	return time.Since(t.startedAt) - time.Duration(t.firstAt.Load())
}

// Idle returns the time since the last bytes, or since the start.
func (t *Transfer) Idle() time.Duration {
	return time.Since(t.startedAt) - time.Duration(t.movedAt.Load())
}

// Reader returns a reader of a response, whose bytes it adds.
func (t *Transfer) Reader(r io.Reader) io.Reader { return countingReader{r, t.Received} }

// SentReader returns a reader of a body that is sent, whose reads count as progress.
func (t *Transfer) SentReader(r io.Reader) io.Reader { return countingReader{r, t.Sent} }

type countingReader struct {
	io.Reader
	count func(n int)
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count(n)
	return n, err
}

// EndWhenIdle returns a context that ends with ErrStalled when first has passed without any
// bytes, or limit since the last ones.
func (t *Transfer) EndWhenIdle(ctx context.Context, first, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var check func()
	check = func() {
		if ctx.Err() != nil {
			return
		}
		allowed := limit
		if t.movedAt.Load() == 0 {
			allowed = first
		}
		if left := allowed - t.Idle(); left > 0 {
			time.AfterFunc(left, check)
			return
		}
		cancel(ErrStalled)
	}
	timer := time.AfterFunc(min(first, limit), check) // bytes may arrive, and stop, before first is over
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
