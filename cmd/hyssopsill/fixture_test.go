package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/entry"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
)

var (
	incidentStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	fixtureNow    = incidentStart.Add(10 * time.Minute)
)

// fleet is a log stand-in and the admin listeners of two nodes in two failure
// domains. Node n1 recorded an incident: a failing target, an order with an unknown
// outcome, a log outage that overflowed its buffer, and the target's reinstatement.
type fleet struct {
	log               *logservice.Service
	logURL            string
	urls              []string
	reportVersionZero bool // nodes report version 0, whatever the log holds
	// beforeAppend runs once, right before the next append of a command.
	beforeAppend func()
	ring         *record.Ring
	exportQueue  *telemetry.ExportQueue
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{log: logservice.New(logservice.Options{}), ring: record.NewRing(record.RingOptions{MaxRecords: 20})}
	handler := f.log.Handler()
	f.logURL = startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if beforeAppend := f.beforeAppend; beforeAppend != nil && r.Method == http.MethodPost {
			f.beforeAppend = nil
			beforeAppend()
		}
		handler.ServeHTTP(w, r)
	}))
	for i, domain := range []string{"a", "b"} {
		node, ring := fmt.Sprint("n", i+1), record.NewRing(record.RingOptions{})
		if i == 0 {
			ring = f.ring
		}
		mux := http.NewServeMux()
		mux.Handle("GET /v1/explain", telemetry.ExplainHandler(node, ring))
		mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { f.serveStatus(w, r, node, domain) })
		mux.HandleFunc("GET /v1/targets", func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode([]telemetry.TargetStatus{
				{ID: "orders-3", Service: "orders", Node: "n1", Domain: "a", Slots: 6, InSubset: true, Ejected: true, Weight: 0.01, Suspicion: 0.93,
					Why: "8 of 10 answers failed within 1s"},
				{ID: "orders-5", Service: "orders", Node: "n2", Domain: "b", Slots: 6, InSubset: true, Weight: 1},
			})
		})
		mux.HandleFunc("GET /v1/where", func(w http.ResponseWriter, r *http.Request) {
			q := r.URL.Query()
			d := entry.Destination{Node: node, ConfigVersion: 1, Account: q.Get("account"), Why: "no route for " + q.Get("method") + " " + q.Get("path")}
			if q.Get("path") == "/orders/7" {
				d.Route, d.Service, d.Class, d.Choice, d.ChoiceNode, d.Why = "orders", "orders", "place", "orders-5", "n2", "own failure domain"
				d.Candidates = []entry.DestinationCandidate{{Target: "orders-5", Node: "n2", Domain: "b", Own: 1, Load: 0.4, Deviation: 0.1, AgeMS: 250, Weight: 1}}
			}
			_ = json.NewEncoder(w).Encode(d)
		})
		f.urls = append(f.urls, startServer(t, mux))
	}
	f.recordIncident(t)
	return f
}

