package control

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/transfer"
	"github.com/hyssopsill/hyssopsill/eventlog"
)

// logCursor is the position from which a node follows the table.
type logCursor struct {
	position eventlog.Position
	known    bool
	unusable eventlog.Position // that the log service no longer has; zero without one
}

// set moves the cursor to the position that the log service returned.
func (c *logCursor) set(p eventlog.Position) { c.position, c.known = p, true }

// advance moves the cursor to the position after the document in force, if that is known
// and later.
func (c *logCursor) advance(p eventlog.Position) {
	if p == (eventlog.Position{}) || p == c.unusable || c.known && p.Era == c.position.Era && p.Offset <= c.position.Offset {
		return
	}
	c.set(p)
}

// lose notes that the log service cannot be read from the position.
func (c *logCursor) lose() {
	*c = logCursor{unusable: c.position}
}

// logPage is the result of a read.
type logPage struct {
	entries []eventlog.TableEntry
	next    eventlog.Position // from which to read on
}

// openRead is a read in progress.
type openRead struct {
	end      context.CancelCauseFunc
	long     bool          // it may wait longer than maxWatchWait
	outdated chan struct{} // receives when a peer had a version before it
}

// errBecameWatcher ends a long read.
var errBecameWatcher = errors.New("the node has become a watcher of the log service")

// attemptResult is the outcome of one attempt of a read.
type attemptResult struct {
	page logPage
	err  error
}

// readOptions configure a read.
type readOptions struct {
	check         bool          // do not wait for a record
	newConnection bool          // the kept ones may have gone silent
	longestWait   time.Duration // of a node that is no watcher
}

// readLog reads the records after the cursor, or the newest ones without a position. It
// waits until there is a record, unless the options say otherwise. The connection of an attempt that
// gets no response may have gone silent, or the log service may be slow: further attempts
// run beside it, and the first response counts. It returns errBecameWatcher when the
// node's role no longer allows so long a wait.
func (d *Documents) readLog(ctx context.Context, cursor *logCursor, o readOptions) (logPage, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	read := &openRead{end: end, outdated: make(chan struct{}, 1)}
	wait := time.Duration(0)
	d.mu.Lock()
	cursor.advance(d.core.Position())
	if cursor.known && !o.check {
		watcher := d.core.Role().Watcher
		wait, read.long = followWait(watcher, o.longestWait), !watcher
	}
	d.read = read
	grace := readGrace + 2*d.responseTime
	d.mu.Unlock()
	defer d.endRead()

	results := make(chan attemptResult, maxAttempts)
	running, attempts := 0, 0
	begin := func(wait time.Duration, newConnection bool) *transfer.Transfer {
		running++
		attempts++
		t, from := d.transfers.Start(sourceLogService), *cursor
		started := d.calls.start(func(context.Context) { results <- d.attemptRead(ctx, t, from, wait, newConnection) })
		if !started {
			d.endTransfer(t, 0, errTooManyCalls)
			results <- attemptResult{err: errTooManyCalls}
		}
		return t
	}
	first := begin(wait, o.newConnection)
	overdue := time.NewTimer(wait + grace)
	defer overdue.Stop()
	for {
		select {
		case r := <-results:
			if running--; r.err == nil || running == 0 || errors.Is(r.err, eventlog.ErrTrimmed) || errors.Is(r.err, eventlog.ErrRestored) {
				if errors.Is(context.Cause(ctx), errBecameWatcher) {
					r.err = errBecameWatcher
				}
				return r.page, r.err
			}
		case <-read.outdated:
			d.mu.Lock()
			cursor.advance(d.core.Position())
			d.mu.Unlock()
			if attempts == 1 && (cursor.known || first.Bytes() == 0) {
				begin(0, true)
			}
		case <-overdue.C:
			if first.Bytes() > 0 && first.Idle() < readGrace {
				overdue.Reset(readGrace)
				continue
			}
			if attempts > 1 {
				d.observeRead(time.Now(), errOverdue)
			}
			if attempts == 1 || attempts < maxAttempts && d.observeRole().Needed {
				d.log.Info().Int64("version", d.version()).Int("attempts", attempts).Msg("config: a read of the log service is overdue, reading on another connection")
				begin(0, true)
			}
			overdue.Reset(attemptInterval)
		}
	}
}

// errOverdue is observed when the log service does not respond to a read and its repetition.
var errOverdue = errors.New("the log service does not respond")

// attemptRead makes one call, or several for many records.
func (d *Documents) attemptRead(ctx context.Context, t *transfer.Transfer, cursor logCursor, wait time.Duration, newConnection bool) attemptResult {
	ctx = eventlog.WithCallOptions(transfer.NewContext(ctx, t), eventlog.CallOptions{NewConnection: newConnection, ResponseTimeout: maxAttempts * attemptInterval})
	startedAt := time.Now()
	var r attemptResult
	if cursor.known {
		r.page.entries, r.page.next, r.err = d.options.Source.Tables.Follow(ctx, d.options.Source.Table, cursor.position, wait)
	} else {
		r.page.entries, r.page.next, r.err = d.options.Source.Tables.Newest(ctx, d.options.Source.Table)
	}
	d.endTransfer(t, 0, r.err)
	if r.err == nil && wait == 0 {
		d.mu.Lock()
		d.responseTime = time.Since(startedAt) - t.Age()
		d.mu.Unlock()
	}
	return r
}

// endRead notes that no read is in progress.
func (d *Documents) endRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read = nil
}
