package gate

import (
	"net/http"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// NoteRefusedCall records that a call by a target of this host found no room.
func (g *Gate) NoteRefusedCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusedCalls.Note(g.now())
}

// checkCallThrottle refuses a request on arrival when the calls that runs of its class make
// find no room. Work that is itself a call is not refused here: the run that waits for it
// has begun, and the gate of that run learns of the shortage. Entries do not retry the
// refusal, as the other gates of the service have the same shortage.
func (e *exchange) checkCallThrottle() bool {
	g := e.gate
	g.mu.Lock()
	if !g.ranked || g.callers.Called(e.class) {
		g.mu.Unlock()
		return true
	}
	now := g.now()
	reported := admission.ParseCallCounts(e.r.Header.Get(attempt.HeaderCallCounts))
	admitted := g.callThrottle.Admit(now, e.class, e.workOrClassRank(), reported, g.rand.Float64())
	wait := admission.CallRetryAfter(e.deadline.Sub(now), g.rand.Float64())
	g.mu.Unlock()
	if !admitted {
		e.respondProblem(attempt.VerdictRefused, attempt.ReasonCallOverload, "calls of this class find no room", wait)
	}
	return admitted
}

// observeCalls records whether the calls of a run found room. An error of the target that
// no refused call explains shows nothing about them. The caller holds Gate.mu.
func (e *exchange) observeCalls(status int) {
	g := e.gate
	failed := status >= http.StatusInternalServerError
	if !g.ranked || failed && !g.refusedCalls.Explain(g.now(), e.sentAt) {
		return
	}
	e.callRefused = failed
	if !g.callers.Called(e.class) {
		g.callThrottle.Ended(g.now(), e.class, !failed)
	}
}