func startServer(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func (f *fleet) serveStatus(w http.ResponseWriter, r *http.Request, node, domain string) {
	status := telemetry.Status{Node: node, Domain: domain, Ready: true}
	if state, err := config.Load(r.Context(), f.log); err == nil && !f.reportVersionZero {
		status.ConfigVersion = state.Version()
	}
	_ = json.NewEncoder(w).Encode(status)
}

func (f *fleet) addRecord(r record.Record) { f.ring.Add(f.exportQueue.Add(r)) }

// flush appends the batch that is due at now, if any. The log's faults decide
// whether that succeeds.
func (f *fleet) flush(now time.Time) {
	if batch, ok := f.exportQueue.Next(now); ok {
		data := batch.Encode()
		_, err := f.log.Append(context.Background(), eventlog.StreamDecisions, data)
		f.exportQueue.Done(len(data), err)
	}
}

func (f *fleet) recordIncident(t *testing.T) {
	t.Helper()
	f.exportQueue = telemetry.NewExportQueue(telemetry.ExportOptions{Node: "n1", BufferBytes: 12_000,
		Incarnation: attempt.Incarnation{StartedMS: incidentStart.UnixMilli(), Random: 7}})
	at := func(d time.Duration) time.Time { return incidentStart.Add(d) }
	f.addRecord(record.Record{At: at(60 * time.Second), Kind: record.KindEjection, Change: &record.Change{Subject: "orders-3",
		Service: "orders", From: "in rotation", To: "trickle", Why: "8 of 10 answers failed within 1s"}})
	f.addRecord(newRequestRecord("req-1", at(65*time.Second), attempt.Answered, attempt.ReasonNone, "view",
		failedAttempt("orders-3", "n1"), ranAttempt("orders-5", "n2")))
	f.addRecord(newRequestRecord("req-2", at(66*time.Second), attempt.Unknown, attempt.ReasonTargetFailed, "place", failedAttempt("orders-3", "n1")))
	f.log.SetFaults(logservice.Faults{LoseAppends: 1})
	f.flush(at(70 * time.Second)) // appended, but the response is lost
	f.flush(at(80 * time.Second)) // a duplicate
	f.log.SetFaults(logservice.Faults{Outage: true})
	for i := range 60 {
		f.addRecord(newRequestRecord(attempt.RequestID(fmt.Sprintf("refused-%d", i)), at(120*time.Second+time.Duration(i)*time.Second),
			attempt.NotRun, attempt.ReasonOverload, "view"))
		f.flush(at(120*time.Second + time.Duration(i)*time.Second))
	}
	f.log.SetFaults(logservice.Faults{})
	f.addRecord(record.Record{At: at(240 * time.Second), Kind: record.KindReturn, Change: &record.Change{Subject: "orders-3",
		Service: "orders", From: "trickle", To: "in rotation", Why: "5 trickle requests in a row were answered"}})
	for s := 241; s < 300; s += 4 {
		f.flush(at(time.Duration(s) * time.Second))
	}
	if s := f.exportQueue.Stats(); s.Buffered != 0 || s.Dropped == 0 || s.Failures == 0 {
		t.Fatalf("the incident has no gap: %+v", s)
	}
}

func newRequestRecord(id attempt.RequestID, at time.Time, outcome attempt.Outcome, reason attempt.Reason, class string, attempts ...record.Attempt) record.Record {
	details := &record.Request{ID: id, ConfigVersion: 1, Route: "orders-" + class, Service: "orders", Class: class, DeadlineMS: 2000,
		Outcome: outcome, Reason: reason, DurationMS: 41.5, Attempts: attempts, Status: 200}
	for i := range attempts {
		attempts[i].Number = i + 1
	}
	if outcome == attempt.NotRun {
		details.Limits = []string{"queue of orders: 95 of 95 waiting"}
	}
	return record.Record{At: at, Kind: record.KindRequest, Request: details}
}

func failedAttempt(target, node string) record.Attempt {
	return record.Attempt{Target: target, Node: node, Why: "it had the lower load of two", Verdict: attempt.VerdictFailed,
		Reason: attempt.ReasonTargetFailed, DurationMS: 20, Candidates: []record.Candidate{
			{Target: target, Weight: 1, Suspicion: 0.2, Load: 0.3},
			{Target: "orders-5", Weight: 1, Load: 0.6, Why: "its load was higher"}},
		Next: "viewing is idempotent and the retry budget allows a second attempt"}
}

func ranAttempt(target, node string) record.Attempt {
	return record.Attempt{Target: target, Node: node, Why: "it is another target in another failure domain",
		Verdict: attempt.VerdictRan, Status: 200, DurationMS: 21}
}

// Addresses that documentation pages and tests use in place of those of the fixture.
const (
	docsLogURL   = "http://127.0.0.1:7000"
	docsNode1URL = "http://127.0.0.1:7003"
	docsNode2URL = "http://127.0.0.1:7013"
)

// run executes a command line and returns its exit code, standard output and
// standard error.
func (f *fleet) run(t *testing.T, line string) (int, string, string) {
	t.Helper()
	args := strings.Fields(f.replacer().Replace(line))
	var stdout, stderr bytes.Buffer
	a := &app{stdin: strings.NewReader(""), stdout: &stdout, stderr: &stderr, now: func() time.Time { return fixtureNow }}
	code := a.run(context.Background(), args)
	toDocs := strings.NewReplacer(f.logURL, docsLogURL, f.urls[0], docsNode1URL, f.urls[1], docsNode2URL)
	return code, toDocs.Replace(stdout.String()), toDocs.Replace(stderr.String())
}

// replacer returns a Replacer that puts the fixture's addresses in place of those of
// the documentation.
func (f *fleet) replacer() *strings.Replacer {
	return strings.NewReplacer(docsLogURL, f.logURL, docsNode1URL, f.urls[0], docsNode2URL, f.urls[1])
}
