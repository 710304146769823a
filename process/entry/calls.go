package entry

import (
	"net/http"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// classKey names a class of a service.
type classKey struct{ service, class string }

// isRefusedCall reports whether the request is a call of a target on this host that found
// no room, or whose run failed because a call of its own found none. A called target that
// failed itself is not a lack of room.
func (q *request) isRefusedCall() bool {
	if !q.called {
		return false
	}
	refused := q.record.Outcome == attempt.NotRun && (q.record.Reason == attempt.ReasonOverload || q.record.Reason == attempt.ReasonCallOverload)
	return refused || q.callRefused
}

// countCalls counts an attempt for the throttles of the gates, see admission.CallThrottle.
// An attempt that ended in another way than by its calls is not counted. The caller holds
// e.mu.
func (e *Entry) countCalls(now time.Time, r *result) {
	q := r.attempt.request
	if !q.routing.ranked {
		return
	}
	foundRoom := r.verdict == attempt.VerdictRan && r.status < http.StatusInternalServerError
	if !foundRoom && r.reason != attempt.ReasonCallOverload && !r.callRefused {
		return
	}
	key := classKey{q.service, q.match.Route.Class}
	counts := e.callCounts[key]
	if counts == nil {
		counts = &admission.CallCounts{}
		e.callCounts[key] = counts
	}
	counts.Count(now, foundRoom)
}

// minReportedRefusals is the decayed count of requests without room from which an entry
// reports its counts. Without any, the field would only add bytes to each request.
const minReportedRefusals = 0.1

// callCountsOf returns the value of HeaderCallCounts for a request, "" if its class found
// room lately.
func (e *Entry) callCountsOf(q *request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.callCounts[classKey{q.service, q.match.Route.Class}]
	if counts == nil {
		return ""
	}
	if at := counts.At(e.now()); at.Requests-at.Accepted >= minReportedRefusals {
		return at.String()
	}
	return ""
}
