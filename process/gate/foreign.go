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

// refusalBytes bounds the body of a target's refusal that is read so that the
// connection can be kept.
const refusalBytes = 16 << 10

var (
	errUnsigned = errors.New("answer without the target's signature")
	errEncoded  = errors.New("answer with an encoding that was not asked for")
)

// refusedByTarget reports an answer that is not the outcome of the work: the
// target did not run the request, or the answer is not the target's own. It
// applies to surfaces on which targets sign their answers.
func (x *exchange) refusedByTarget(resp *roundtrip.Response) bool {
	s := &x.g.o.HTTPProfile
	if s.ResponseSignature == "" {
		return false
	}
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	if resp.Header.Get(s.NotExecuted) != "" || misdirected {
		_, _ = io.CopyN(io.Discard, resp.Body, refusalBytes) // an unread rest costs the connection only
		x.result = order.Result{Outcome: attempt.NotRun}
		x.release()
		x.refuse(attempt.VerdictRefused, targetReason(resp.StatusCode), fmt.Sprintf("the target refused with status %d", resp.StatusCode), 0)
		if misdirected {
			x.markGone()
		}
		return true
	}
	err := error(nil)
	switch {
	case resp.Header.Get(s.ResponseSignature) == "":
		err = errUnsigned
	case resp.Header.Get("Content-Encoding") != "":
		err = errEncoded
	}
	if err == nil || x.g.o.noVerify {
		return false
	}
	x.refuse(attempt.VerdictFailed, attempt.ReasonResponseCorrupt, err.Error(), 0)
	return true
}

// targetReason is the reason of a target's refusal.
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

// markGone takes a target out of use whose address answers for another one. An
// announcement ends that.
func (x *exchange) markGone() {
	g := x.g
	g.mu.Lock()
	t := g.targets[x.target]
	gone := t != nil && t == x.t && !t.down
	if gone {
		t.down = true
		g.deliver(g.admission.Remove(g.now(), t.ID).Refused)
	}
	g.mu.Unlock()
	if gone {
		g.log.Warn().Str("request", string(x.id.Request)).Msgf("gate: another process answers at the address of target %s", x.target)
		g.o.OnTargetsChanged()
	}
}
