package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

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
	// The other readers wait for random times from minFollowWait, as calls are paid for and
	// the watchers announce changes. A change ends the reads of all readers at once, and
	// with many nodes the watchers may be lost when their connections go silent, so the
	// longest wait is followWaitAfterChange at first and doubles up to maxFollowWait while
	// nothing changes.
	minFollowWait         = 300 * time.Millisecond
	followWaitAfterChange = 4 * time.Second
	maxFollowWait         = 20 * time.Second
	// readGrace is how long a read may be overdue, besides twice the time in which the log
	// service began its last response, before the node also reads on another connection.
	// A healthy log service responds in 4 ms. The timeout of a call (1 s) would use up the
	// time for forwarding.
	readGrace = 300 * time.Millisecond
	// attemptInterval is the time between further attempts of a read that is overdue.
	attemptInterval = time.Second
	// maxAttempts bounds the attempts of one read, and with attemptInterval the time for
	// which an attempt may wait for a log service that responds slowly.
	maxAttempts = 6
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

// follow reads the table until ctx ends: with a wait for the next change on a reader, else
// from time to time. Without a position it reads the newest records.
func (d *Documents) follow(ctx context.Context) {
	var cursor logCursor
	options := readOptions{check: true, longestWait: followWaitAfterChange}
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if role := d.observeRole(); cursor.known && !options.check && !role.Reader {
			d.waitForRole(ctx, checkInterval)
			options.check = true
		}
		before := cursor.position
		page, err := d.readLog(ctx, &cursor, options)
		switch {
		case errors.Is(err, errBecameWatcher): // the watchers before it may be lost, and the connection silent
			options.check, options.newConnection = true, true
			continue
		case errors.Is(err, eventlog.ErrTrimmed):
			cursor.lose()
			continue
		case errors.Is(err, eventlog.ErrRestored):
			d.log.Warn().Err(err).Msg("config: the log service was restored, reading the newest documents")
			cursor.lose()
			sleep(ctx, time.Duration(rand.Int64N(int64(minRetryDelay)))) // all readers notice at the same time
			continue
		case err != nil && ctx.Err() != nil:
			return
		}
		d.observeRead(time.Now(), err)
		options.newConnection = false
		if options.check = err != nil; options.check {
			repeated := retryDelay > minRetryDelay // one failed call may be the loss of its connection only
			sleep(ctx, retryDelay/2+time.Duration(rand.Int64N(int64(retryDelay))))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			if repeated && !d.observeRole().Needed {
				d.waitForRole(ctx, lostCheckInterval)
			}
			continue
		}
		retryDelay = minRetryDelay
		cursor.set(page.next)
		if options.longestWait = min(2*options.longestWait, maxFollowWait); page.next != before {
			options.longestWait = followWaitAfterChange
		}
		for _, e := range page.entries {
			if e.Key == d.options.Source.Key && len(e.Value) > 0 {
				d.offer(arrival{data: e.Value, position: page.next, source: document.FromLog, sender: sourceLogService})
			}
		}
	}
}

// followWait returns a random time for which a reader waits for a change.
func followWait(watcher bool, longest time.Duration) time.Duration {
	shortest := minFollowWait
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

// observeRead notes the result of a read, and reports and records whether the node can
// read the table when that has changed. Only follow and what it calls may call it.
func (d *Documents) observeRead(now time.Time, err error) {
	if change, ok := d.dependency.Observe(err); ok {
		d.record(record.KindDependency, change)
	}
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
