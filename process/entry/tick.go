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
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
)

const (
	tickInterval  = 100 * time.Millisecond
	probeInterval = time.Second // between probes of one target by this entry
	callTimeout   = 500 * time.Millisecond
	probeCall     = 1500 * time.Millisecond
	answerBytes   = 256 << 10
)

// Serve runs the entry's periodic work until ctx ends.
func (e *Entry) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := e.now()
		e.mu.Lock()
		actions := e.take(e.health.Tick(now))
		if n%5 == 0 {
			e.demand.tick(now)
		}
		e.mu.Unlock()
		e.act(now, actions)
		if n%5 == 0 {
			e.probe(ctx, now)
			e.client.CloseExpired(time.Now())
		}
	}
}

// take ends the attempts that changes of health concern. e.mu is held.
func (e *Entry) take(changes []health.Change) []health.Change {
	for _, c := range changes {
		switch c.Kind {
		case health.ReplaceConnection:
			if t := e.tries[c.Attempt]; t != nil {
				t.cancel(errReplaced)
			}
		case health.Eject, health.PathDown:
			for _, t := range e.tries {
				concerned := t.l.key == c.Target || (c.Kind == health.PathDown && t.l.member.Node == c.Node)
				if concerned && !t.trickle {
					t.replace(errEjected)
				}
			}
		}
	}
	if len(changes) > 0 {
		clear(e.evidence)
	}
	return changes
}

// act records changes of health and does what they ask for.
func (e *Entry) act(now time.Time, changes []health.Change) {
	for _, c := range changes {
		switch c.Kind {
		case health.ReplaceConnection:
			e.dropIdle(c.Node)
		case health.VerifyAttempt:
			go e.verify(c)
		case health.Eject:
			e.recordChange(now, record.KindEjection, targetChange(c, "in rotation", "ejected"))
		case health.Return:
			e.recordChange(now, record.KindReturn, targetChange(c, "ejected", "in rotation"))
		case health.EjectionBlocked:
			e.recordChange(now, record.KindEjection, targetChange(c, "in rotation", "in rotation"))
		case health.PathDown, health.PathUp, health.DomainUnreachable, health.DomainReachable:
			if c.Kind == health.PathDown {
				e.dropIdle(c.Node)
			}
			subject := c.Node
			if subject == "" {
				subject = c.Domain
			}
			e.recordChange(now, record.KindMembership, record.Change{Subject: subject, To: string(c.Kind), Why: c.Why})
		case health.LocalPause:
			e.recordChange(now, record.KindPause, record.Change{Subject: e.o.Node, To: "paused", Why: c.Why})
		}
	}
}

func (e *Entry) dropIdle(node string) {
	if m := e.fleet.Load().members[node]; m != nil {
		e.client.CloseIdle(m.DataAddress)
	}
}

// verify asks a gate on a new connection whether it has an attempt.
func (e *Entry) verify(c health.Change) {
	e.mu.Lock()
	t := e.tries[c.Attempt]
	e.mu.Unlock()
	if t == nil {
		return
	}
	e.client.CloseIdle(t.l.member.DataAddress)
	var answer gate.StatusResponse
	err := e.call(http.MethodPost, t.l.member.DataAddress, "/v1/status", gate.StatusRequest{Attempts: []string{t.idText}}, &answer, callTimeout)
	ev := health.Evidence{Kind: health.GateStatus, Target: t.l.key, Node: t.l.member.Node, Class: t.class, Attempt: c.Attempt,
		Running: answer.Active[t.idText], Service: time.Duration(answer.ServiceUS[t.idText]) * time.Microsecond, OtherAttempts: answer.OtherAttempts[t.idText]}
	if err != nil {
		ev.Fault = callFault(err)
	}
	e.observe(ev)
}

func callFault(err error) health.Fault {
	if isTimeout(err) || errors.Is(err, context.DeadlineExceeded) {
		return health.GateUnresponsive
	}
	return health.ConnectionRefused
}

func (e *Entry) observe(ev health.Evidence) {
	now := e.now()
	e.mu.Lock()
	actions := e.take(e.health.Observe(now, ev))
	e.mu.Unlock()
	e.act(now, actions)
}

// probe probes the targets whose judgement a probe would help.
func (e *Entry) probe(ctx context.Context, now time.Time) {
	f := e.fleet.Load()
	var due []located
	e.mu.Lock()
	for key := range e.probing {
		if now.Sub(e.probing[key]) >= probeInterval {
			delete(e.probing, key)
		}
	}
	for _, key := range e.health.ProbesWanted() {
		l, known := f.targets[key]
		if _, recent := e.probing[key]; known && !recent && !l.leaving() {
			e.probing[key] = now
			due = append(due, l)
		}
	}
	e.mu.Unlock()
	for _, l := range due {
		go func() {
			if ctx.Err() == nil {
				e.probeOne(l)
			}
		}()
	}
}

