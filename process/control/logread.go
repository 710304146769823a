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
	later := !c.known || p.Era > c.position.Era || p.Era == c.position.Era && p.Offset > c.position.Offset
	if p != (eventlog.Position{}) && p != c.unusable && later {
		c.set(p)
	}
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

// errBecameWatcher ends a long read.
var errBecameWatcher = errors.New("the node has become a watcher of the log service")

// readOptions configure a read.
type readOptions struct {
	check         bool          // do not wait for a record
	newConnection bool          // the kept ones may have gone silent
	longestWait   time.Duration // of a node that is no watcher
}

// logRead is a read in progress, made of attempts that run beside each other.
type logRead struct {
	documents *Documents
	ctx       context.Context // of the attempts
	end       context.CancelCauseFunc
	cursor    *logCursor
	long      bool          // it may wait longer than maxWatchWait
	outdated  chan struct{} // receives when a peer had a version before it

	first             *transfer.Transfer // of the first attempt
	results           chan attemptResult
	attempts, running int
}

// attemptResult is the outcome of one attempt of a read.
type attemptResult struct {
	page logPage
	err  error
}

// readLog reads the records after the cursor, or the newest ones without a position. It
// waits until there is a record, unless the options say otherwise. The connection of an
// attempt that gets no response may have gone silent, or the log service may be slow:
// further attempts run beside it, and the first response counts. It returns
// errBecameWatcher when the node's role no longer allows so long a wait.
func (d *Documents) readLog(ctx context.Context, cursor *logCursor, o readOptions) (logPage, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	r := &logRead{documents: d, ctx: ctx, end: end, cursor: cursor, outdated: make(chan struct{}, 1), results: make(chan attemptResult, maxAttempts)}
	wait := time.Duration(0)
	d.mu.Lock()
	cursor.advance(d.core.Position())
	if cursor.known && !o.check {
		watcher := d.core.Role().Watcher
		wait, r.long = followWait(watcher, o.longestWait), !watcher
	}
	d.read = r
	grace := readGrace + 2*d.responseTime
	d.mu.Unlock()
	defer d.endRead()

	r.first = r.begin(wait, o.newConnection)
	overdue := time.NewTimer(wait + grace)
	defer overdue.Stop()
	for {
		select {
		case result := <-r.results:
			r.running--
			if result.err == nil || r.running == 0 || errors.Is(result.err, eventlog.ErrTrimmed) || errors.Is(result.err, eventlog.ErrRestored) {
				if errors.Is(context.Cause(ctx), errBecameWatcher) {
					result.err = errBecameWatcher
				}
				return result.page, result.err
			}
		case <-r.outdated:
			r.readAfterPeer()
		case <-overdue.C:
			overdue.Reset(r.handleOverdue())
		}
	}
}

// begin starts an attempt.
func (r *logRead) begin(wait time.Duration, newConnection bool) *transfer.Transfer {
	d := r.documents
	r.running++
	r.attempts++
	t, from := d.transfers.Start(sourceLogService), *r.cursor
	started := d.calls.start(func(context.Context) { r.results <- d.attemptRead(r.ctx, t, from, wait, newConnection) })
	if !started {
		d.endTransfer(t, 0, errTooManyCalls)
		r.results <- attemptResult{err: errTooManyCalls}
	}
	return t
}

// noteOutdated notes that a peer had a version before this read. The log service has it,
// too, and should end the read within readGrace.
func (r *logRead) noteOutdated() {
	time.AfterFunc(readGrace, func() {
		select {
		case r.outdated <- struct{}{}:
		default: // it is known already
		}
	})
}

// readAfterPeer reads from the position after a document that a peer sent. A first attempt
// that transfers the document is left alone while that position is not known.
func (r *logRead) readAfterPeer() {
	d := r.documents
	d.mu.Lock()
	r.cursor.advance(d.core.Position())
	d.mu.Unlock()
	if r.attempts == 1 && (r.cursor.known || r.first.Bytes() == 0) {
		r.begin(0, true)
	}
}

// handleOverdue begins a further attempt, unless bytes of the first one arrive, and returns
// the time until the next one. After the second attempt only nodes that are needed as
// readers make more.
func (r *logRead) handleOverdue() time.Duration {
	d := r.documents
	if r.first.Bytes() > 0 && r.first.Idle() < readGrace {
		return readGrace
	}
	if r.attempts > 1 {
		d.observeRead(time.Now(), errOverdue)
	}
	if r.attempts == 1 || r.attempts < maxAttempts && d.observeRole().Needed {
		d.log.Info().Int64("version", d.version()).Int("attempts", r.attempts).Msg("config: a read of the log service is overdue, reading on another connection")
		r.begin(0, true)
	}
	return attemptInterval
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
