package gate

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/targetlimit"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// observeTargetHeader learns from the target's response to this exchange what the
// target says of itself: the rate of requests that it takes, and that it leaves.
// Responses that do not name the request, or that refuse it as misdirected, may be
// another process's.
func (e *exchange) observeTargetHeader(incarnation attempt.Incarnation, resp *roundtrip.Response) {
	if !e.namesRequest(resp.Header) || resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	e.observeRate(resp.Header)
	if e.gate.options.HTTPProfile.SaysLeaving(resp.Header) {
		e.gate.DrainProcess(e.gate.now(), e.targetID, incarnation.StartedMS)
	}
}

// observeRate applies the rate that a response names. It ignores a value that is no
// rate: the response neither names nor ends a limit. Nor does a refusal without a rate
// end one, as the target is still in need.
func (e *exchange) observeRate(h http.Header) {
	profile := &e.gate.options.HTTPProfile
	name := profile.TargetRate
	if name == "" {
		return
	}
	text := h.Get(name)
	if text == "" && profile.NotExecuted != "" && h.Get(profile.NotExecuted) != "" {
		return
	}
	rate, named := 0.0, false
	if text != "" {
		if rate, named = targetlimit.Parse(text); !named {
			e.gate.log.Warn().Str("request", string(e.id.Request)).Str("target", e.targetID).Msgf("gate: header %s is %q, want requests/s as a decimal number", name, text)
			return
		}
	}
	g := e.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.targets[e.targetID]; t == nil || t != e.target {
		return
	}
	changed, decisions := g.admission.ObserveRate(g.now(), e.targetID, e.sentAt, rate, named)
	g.deliver(decisions)
	if changed {
		g.recordRate(e.target, "in a response")
	}
}

// adoptRate takes over the rate that the entry learned from earlier responses of the
// target, as after a restart of this node.
func (e *exchange) adoptRate() {
	text := e.r.Header.Get(attempt.HeaderTargetRate)
	if text == "" {
		return
	}
	rate, ok := targetlimit.Parse(text)
	if !ok {
		return
	}
	g := e.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.targets[e.targetID]; t != nil && g.admission.AdoptRate(g.now(), e.targetID, rate) {
		g.recordRate(t, "as an entry learned before")
	}
}

// recordRate records that the limit of a target has changed. The caller holds g.mu.
func (g *Gate) recordRate(t *target, source string) {
	state, why := "unlimited", "the target names no rate any more"
	if rate, limited := g.admission.Rate(t.ID); limited {
		state, why = "limited", "the target takes "+formatRate(rate)+" requests/s, "+source
	}
	g.options.Record(record.Record{At: g.now(), Node: g.options.Node, Kind: record.KindLimit,
		Change: &record.Change{Subject: t.ID, Service: t.Service, To: state, Why: why}})
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'f', -1, 64) }

// countProbe counts a probe towards the rate that the target takes.
func (g *Gate) countProbe(now time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.CountRequest(now, id)
}
