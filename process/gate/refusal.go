package gate

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/order"
)

// maxRefusalBytes bounds how much of the body of a target's refusal is read so that
// the connection can be reused.
const maxRefusalBytes = 16 << 10

var (
	errSignatureMissing = errors.New("response without the target's signature")
	errAnonymousRefusal = errors.New("a refusal on a kept connection that names no request; it may be that of an earlier one")
	errContentEncoding  = errors.New("response with a Content-Encoding that was not requested")
)

// refusedByTarget reports whether resp is not the result of the work, because the
// target did not run the request or the response is not the target's own. It has then
// sent the problem document to the entry. It applies to HTTP profiles in which targets
// sign their responses.
func (e *exchange) refusedByTarget(resp *roundtrip.Response) bool {
	profile := &e.gate.options.HTTPProfile
	if profile.ResponseSignature == "" {
		return false
	}
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	if resp.Header.Get(profile.NotExecuted) != "" || misdirected {
		if !e.namesRequest(resp) && resp.Reused {
			e.respondProblem(attempt.VerdictFailed, attempt.ReasonTargetFailed, errAnonymousRefusal.Error(), 0)
			return true
		}
		e.gate.noteRefused(e.id.Request)
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBytes) // with an unread rest the connection is not reused
		e.result = order.Result{Outcome: attempt.NotRun, RefusedByTarget: true}
		e.release()
		e.respondProblem(attempt.VerdictRefused, targetReason(resp.StatusCode), fmt.Sprintf("the target refused with status %d", resp.StatusCode), 0)
		if misdirected {
			e.markReplaced()
		}
		return true
	}
	err := error(nil)
	switch {
	case resp.Header.Get(profile.ResponseSignature) == "":
		err = errSignatureMissing
	case resp.Header.Get("Content-Encoding") != "":
		err = errContentEncoding
	}
	if err == nil || e.gate.options.skipVerification {
		return false
	}
	e.respondProblem(attempt.VerdictFailed, attempt.ReasonResponseCorrupt, err.Error(), 0)
	return true
}

// namesRequest reports whether a response names the request of this exchange. In a
// profile without request IDs of callers no response does.
func (e *exchange) namesRequest(resp *roundtrip.Response) bool {
	profile := &e.gate.options.HTTPProfile
	return !profile.CallerRequestIDs || resp.Header.Get(profile.RequestID) == string(e.id.Request)
}

// refusedMemory is how long a gate remembers that its targets refused a request, and
// maxRefused the number of requests that it remembers.
const (
	refusedMemory = time.Minute
	maxRefused    = 8192
)

// noteRefused remembers that a target refused a request. When the request is sent
// again, a faulty target may write that refusal once more on the kept connection. Both
// name the same request, so it then gets a new connection.
func (g *Gate) noteRefused(id attempt.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.refused) < maxRefused {
		g.refused[id] = g.now()
	}
}

// wasRefused reports whether a target refused a request before.
func (g *Gate) wasRefused(id attempt.RequestID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, refused := g.refused[id]
	return refused || len(g.refused) >= maxRefused
}

// forgetRefused removes old entries of noteRefused. The caller holds g.mu.
func (g *Gate) forgetRefused(now time.Time) {
	maps.DeleteFunc(g.refused, func(_ attempt.RequestID, at time.Time) bool { return now.Sub(at) >= refusedMemory })
}

// targetReason returns the reason for the status of a target's refusal.
func targetReason(status int) attempt.Reason {
	switch status {
	case http.StatusMisdirectedRequest:
		return attempt.ReasonIncarnationMismatch
	case http.StatusBadRequest:
		return attempt.ReasonBadRequest
	default:
		return attempt.ReasonTargetRefused
	}
}

// markReplaced takes a target out of use until its next announcement, because another
// process responds at its address.
func (e *exchange) markReplaced() {
	g := e.gate
	g.mu.Lock()
	t := g.targets[e.targetID]
	marked := t != nil && t == e.target && !t.down
	if marked {
		t.down = true
		g.deliver(g.admission.Remove(g.now(), t.ID).Refused)
	}
	g.mu.Unlock()
	if marked {
		g.log.Warn().Str("request", string(e.id.Request)).Msgf("gate: another process responds at the address of target %s", e.targetID)
		g.options.OnTargetsChanged()
	}
}
