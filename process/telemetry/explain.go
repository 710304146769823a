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

// Explanation is the answer of /v1/explain: what a node's memory holds.
type Explanation struct {
	Node    string           `json:"node"`
	Records []record.Record  `json:"records"`
	Ring    record.RingStats `json:"ring"`
}

// ExplainQuery is a question about a request, or about a target and a time
// range. An empty query asks for all records.
type ExplainQuery struct {
	Request attempt.RequestID
	Target  string
	From    time.Time // zero: open
	To      time.Time // zero: open; exclusive
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

// ParseExplainQuery reads what Values wrote.
func ParseExplainQuery(v url.Values) (ExplainQuery, error) {
	q := ExplainQuery{Request: attempt.RequestID(v.Get("request")), Target: v.Get("target")}
	for name, at := range map[string]*time.Time{"from": &q.From, "to": &q.To} {
		text := v.Get(name)
		if text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return q, fmt.Errorf("%s: want a time such as 2026-01-31T12:00:00Z, got %q", name, text)
		}
		*at = t
	}
	return q, nil
}

// Matches reports whether the record answers the query.
func (q ExplainQuery) Matches(r *record.Record) bool {
	if q.Request != "" {
		return r.Request != nil && r.Request.ID == q.Request
	}
	return r.InRange(q.From, q.To) && r.Concerns(q.Target)
}

// Explain answers the query from the ring.
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
		// An error here means that the client is gone.
		_ = json.NewEncoder(w).Encode(Explain(node, ring, q))
	})
}
