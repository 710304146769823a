package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/process/periodic"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
)

const (
	tickInterval         = 100 * time.Millisecond
	probeInterval        = time.Second            // between probes of one target by this entry
	callTimeout          = 500 * time.Millisecond // of a status or withdrawal request
	probeTimeout         = 1500 * time.Millisecond
	maxCallResponseBytes = 256 << 10
)

// Serve runs the entry's periodic work until ctx ends.
func (e *Entry) Serve(ctx context.Context) error {
	n := 0
	return periodic.Run(ctx, tickInterval, func() {
		now := e.now()
		e.mu.Lock()
		changes := e.endAffectedAttempts(e.health.Tick(now))
		if n%5 == 0 {
			e.demand.tick(now)
		}
		e.mu.Unlock()
		e.handleHealthChanges(now, changes)
		if n%5 == 0 {
			e.probeWantedTargets(ctx, now)
			e.client.CloseExpired(time.Now())
		}
		n++
	})
}

// endAffectedAttempts ends the attempts that health changes affect, and returns
// the changes. The caller holds e.mu.
func (e *Entry) endAffectedAttempts(changes []health.Change) []health.Change {
	for _, change := range changes {
		switch change.Kind {
		case health.ReplaceConnection:
			if active := e.activeAttempts[change.Attempt]; active != nil {
				active.cancel(errConnectionSilent)
			}
		case health.Eject, health.PathDown:
			for _, active := range e.activeAttempts {
				affected := active.target.key == change.Target || (change.Kind == health.PathDown && active.target.member.Node == change.Node)
				if affected && !active.trickle {
					active.replace(errEjected)
				}
			}
		}
	}
	if len(changes) > 0 {
		clear(e.candidateCache)
	}
	return changes
}

// handleHealthChanges records health changes and makes the calls that they request:
// it closes idle connections and verifies attempts.
func (e *Entry) handleHealthChanges(now time.Time, changes []health.Change) {
	for _, change := range changes {
		switch change.Kind {
		case health.ReplaceConnection:
			e.closeIdle(change.Node)
		case health.VerifyAttempt:
			go e.verifyAttempt(change)
		case health.Eject:
			e.recordChange(now, record.KindEjection, targetChange(change, "in rotation", "ejected"))
		case health.Return:
			e.recordChange(now, record.KindReturn, targetChange(change, "ejected", "in rotation"))
		case health.EjectionBlocked:
			e.recordChange(now, record.KindEjection, targetChange(change, "in rotation", "in rotation"))
		case health.PathDown, health.PathUp, health.DomainUnreachable, health.DomainReachable:
			if change.Kind == health.PathDown {
				e.closeIdle(change.Node)
			}
			subject := change.Node
			if subject == "" {
				subject = change.Domain
			}
			e.recordChange(now, record.KindMembership, record.Change{Subject: subject, To: string(change.Kind), Why: change.Why})
		case health.LocalPause:
			e.recordChange(now, record.KindPause, record.Change{Subject: e.options.Node, To: "paused", Why: change.Why})
		}
	}
}

func (e *Entry) closeIdle(node string) {
	if member := e.fleet.Load().members[node]; member != nil {
		e.client.CloseIdle(member.DataAddress)
	}
}

// verifyAttempt requests the status of an attempt from its gate over a new
// connection and reports it to the health tracker.
func (e *Entry) verifyAttempt(change health.Change) {
	e.mu.Lock()
	active := e.activeAttempts[change.Attempt]
	e.mu.Unlock()
	if active == nil {
		return
	}
	e.client.CloseIdle(active.target.member.DataAddress)
	var response gate.StatusResponse
	err := e.callGate(http.MethodPost, active.target.member.DataAddress, "/v1/status", gate.StatusRequest{Attempts: []string{active.id}}, &response, callTimeout)
	ev := health.Evidence{Kind: health.GateStatus, Target: active.target.key, Node: active.target.member.Node, Class: active.class, Attempt: change.Attempt,
		Running: response.Active[active.id], Service: time.Duration(response.ServiceUS[active.id]) * time.Microsecond, OtherAttempts: response.OtherAttempts[active.id]}
	if err != nil {
		ev.Fault = callFault(err)
	}
	e.observe(ev)
}

// callFault classifies the error of a call to a gate.
func callFault(err error) health.Fault {
	if isTimeout(err) || errors.Is(err, context.DeadlineExceeded) {
		return health.GateUnresponsive
	}
	return health.ConnectionRefused
}

// observe passes evidence to the health tracker and handles the changes it causes.
func (e *Entry) observe(ev health.Evidence) {
	now := e.now()
	e.mu.Lock()
	changes := e.endAffectedAttempts(e.health.Observe(now, ev))
	e.mu.Unlock()
	e.handleHealthChanges(now, changes)
}

// probeWantedTargets probes the targets for which the health tracker wants a probe.
func (e *Entry) probeWantedTargets(ctx context.Context, now time.Time) {
	f := e.fleet.Load()
	var due []gateTarget
	e.mu.Lock()
	for key := range e.lastProbes {
		if now.Sub(e.lastProbes[key]) >= probeInterval {
			delete(e.lastProbes, key)
		}
	}
	for _, key := range e.health.ProbesWanted() {
		target, known := f.targets[key]
		if _, recent := e.lastProbes[key]; known && !recent && !target.leaving() {
			e.lastProbes[key] = now
			due = append(due, target)
		}
	}
	e.mu.Unlock()
	for _, target := range due {
		go func() {
			if ctx.Err() == nil {
				e.probeTarget(target)
			}
		}()
	}
}

