package breaker

import "time"

// failedCallWindow is the time after the failure of a call within which an error of the
// calling target is explained by it. A target that cannot complete its work without the
// call responds within a few milliseconds; the rest is for a busy host.
const failedCallWindow = 50 * time.Millisecond

// FailedCalls remembers the last failed request that came from a host. A target whose
// call to another service has failed responds with an error itself, which shows nothing
// about the target: when the called service is short of capacity, the breakers of all its
// callers would open, although they are healthy. It is not safe for concurrent use.
type FailedCalls struct{ last time.Time }

// Note records that a request from the host has failed.
func (c *FailedCalls) Note(now time.Time) { c.last = now }

// Explain reports whether a failed call explains an error that a target of the host
// returned now to a request sent at started.
func (c *FailedCalls) Explain(now, started time.Time) bool {
	return c.last.After(started) && now.Sub(c.last) <= failedCallWindow
}