func (e *Entry) probeOne(l located) {
	var res gate.ProbeResult
	err := e.call(http.MethodGet, l.member.DataAddress, "/v1/probe?target="+url.QueryEscape(l.target.ID), nil, &res, probeCall)
	ev := health.Evidence{Kind: health.Probe, Target: l.key, Node: l.member.Node, Duration: time.Duration(res.DurationMS * float64(time.Millisecond))}
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

// withdraw asks the gate of an attempt whether it started. After its answer
// never-started, which it reports, the attempt cannot start any more.
func (q *request) withdraw(number int) bool {
	a := &q.history[number-1]
	a.WithdrawRequested = true
	q.e.client.CloseIdle(a.member.DataAddress) // the attempt's connection may be silent
	w := gate.Withdrawal{Attempt: a.id, Gate: a.member.Incarnation.String(), AgeMS: q.e.now().Sub(a.Started).Milliseconds()}
	if !q.key.IsZero() {
		w.Order = gate.FormatOrderKey(q.key)
	}
	var answer gate.WithdrawResponse
	err := q.e.call(http.MethodPost, a.member.DataAddress, "/v1/withdraw", gate.WithdrawRequest{Attempts: []gate.Withdrawal{w}}, &answer, callTimeout)
	switch status := answer.Attempts[a.id]; {
	case err != nil:
		a.record.Next = "withdrawal failed: " + err.Error()
	case status == gate.WithdrawNeverStarted:
		a.NeverStarted = true
		a.record.Next = "withdrawn: it never started"
	default:
		a.record.Next = "withdrawal: " + string(status)
	}
	return err == nil && answer.Attempts[a.id] == gate.WithdrawNeverStarted
}

// call makes a call to another node's gate.
func (e *Entry) call(method, address, uri string, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := &roundtrip.Request{Method: method, URI: uri, Host: address,
		Fields: []roundtrip.Field{{Name: attempt.HeaderFleet, Value: e.o.Token}}}
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerBytes))
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

// MergeReports takes in the evidence of other entries.
func (e *Entry) MergeReports(reports []health.Report) {
	for _, r := range reports {
		if r.From != e.o.Node {
			e.observe(health.Evidence{Kind: health.RemoteReport, Target: r.Target, Report: r})
		}
	}
}

// RetractCrashes takes back the evidence of crashes that a request caused.
func (e *Entry) RetractCrashes(changes []poison.Change) {
	for _, c := range changes {
		if c.Kind == poison.ChangeCrashRetracted {
			e.observe(health.Evidence{Kind: health.CrashRetracted, Target: c.Target})
		}
	}
}

// TargetStatus is what this entry knows of a target.
type TargetStatus struct {
	ID      string `json:"id"`
	Node    string `json:"node"`
	Domain  string `json:"domain"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
	// InSubset tells whether this entry uses the target.
	InSubset      bool    `json:"in_subset"`
	Ejected       bool    `json:"ejected,omitempty"`
	Weight        float64 `json:"weight"`
	Suspicion     float64 `json:"suspicion"`
	PathSuspicion float64 `json:"path_suspicion"`
	Why           string  `json:"why,omitempty"`
}

// Targets returns what this entry knows of all targets, sorted by identity.
func (e *Entry) Targets() []TargetStatus {
	f := e.fleet.Load()
	out := make([]TargetStatus, 0, len(f.targets))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(f.targets)) {
		l := f.targets[key]
		s := e.health.State(key)
		out = append(out, TargetStatus{
			ID: l.target.ID, Node: l.member.Node, Domain: l.member.Domain, Service: l.target.Service, Slots: l.target.Slots,
			Leaving: l.leaving(), InSubset: s != (health.State{Why: s.Why}), Ejected: s.Ejected, Weight: s.Weight,
			Suspicion: s.Suspicion, PathSuspicion: s.PathSuspicion, Why: s.Why,
		})
	}
	return out
}

// targetChange names the target by its own id, as attempts do, since operators
// ask for it by that id. The key of the tracker names the node as well.
func targetChange(c health.Change, from, to string) record.Change {
	return record.Change{Subject: strings.TrimSuffix(c.Target, gate.TargetKey(c.Node, "")), Node: c.Node, Service: c.Service,
		From: from, To: to, Why: c.Why}
}
