package record

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Kind is the kind of a Record.
type Kind string

const (
	KindRequest    Kind = "request"
	KindEjection   Kind = "ejection"
	KindReturn     Kind = "return"
	KindQuarantine Kind = "quarantine"
	KindDrain      Kind = "drain"
	KindVersion    Kind = "version"
	KindMembership Kind = "membership"
	KindPause      Kind = "pause"
	KindFailing    Kind = "failing"    // a gate found that its target fails, or is healthy again
	KindLimit      Kind = "limit"      // a target names the rate of requests that it takes, or names none any more
	KindDependency Kind = "dependency" // a service that the node uses was lost or is usable again
	KindGap        Kind = "gap"        // records were dropped; Count is their number
)

// Record is one decision of one node, or one change that it observed.
type Record struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	// Incarnation and Sequence are set by the exporter. Together with Node
	// they identify the record in the log stream.
	Incarnation string   `json:"incarnation,omitempty"`
	Sequence    uint64   `json:"sequence,omitempty"` // 1 for the first record of an incarnation
	Kind        Kind     `json:"kind"`
	Request     *Request `json:"request,omitempty"`
	Change      *Change  `json:"change,omitempty"`
	// Count is set in a gap record: records Sequence to Sequence+Count-1 were dropped.
	Count int64 `json:"count,omitempty"`
}

// Request explains the outcome of one request.
type Request struct {
	ID            attempt.RequestID `json:"id"`
	ConfigVersion int64             `json:"config_version"`
	Route         string            `json:"route,omitempty"`
	Service       string            `json:"service,omitempty"`
	Class         string            `json:"class,omitempty"`
	Customer      string            `json:"customer,omitempty"`  // keyed hash of the account
	OrderKey      string            `json:"order_key,omitempty"` // keyed hash
	DeadlineMS    int64             `json:"deadline_ms,omitempty"`
	ObjectiveMS   int64             `json:"objective_ms,omitempty"` // time after which a response is late
	Outcome       attempt.Outcome   `json:"outcome"`
	Reason        attempt.Reason    `json:"reason,omitempty"`
	Detail        string            `json:"detail,omitempty"`
	Status        int               `json:"status,omitempty"`
	DurationMS    float64           `json:"duration_ms"`
	Attempts      []Attempt         `json:"attempts,omitempty"`
	Limits        []string          `json:"limits,omitempty"` // the limits that the request reached
}

// Attempt explains one attempt: its candidates, why its target was chosen, and how
// it ended.
type Attempt struct {
	Number     int             `json:"number"`
	Target     string          `json:"target"`
	Node       string          `json:"node"`
	Candidates []Candidate     `json:"candidates,omitempty"`
	Why        string          `json:"why,omitempty"`
	Verdict    attempt.Verdict `json:"verdict,omitempty"`
	Reason     attempt.Reason  `json:"reason,omitempty"`
	Status     int             `json:"status,omitempty"`
	DurationMS float64         `json:"duration_ms"`
	Next       string          `json:"next,omitempty"` // why another attempt followed or none did
}

// Candidate holds what the entry knew about one target when it chose among several.
type Candidate struct {
	Target    string  `json:"target"`
	Weight    float64 `json:"weight"`
	Suspicion float64 `json:"suspicion,omitempty"`
	Ejected   bool    `json:"ejected,omitempty"`
	Load      float64 `json:"load,omitempty"` // requests running and queued per slot
	Why       string  `json:"why,omitempty"`  // why it was not chosen
}

// Change explains a change of state.
type Change struct {
	Subject string `json:"subject"` // target, node, digest or object
	// Node is set when the subject is a target, whose id is unique at its node only.
	Node    string `json:"node,omitempty"`
	Service string `json:"service,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to"`
	Why     string `json:"why"`
	// Request is the request that showed the change, if one did.
	Request attempt.RequestID `json:"request,omitempty"`
}
