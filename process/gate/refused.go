package gate

import (
	"maps"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const (
	// refusedMemory is longer than a request is sent again after a refusal.
	refusedMemory = time.Minute
	// maxRefused bounds the memory of a gate whose targets refuse everything.
	maxRefused = 8192
)

// refusedRequests remembers which requests a target refused, and when. When such a
// request is sent again, a faulty target may write that refusal once more on the kept
// connection. Both name the same request, so it gets a new connection.
type refusedRequests map[attempt.RequestID]time.Time

func (r refusedRequests) add(now time.Time, id attempt.RequestID) {
	if len(r) < maxRefused {
		r[id] = now
	}
}

// has reports whether the request may have been refused before.
func (r refusedRequests) has(id attempt.RequestID) bool {
	_, ok := r[id]
	return ok || len(r) >= maxRefused
}

// expire forgets old refusals.
func (r refusedRequests) expire(now time.Time) {
	maps.DeleteFunc(r, func(_ attempt.RequestID, at time.Time) bool { return now.Sub(at) >= refusedMemory })
}
