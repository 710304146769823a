package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

func requestRecord(i int, q record.Request) record.Record {
	q.ID = attempt.RequestID(fmt.Sprint("r", i))
	return record.Record{At: time.Unix(int64(i), 0), Node: "n1", Kind: record.KindRequest, Request: &q}
}

// readLines returns the records of the lines and the sum of the dropped lines.
func readLines(t *testing.T, data []byte) (records []record.Record, dropped int64) {
	t.Helper()
	for line := range bytes.Lines(data) {
		var parsed struct {
			Record  record.Record `json:"record"`
			Dropped int64         `json:"lines_dropped"`
		}
		if err := json.Unmarshal(line, &parsed); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		records, dropped = append(records, parsed.Record), dropped+parsed.Dropped
	}
	return records, dropped
}

// Guards against refused, failed, retried or late requests without a log line.
func TestRequestsThatAreLogged(t *testing.T) {
	twoAttempts := []record.Attempt{{Number: 1}, {Number: 2}}
	for i, q := range []record.Request{
		{Outcome: attempt.NotRun, Reason: attempt.ReasonOverload, Status: 503},
		{Outcome: attempt.Unknown, Status: 502},
		{Outcome: attempt.Answered, Status: 500},
		{Outcome: attempt.Answered, Status: 200, Attempts: twoAttempts},
		{Outcome: attempt.Answered, Status: 200, DurationMS: 901, ObjectiveMS: 900, DeadlineMS: 5000},
		{Outcome: attempt.Answered, Status: 200, DurationMS: 5001, DeadlineMS: 5000},
	} {
		var out bytes.Buffer
		l := NewRecordLogger(zerolog.New(&out))
		l.samples.SetBurst(0)
		l.Write(requestRecord(i, q))
		if records, _ := readLines(t, out.Bytes()); len(records) != 1 || records[0].Request.ID != attempt.RequestID(fmt.Sprint("r", i)) {
			t.Errorf("%+v: %q", q, out.String())
		}
	}
}

// Guards against an unbounded rate of log lines, against a burst of refusals that
// hides state changes, and against dropped lines that are not counted.
func TestLogLinesAreRateLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	l := NewRecordLogger(zerolog.New(&out))
	const refusedRequests, plainRequests = 5 * requestLinesBurst, 1000
	for i := range refusedRequests {
		l.Write(requestRecord(i, record.Request{Outcome: attempt.NotRun, Reason: attempt.ReasonOverload}))
	}
	for i := range plainRequests {
		l.Write(requestRecord(i, record.Request{Outcome: attempt.Answered, Status: 200}))
	}
	l.Write(record.Record{Node: "n1", Kind: record.KindFailing, Change: &record.Change{Subject: "t1", To: "failing", Request: "r7"}})
	records, dropped := readLines(t, out.Bytes())
	refusalLines := 0
	for _, r := range records {
		if r.Request != nil && r.Request.Outcome == attempt.NotRun {
			refusalLines++
		}
	}
	if last := records[len(records)-1]; last.Change == nil || last.Change.Request != "r7" {
		t.Errorf("the state change has no line: %+v", last)
	}
	if int64(refusalLines)+dropped != refusedRequests || dropped == 0 {
		t.Errorf("%d lines about refusals and %d counted as dropped, want %d together", refusalLines, dropped, refusedRequests)
	}
	if l.written.Value() != int64(len(records)) || l.droppedTotal.Value() != dropped {
		t.Errorf("the metrics count %d lines and %d dropped, the lines %d and %d", l.written.Value(), l.droppedTotal.Value(), len(records), dropped)
	}
}

// Guards against lines that hold the evidence about every target of a large service.
func TestLinesOmitHealthyCandidates(t *testing.T) {
	var out bytes.Buffer
	l := NewRecordLogger(zerolog.New(&out))
	candidates := []record.Candidate{{Target: "well", Weight: 1}, {Target: "ejected", Ejected: true}, {Target: "slow", Suspicion: 0.4}, {Target: "going", Why: "leaving"}}
	r := requestRecord(1, record.Request{Outcome: attempt.Unknown, Attempts: []record.Attempt{{Number: 1, Target: "well", Candidates: candidates}}})
	l.Write(r)
	records, _ := readLines(t, out.Bytes())
	if got := records[0].Request.Attempts[0].Candidates; len(got) != 3 {
		t.Errorf("logged candidates: %+v", got)
	}
	if len(r.Request.Attempts[0].Candidates) != len(candidates) {
		t.Error("the record itself lost candidates")
	}
}
