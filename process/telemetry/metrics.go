package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// Options configure the metrics of one node.
type Options struct {
	Node       string
	MaxSeries  int // pairs of service and class; default DefaultMaxSeries
	Invariants InvariantOptions
}

// Metrics holds the metrics of one node. Several nodes may run in one process,
// each with its own Metrics. It is safe for concurrent use.
type Metrics struct {
	Node       string
	Invariants *Invariants
	Histograms *Histograms

	counters     expvar.Map
	changes      expvar.Map // state changes, by kind and new state
	attempts     expvar.Map // ended attempts, by verdict and reason
	controlBytes expvar.Map
	root         expvar.Map
	outcomes     *outcomeCounts
}

// New returns metrics that are not yet published.
func New(o Options) *Metrics {
	m := &Metrics{
		Node:       o.Node,
		Invariants: NewInvariants(o.Invariants),
		Histograms: NewHistograms(o.MaxSeries),
		outcomes:   newOutcomeCounts(o.MaxSeries),
	}
	m.root.Set("invariants", expvar.Func(func() any { return m.Invariants.Snapshot() }))
	m.root.Set("latency", expvar.Func(func() any { return m.Histograms.Snapshot() }))
	m.root.Set("outcomes", expvar.Func(func() any { return m.outcomes.snapshot() }))
	m.root.Set("counters", &m.counters)
	m.root.Set("changes", &m.changes)
	m.root.Set("attempts", &m.attempts)
	m.root.Set("control_bytes", &m.controlBytes)
	return m
}

// Add adds delta to a counter. Names must not come from requests, since the number
// of counters is not bounded.
func (m *Metrics) Add(name string, delta int64) { m.counters.Add(name, delta) }

// Counter returns the value of a counter.
func (m *Metrics) Counter(name string) int64 {
	if v, ok := m.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Set publishes a variable, such as an expvar.Func for a gauge, under a name.
func (m *Metrics) Set(name string, v expvar.Var) { m.root.Set(name, v) }

// ObserveRequest counts the outcome of a request and records its duration.
func (m *Metrics) ObserveRequest(service, class, customer string, outcome attempt.Outcome, reason attempt.Reason, d time.Duration) {
	m.Histograms.Observe(service, class, customer, d)
	m.outcomes.add(seriesKey{service, class}, outcome, reason)
}

// ObserveRecord counts a decision record: a change by its kind and new state, such
// as ejection.ejected, and the attempts of a request by verdict and reason, such as
// refused.retry-budget. The set of these names is fixed.
func (m *Metrics) ObserveRecord(r record.Record) {
	switch {
	case r.Request != nil:
		for i := range r.Request.Attempts {
			m.attempts.Add(attemptCounterName(&r.Request.Attempts[i]), 1)
		}
	case r.Kind == record.KindVersion && r.Change.To != "unchanged":
		m.changes.Add(string(r.Kind), 1)
	case r.Change != nil:
		m.changes.Add(string(r.Kind)+"."+r.Change.To, 1)
	}
}

// Changes returns the counts of state changes.
func (m *Metrics) Changes() map[string]int64 { return counterValues(&m.changes) }

// Attempts returns the counts of ended attempts.
func (m *Metrics) Attempts() map[string]int64 { return counterValues(&m.attempts) }

func counterValues(counts *expvar.Map) map[string]int64 {
	out := map[string]int64{}
	counts.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out[kv.Key] = v.Value()
		}
	})
	return out
}

func attemptCounterName(a *record.Attempt) string {
	name := string(a.Verdict)
	if name == "" {
		name = "silent"
	}
	if a.Reason != attempt.ReasonNone {
		name += "." + string(a.Reason)
	}
	if a.Number > 1 {
		name = "repeat." + name
	}
	return name
}

// ControlBytes counts the bytes of one control message of a method.
func (m *Metrics) ControlBytes(method string, sent, received int) {
	m.controlBytes.Add(method+".sent", int64(sent))
	m.controlBytes.Add(method+".received", int64(received))
	m.controlBytes.Add("total", int64(sent+received))
}

// ControlTotal returns all control bytes, sent and received.
func (m *Metrics) ControlTotal() int64 {
	if v, ok := m.controlBytes.Get("total").(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// outcomeCounts counts outcomes by service, class and reason, with at most
// maxSeries pairs of service and class and one series for all others.
type outcomeCounts struct {
	maxSeries int
	mu        sync.Mutex
	counts    map[seriesKey]map[string]int64
}

func newOutcomeCounts(maxSeries int) *outcomeCounts {
	if maxSeries <= 0 {
		maxSeries = DefaultMaxSeries
	}
	return &outcomeCounts{maxSeries: maxSeries, counts: map[seriesKey]map[string]int64{}}
}

func (c *outcomeCounts) add(key seriesKey, outcome attempt.Outcome, reason attempt.Reason) {
	name := string(outcome)
	if reason != attempt.ReasonNone {
		name += "." + string(reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts[key]
	if counts == nil && len(c.counts) >= c.maxSeries {
		key = seriesKey{service: OtherSeries}
		counts = c.counts[key]
	}
	if counts == nil {
		counts = map[string]int64{}
		c.counts[key] = counts
	}
	counts[name]++
}

func (c *outcomeCounts) snapshot() map[string]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]map[string]int64{}
	for key, counts := range c.counts {
		copied := map[string]int64{}
		for name, n := range counts {
			copied[name] = n
		}
		out[key.String()] = copied
	}
	return out
}

// published maps a node's name to its current *Metrics. expvar cannot unpublish a
// name, so a name is published once and looks up the current *Metrics.
var published = struct {
	sync.Mutex
	names   map[string]bool
	current map[string]*Metrics
}{names: map[string]bool{}, current: map[string]*Metrics{}}

// Publish publishes the metrics under the node's name in the process's expvar, in
// place of earlier metrics of the same node. It fails when other code published
// the name.
func (m *Metrics) Publish() error {
	published.Lock()
	defer published.Unlock()
	if !published.names[m.Node] {
		if expvar.Get(m.Node) != nil {
			return fmt.Errorf("telemetry: expvar name %q is already in use", m.Node)
		}
		node := m.Node
		expvar.Publish(node, expvar.Func(func() any { return metricsJSON(node) }))
		published.names[node] = true
	}
	published.current[m.Node] = m
	return nil
}

// Unpublish removes the metrics from expvar unless later ones replaced them.
func (m *Metrics) Unpublish() {
	published.Lock()
	defer published.Unlock()
	if published.current[m.Node] == m {
		delete(published.current, m.Node)
	}
}

func metricsJSON(node string) any {
	published.Lock()
	m := published.current[node]
	published.Unlock()
	if m == nil {
		return nil
	}
	return json.RawMessage(m.root.String())
}

// Handler serves /debug/vars of the node: its metrics at the top level and the
// process's cmdline and memstats.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		vars := map[string]json.RawMessage{}
		m.root.Do(func(kv expvar.KeyValue) { vars[kv.Key] = json.RawMessage(kv.Value.String()) })
		for _, name := range []string{"cmdline", "memstats"} {
			if v := expvar.Get(name); v != nil {
				vars[name] = json.RawMessage(v.String())
			}
		}
		data, err := json.Marshal(vars)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(append(data, '\n')) // fails only if the client is gone
	})
}
