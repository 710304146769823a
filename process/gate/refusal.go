package gate

import (
	"errors"
	"fmt"
	"io"
	"net/http"

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
		if resp.Reused && !e.namesRequest(resp.Header) {
			e.respondProblem(attempt.VerdictFailed, attempt.ReasonTargetFailed, errAnonymousRefusal.Error(), 0)
			return true
		}
		e.gate.mu.Lock()
		e.gate.refused.add(e.gate.now(), e.id.Request)
		e.gate.mu.Unlock()
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

// namesRequest reports whether a response names the request of this exchange. Without
// request IDs of callers responses name none, and all pass.
func (e *exchange) namesRequest(h http.Header) bool {
	profile := &e.gate.options.HTTPProfile
	return !profile.CallerRequestIDs || h.Get(profile.RequestID) == string(e.id.Request)
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
