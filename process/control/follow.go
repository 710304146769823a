package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/transfer"
	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
)

const (
	// A read of the table waits for a change, so a connection that has gone silent shows
	// only when that time is over. All connections may go silent at once, so the watchers
	// among the readers wait between minWatchWait and maxWatchWait. With readGrace they
	// read again 1.3 s later at most, which leaves half of the time within which a version
	// must be in force everywhere (2.5 s) for forwarding it.
	minWatchWait = 600 * time.Millisecond
	maxWatchWait = time.Second
	// The other readers wait between minFollowWait and maxFollowWait, as calls are paid
	// for and the watchers announce changes. The times vary, since a change ends the
	// reads of all readers at once.
	minFollowWait = 300 * time.Millisecond
	maxFollowWait = 20 * time.Second
	// readGrace is how long a read may be overdue, besides twice the time that the last
	// whole read took, before the node reads the newest records on another connection. A
	// healthy log service responds in 4 ms. The timeout of a call (1 s) would use up the
	// time for forwarding.
	readGrace = 300 * time.Millisecond
	// checkInterval is the mean time between reads of a node that does not follow
	// the table. Peers announce changes to it within about a second.
	checkInterval = 15 * time.Second
	// lostCheckInterval applies instead to a node that cannot read the table while
	// others can. All calls are paid for, also those that the service refuses.
	lostCheckInterval = 3 * time.Second
	// readerPollInterval is the time between checks whether this node has become
	// a reader, which follows the table.
	readerPollInterval = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed read, which
	// doubles each time. maxRetryDelay stays below the 2 s within which a version
	// must be in force.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// openRead is a read of the log service that awaits a change.
type openRead struct {
	end  context.CancelCauseFunc
	long bool // it may wait longer than maxWatchWait
}

// follow reads the table until ctx ends: with Follow on a reader, else with
// Newest from time to time. Without a position it reads the newest records.
func (d *Documents) follow(ctx context.Context) {
	source := d.options.Source
	var position eventlog.Position
	known, retryDelay := false, minRetryDelay // whether position is known
	dependency := record.Dependency{Name: "log service (configuration)"}
	for ctx.Err() == nil {
		if role := d.observeRole(); known && !role.Reader {
			d.waitForRole(ctx, checkInterval)
			known = false
		}
		var entries []eventlog.TableEntry
		var err error
		if known {
			entries, position, err = d.awaitChange(ctx, position)
		} else {
			entries, position, err = d.newest(ctx)
		}
		switch {
		case errors.Is(err, errBecameWatcher):
			continue
		case errors.Is(err, errOverdue):
			d.log.Info().Int64("version", d.version()).Msg("config: a read of the log service is overdue, reading the newest documents")
			known = false
			continue
		case errors.Is(err, eventlog.ErrTrimmed):
			known = false
			continue
		case errors.Is(err, eventlog.ErrRestored):
			d.log.Warn().Err(err).Msg("config: the log service was restored, reading the newest documents")
			known = false
			sleep(ctx, time.Duration(rand.Int64N(int64(minRetryDelay)))) // all readers notice at the same time
			continue
		case err != nil && ctx.Err() != nil:
			return
		}
		if change, ok := dependency.Observe(err); ok {
			d.record(record.KindDependency, change)
		}
		d.observeRead(time.Now(), err)
		if known = err == nil; !known { // read the newest records again: the log may have lost the history of this position
			repeated := retryDelay > minRetryDelay // one failed call may be the loss of its connection only
			sleep(ctx, retryDelay/2+time.Duration(rand.Int64N(int64(retryDelay))))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			if repeated && !d.observeRole().Needed {
				d.waitForRole(ctx, lostCheckInterval)
			}
			continue
		}
		retryDelay = minRetryDelay
		for _, e := range entries {
			if e.Key == source.Key && len(e.Value) > 0 {
				d.offer(arrival{data: e.Value, position: position, source: document.FromLog, sender: sourceLogService})
			}
		}
	}
}

// newest reads the newest records.
func (d *Documents) newest(ctx context.Context) ([]eventlog.TableEntry, eventlog.Position, error) {
	startedAt, t := time.Now(), d.transfers.Start(sourceLogService)
	entries, position, err := d.options.Source.Tables.Newest(transfer.NewContext(ctx, t), d.options.Source.Table)
	d.endTransfer(t, 0, err)
	if err == nil {
		d.newestTook = time.Since(startedAt)
	}
	return entries, position, err
}

var (
	// errBecameWatcher ends a long read.
	errBecameWatcher = errors.New("the node has become a watcher of the log service")
	// errOverdue ends a read whose connection seems to have gone silent.
	errOverdue = errors.New("the log service does not respond to a read")
)

// awaitChange reads the records after a position and waits until there is one. It
// returns errBecameWatcher when the node's role no longer allows so long a wait, and
// errOverdue when the log service does not respond in time.
func (d *Documents) awaitChange(ctx context.Context, from eventlog.Position) ([]eventlog.TableEntry, eventlog.Position, error) {
	readCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	d.mu.Lock()
	watcher := d.core.Role().Watcher
	d.read = &openRead{end: end, long: !watcher}
	d.mu.Unlock()
	wait := followWait(watcher)
	overdue := time.AfterFunc(wait+readGrace+2*d.newestTook, func() { end(errOverdue) })
	defer overdue.Stop()
	t := d.transfers.Start(sourceLogService)
	entries, next, err := d.options.Source.Tables.Follow(transfer.NewContext(readCtx, t), d.options.Source.Table, from, wait)
	d.mu.Lock()
	d.read = nil
	d.mu.Unlock()
	d.endTransfer(t, 0, err)
	if cause := context.Cause(readCtx); err != nil && (errors.Is(cause, errBecameWatcher) || errors.Is(cause, errOverdue)) {
		err = cause
	}
	return entries, next, err
}

// followWait returns a random time for which a reader waits for a change.
func followWait(watcher bool) time.Duration {
	shortest, longest := minFollowWait, maxFollowWait
	if watcher {
		shortest, longest = minWatchWait, maxWatchWait
	}
	return shortest + time.Duration(rand.Int64N(int64(longest-shortest)))
}

// observeRole returns the role of this node, and logs it when it has changed.
func (d *Documents) observeRole() distribute.Role {
	d.mu.Lock()
	role := d.core.Role()
	changed := role.Reader != d.status.Reader || role.Watcher != d.status.Watcher
	d.status.Reader, d.status.Watcher = role.Reader, role.Watcher
	access, lastRead, version := d.core.Access(), d.status.LastRead, d.core.Version()
	d.mu.Unlock()
	if !changed {
		return role
	}
	line := d.log.Info().Bool("reader", role.Reader).Bool("watcher", role.Watcher).Stringer("access", access).Int("position", role.Position).Int("quota", role.Quota).Int64("version", version)
	logAge(line, "last_read_age_ms", time.Now(), lastRead)
	line.Msg("config: the role of this node at the log service changed")
	return role
}

// observeRead notes the result of a call and reports whether the node can read the
// table when that has changed.
func (d *Documents) observeRead(now time.Time, err error) {
	access := distribute.AccessUsable
	if err != nil {
		access = distribute.AccessLost
	}
	d.mu.Lock()
	if err == nil {
		d.status.LastRead = now
	}
	changed := access != d.core.Access()
	d.core.SetAccess(access)
	d.mu.Unlock()
	if changed && d.options.OnAccess != nil {
		d.options.OnAccess(access)
	}
}

// waitForRole waits a random time around the given one, or until the node is a reader.
func (d *Documents) waitForRole(ctx context.Context, mean time.Duration) {
	due := time.Now().Add(mean/2 + time.Duration(rand.Int64N(int64(mean))))
	for ctx.Err() == nil && time.Now().Before(due) {
		if d.observeRole().Reader {
			return
		}
		sleep(ctx, readerPollInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
