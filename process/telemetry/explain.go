package telemetry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// Explanation is the response of /v1/explain: matching records in a node's memory.
type Explanation struct {
	Node    string           `json:"node"`
	Records []record.Record  `json:"records"`
	Ring    record.RingStats `json:"ring"`
}

// ExplainQuery selects the records of a request, or of a target in a time range.
// An empty query selects all records.
type ExplainQuery struct {
	Request attempt.RequestID
	Target  string
	From    time.Time // zero: no lower bound
	To      time.Time // exclusive; zero: no upper bound
}

// Values encodes the query for a URL.
func (q ExplainQuery) Values() url.Values {
	v := url.Values{}
	if q.Request != "" {
		v.Set("request", string(q.Request))
	}
	if q.Target != "" {
		v.Set("target", q.Target)
	}
	if !q.From.IsZero() {
		v.Set("from", q.From.Format(time.RFC3339Nano))
	}
	if !q.To.IsZero() {
		v.Set("to", q.To.Format(time.RFC3339Nano))
	}
	return v
}

// ParseExplainQuery decodes a query encoded by Values.
func ParseExplainQuery(v url.Values) (ExplainQuery, error) {
	q := ExplainQuery{Request: attempt.RequestID(v.Get("request")), Target: v.Get("target")}
	for name, bound := range map[string]*time.Time{"from": &q.From, "to": &q.To} {
		text := v.Get(name)
		if text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return q, fmt.Errorf("%s: want a time such as 2026-01-31T12:00:00Z, got %q", name, text)
		}
		*bound = t
	}
	return q, nil
}

// Matches reports whether the query selects the record.
func (q ExplainQuery) Matches(r *record.Record) bool {
	if q.Request != "" {
		return r.Request != nil && r.Request.ID == q.Request
	}
	return r.InRange(q.From, q.To) && r.Concerns(q.Target)
}

// Explain returns the records of the ring that the query selects.
func Explain(node string, ring *record.Ring, q ExplainQuery) Explanation {
	e := Explanation{Node: node, Ring: ring.Stats()}
	if q.Request != "" {
		e.Records = ring.ByRequest(q.Request)
	} else {
		e.Records = ring.ByTarget(q.Target, q.From, q.To)
	}
	if e.Records == nil {
		e.Records = []record.Record{}
	}
	return e
}

// ExplainHandler serves /v1/explain of a node.
func ExplainHandler(node string, ring *record.Ring) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		q, err := ParseExplainQuery(req.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Explain(node, ring, q)) // fails only if the client is gone
	})
}
