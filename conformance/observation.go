package conformance

import "time"

// Content identifies a body.
type Content struct {
	Bytes  int64  `json:"bytes"`
	Digest uint64 `json:"digest"`
}

// Request is one that a caller began to send on a connection.
type Request struct {
	ID         string `json:"id"`         // unique in an observation
	Idempotent bool   `json:"idempotent"` // it may run more than once
	Whole      bool   `json:"whole"`      // the caller sent all of it
	Upload     int64  `json:"upload"`     // bytes of its body
}

// Response is a final response that a caller received.
type Response struct {
	Status  int     `json:"status"`
	Outcome Outcome `json:"outcome"`
	Run     string  `json:"run,omitempty"` // Run.ID that it names
	Body    Content `json:"body"`
	// Complete tells that the caller sees no difference from a whole response.
	Complete bool   `json:"complete"`
	Closes   bool   `json:"closes"`          // it says that the connection ends with it
	Error    string `json:"error,omitempty"` // why it is not complete
	// Refusal is the begin of the body of a response that is no answer.
	Refusal string `json:"refusal,omitempty"`
}

// Outcome is what a response promises.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered" // it is the answer of a target
	NotRun   Outcome = "not-run"  // the request has not run and will not
	Unknown  Outcome = "unknown"  // the request may have run
)

// Connection is that of a caller.
type Connection struct {
	Requests  []Request  `json:"requests"`  // in the order in which they were sent
	Responses []Response `json:"responses"` // in the order in which they arrived
	// Left is when the caller ended its connection, from the begin of the observation. It
	// is 0 for a caller that reads all responses.
	Left time.Duration `json:"left"`
	// Surplus counts the bytes that followed the last response and belong to none.
	Surplus int64 `json:"surplus"`
	// Stuck tells that the caller waited in vain for a response or the end of the
	// connection, for much longer than the deadline of its requests.
	Stuck bool `json:"stuck"`
}

// Framing tells whether the end of an answer can be known.
type Framing string

// Framings.
const (
	Sound     Framing = "sound"
	Ambiguous Framing = "ambiguous" // a recipient may take it or reject it
	Faulty    Framing = "faulty"    // a recipient must reject it
)

// Answer is what a target sent in response to a run.
type Answer struct {
	Status  int     `json:"status"`
	Body    Content `json:"body"`
	Framing Framing `json:"framing"`
	// Whole tells that the target sent all of it, and that its connection did not end in a
	// way that contradicts it.
	Whole bool `json:"whole"`
	// Delivered tells that nothing the target did afterwards could destroy it on the way.
	Delivered bool `json:"delivered"`
}

// Run is a request whose head a target received.
type Run struct {
	ID        string        `json:"id"` // unique in an observation
	RequestID string        `json:"request_id"`
	At        time.Duration `json:"at"` // from the begin of the observation
	// Upload counts the bytes of the body that the target received.
	Upload int64 `json:"upload"`
	// UploadAltered tells that these are not those that the caller sent first.
	UploadAltered bool `json:"upload_altered"`
	// ReadsUpload tells that the target reads the body to its end, whatever it has answered.
	ReadsUpload bool `json:"reads_upload"`
	// UploadEnded tells that the body ended as a whole one does.
	UploadEnded bool   `json:"upload_ended"`
	Answer      Answer `json:"answer"`
}

// Observation is all that was seen of a caller's connection at both ends.
type Observation struct {
	Connection Connection `json:"connection"`
	Runs       []Run      `json:"runs"` // in the order in which they began
	// Cut tells that a disruption may have taken an answer on its way.
	Cut bool `json:"cut"`
}
