package entry

import (
	"net/http"
	"time"
)

// drainTimes are the times of a drain that ends at a fixed time.
type drainTimes struct {
	lateFrom time.Time // requests that arrive later are taken only if they end in time
	end      time.Time // when requests that still wait for a target get a response
}

// Drain makes each further response close its connection, so that callers
// connect to other nodes. It also affects the requests in progress.
func (e *Entry) Drain() { e.draining.Store(true) }

// SetDrainTimes makes a draining entry refuse requests that arrive after lateFrom and
// whose deadline is after end. They could be cut while their targets work.
func (e *Entry) SetDrainTimes(lateFrom, end time.Time) {
	e.drainTimes.Store(&drainTimes{lateFrom, end})
}

// closeIfDraining makes the response with header h close its connection in a drain.
func (e *Entry) closeIfDraining(h http.Header) {
	if e.draining.Load() {
		h["Connection"] = []string{"close"}
	}
}

// tooLateForDrain reports whether the request may not end before the drain does, and
// the time until the drain ends.
func (q *request) tooLateForDrain() (time.Duration, bool) {
	times := q.entry.drainTimes.Load()
	if times == nil || q.start.Before(times.lateFrom) || !q.deadline.After(times.end) {
		return 0, false
	}
	return max(0, times.end.Sub(q.entry.now())), true
}
