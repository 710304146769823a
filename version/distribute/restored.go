package distribute

import (
	"fmt"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	// rewriteInterval is the time between two attempts to write a lost change again.
	rewriteInterval = time.Second
	// A node other than the first reader of its failure domain writes lost changes
	// only if they are still missing after rewriteDelay and rewriteRankDelay per rank.
	rewriteDelay     = time.Second
	rewriteRankDelay = 500 * time.Millisecond
	// restoredReadInterval is the time between reads of a restored log by a node that
	// is not a reader; peers usually forward the state earlier.
	restoredReadInterval = 2 * time.Second
	// maxStartDelay is the time for which a new node waits for peers that have not
	// moved to the era of the log yet and may hold changes that it lost.
	maxStartDelay = 5 * time.Second
)

// restoredLog is the state of a log that came back from an older copy, while it
// lacks changes that are in force.
type restoredLog struct {
	era        int64
	state      *config.State
	recent     []eventlog.Record // last records applied to state
	noticedAt  time.Time
	readToEnd  bool // since the last append
	appending  bool
	nextAppend time.Time
	rewritten  int
	reported   string // lost change that this node cannot write again
}

// reading returns the state to which the records of the log are applied.
func (c *Core) reading() *config.State {
	if c.restored != nil {
		return c.restored.state
	}
	return c.state
}

// observeEra starts to read the log anew when its era is above that of the records
// read so far. It reports whether it did.
func (c *Core) observeEra(now time.Time, era int64) bool {
	if c.restored != nil && era <= c.restored.era || c.state.Offset() == 0 || era <= c.state.Era() {
		return false
	}
	c.restored = &restoredLog{era: era, state: config.NewState(), noticedAt: now}
	c.snapshotNeeded, c.snapshotReadAt = true, time.Time{}
	c.event("the log came back from an older copy: era %d, was %d; version %d stays in force until the log has its changes", era, c.state.Era(), c.state.Version())
	return true
}

// outdated reports whether a response of the log was sent before it was restored.
func (c *Core) outdated(era int64) bool {
	if c.restored != nil {
		return era < c.restored.era
	}
	return c.state.Offset() > 0 && era < c.state.Era()
}

func (c *Core) event(format string, args ...any) {
	if c.options.OnEvent != nil {
		c.options.OnEvent(fmt.Sprintf(format, args...))
	}
}

// switchState moves to the state of the restored log once that lacks no change in
// force.
func (c *Core) switchState() []Action {
	r := c.restored
	if r == nil || r.state.Offset() == 0 || len(c.state.Lost(r.state)) > 0 {
		return nil
	}
	before := c.state.Version()
	c.state, c.restored, c.snapshotNeeded = r.state, nil, false
	if c.reporter != nil {
		c.state.SetReporter(c.reporter)
	}
	c.recent, c.recentBytes, c.snapshotOffset = nil, 0, 0
	for _, record := range r.recent {
		c.addRecent(record)
	}
	c.event("the log has all changes of version %d again (%d written by this node); version %d is in force", before, r.rewritten, c.state.Version())
	c.activate()
	if len(c.recent) == 0 {
		return nil
	}
	return c.push(c.recent[len(c.recent)-1:], "") // a peer that lacks those before requests them
}

// rewrite writes the oldest lost change again. Nodes write the same changes in the
// same order, so that all but the first record of each are duplicates.
func (c *Core) rewrite(now time.Time, out []Action) []Action {
	r := c.restored
	if r == nil || !r.readToEnd || r.appending || now.Before(r.nextAppend) || c.options.noRewrite {
		return out
	}
	rank := c.rank("reader", func(p Peer) bool { return p.Domain == c.options.Domain })
	if rank > 0 && now.Sub(r.noticedAt) < rewriteDelay+time.Duration(rank)*rewriteRankDelay {
		return out
	}
	lost := c.state.Lost(r.state)
	if len(lost) == 0 {
		return out
	}
	change, ok := c.state.Rewrite(lost[0], r.state)
	if data, err := change.Encode(); ok && err == nil {
		r.appending, r.nextAppend = true, now.Add(rewriteInterval)
		return append(out, Action{Kind: AppendChange, Data: data})
	}
	if r.reported != lost[0] {
		r.reported = lost[0]
		c.event("change %q is lost and this node cannot write it again; publish it with its change id", lost[0])
	}
	return out
}

// ChangeAppended processes the result of AppendChange. After an error the change is
// written again only if the next read does not find it.
func (c *Core) ChangeAppended(now time.Time, err error) []Action {
	r := c.restored
	if r == nil {
		return nil
	}
	r.appending, r.readToEnd = false, false
	if err != nil {
		return nil
	}
	r.rewritten++
	if c.readStartedAt.IsZero() { // else the read in progress may lack the change
		r.nextAppend = now
		return c.startRead(now, nil)
	}
	return nil
}

// peersBehind reports whether a peer follows an earlier era than a node that has
// just started.
func (c *Core) peersBehind(now time.Time) bool {
	if c.state.Era() == 0 || c.startedAt.IsZero() || now.Sub(c.startedAt) >= maxStartDelay {
		return false
	}
	for _, p := range c.peers {
		if p.Version > 0 && config.PositionOf(p.Version).Era < c.state.Era() {
			return true
		}
	}
	return false
}

// activate puts the configuration of the state in force.
func (c *Core) activate() {
	version := c.state.Version()
	if c.reporter != nil {
		c.reporter.Check(invariant.ConfigForward, version >= c.versionInForce, "node %s: version %d after %d", c.options.Node, version, c.versionInForce)
	}
	if version == c.versionInForce {
		return
	}
	c.versionInForce = version
	if c.options.OnConfig != nil {
		c.options.OnConfig(c.state.Config())
	}
}