func (e *Entry) probeTarget(target gateTarget) {
	var res gate.ProbeResult
	err := e.callGate(http.MethodGet, target.member.DataAddress, "/v1/probe?target="+url.QueryEscape(target.info.ID), nil, &res, probeTimeout)
	ev := health.Evidence{Kind: health.Probe, Target: target.key, Node: target.member.Node, Duration: time.Duration(res.DurationMS * float64(time.Millisecond))}
	switch {
	case err != nil:
		ev.Fault = callFault(err)
	case res.Status == 0:
		ev.Fault = health.Timeout
	case res.Status >= 400:
		ev.Fault = health.Error
	}
	e.observe(ev)
}

// withdraw requests the withdrawal of an attempt from its gate. It reports whether
// the gate responded never-started, after which the attempt cannot start any more.
func (q *request) withdraw(number int) bool {
	a := &q.history[number-1]
	a.WithdrawRequested = true
	q.entry.client.CloseIdle(a.member.DataAddress) // the attempt's connection may be silent
	withdrawal := gate.Withdrawal{Attempt: a.attemptID, Gate: a.member.Incarnation.String(), AgeMS: q.entry.now().Sub(a.Started).Milliseconds()}
	if !q.orderKey.IsZero() {
		withdrawal.Order = gate.FormatOrderKey(q.orderKey)
	}
	var response gate.WithdrawResponse
	err := q.entry.callGate(http.MethodPost, a.member.DataAddress, "/v1/withdraw", gate.WithdrawRequest{Attempts: []gate.Withdrawal{withdrawal}}, &response, callTimeout)
	switch status := response.Attempts[a.attemptID]; {
	case err != nil:
		a.record.Next = "withdrawal failed: " + err.Error()
	case status == gate.WithdrawNeverStarted:
		a.NeverStarted = true
		a.record.Next = "withdrawn: it never started"
	default:
		a.record.Next = "withdrawal: " + string(status)
	}
	return err == nil && response.Attempts[a.attemptID] == gate.WithdrawNeverStarted
}

// callGate sends a request to a gate, with in as its JSON body unless in is nil, and
// decodes the JSON response into out.
func (e *Entry) callGate(method, address, uri string, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := &roundtrip.Request{Method: method, URI: uri, Host: address,
		Fields: []roundtrip.Field{{Name: attempt.HeaderFleet, Value: e.options.Token}}}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return err
		}
		req.Prefix, req.Length = body, int64(len(body))
	}
	resp, err := e.client.Do(ctx, address, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCallResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return json.NewDecoder(bytes.NewReader(data)).Decode(out)
}

// Reports returns this entry's evidence on targets, for gossip.
func (e *Entry) Reports() []health.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.Reports(e.now())
}

// MergeReports passes the evidence of other entries to the health tracker.
func (e *Entry) MergeReports(reports []health.Report) {
	for _, r := range reports {
		if r.From != e.options.Node {
			e.observe(health.Evidence{Kind: health.RemoteReport, Target: r.Target, Report: r})
		}
	}
}

// RetractCrashes retracts the evidence of crashes that a request, not its target,
// caused.
func (e *Entry) RetractCrashes(changes []poison.Change) {
	for _, c := range changes {
		if c.Kind == poison.ChangeCrashRetracted {
			e.observe(health.Evidence{Kind: health.CrashRetracted, Target: c.Target})
		}
	}
}

// TargetStatus describes a target as this entry sees it.
type TargetStatus struct {
	ID      string `json:"id"`
	Node    string `json:"node"`
	Domain  string `json:"domain"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
	// InSubset reports whether this entry uses the target.
	InSubset      bool    `json:"in_subset"`
	Ejected       bool    `json:"ejected,omitempty"`
	Weight        float64 `json:"weight"`
	Suspicion     float64 `json:"suspicion"`
	PathSuspicion float64 `json:"path_suspicion"`
	Why           string  `json:"why,omitempty"`
}

// Targets returns the status of all targets, sorted by their keys.
func (e *Entry) Targets() []TargetStatus {
	f := e.fleet.Load()
	out := make([]TargetStatus, 0, len(f.targets))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(f.targets)) {
		target := f.targets[key]
		state := e.health.State(key)
		out = append(out, TargetStatus{
			ID: target.info.ID, Node: target.member.Node, Domain: target.member.Domain, Service: target.info.Service, Slots: target.info.Slots,
			Leaving: target.leaving(), InSubset: state != (health.State{Why: state.Why}), Ejected: state.Ejected, Weight: state.Weight,
			Suspicion: state.Suspicion, PathSuspicion: state.PathSuspicion, Why: state.Why,
		})
	}
	return out
}

// targetChange returns the record of a health change. It names the target by its
// own ID, as attempts do, because operators look it up by that ID; the health
// tracker's key names the node as well.
func targetChange(change health.Change, from, to string) record.Change {
	return record.Change{Subject: strings.TrimSuffix(change.Target, gate.TargetKey(change.Node, "")), Node: change.Node, Service: change.Service,
		From: from, To: to, Why: change.Why}
}
