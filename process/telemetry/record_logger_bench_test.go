package telemetry

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// BenchmarkLine writes the line of a request with two attempts. Its result,
// multiplied by a node's lines per second, is the CPU time that logging takes.
func BenchmarkLine(b *testing.B) {
	out := NewLogWriter(io.Discard)
	defer func() { _ = out.Close() }()
	l := NewRecordLogger(out.Logger("n1", zerolog.InfoLevel))
	l.requests.SetLimit(rate.Inf)
	a := record.Attempt{Number: 1, Target: "i-4bd1ab42a0", Node: "sidecar-qld-b-2", Why: "own failure domain", Verdict: attempt.VerdictRan,
		Status: 500, DurationMS: 4.881, Next: "previous attempt: error status"}
	r := record.Record{At: time.Now(), Node: "n1", Kind: record.KindRequest, Request: &record.Request{
		ID: "aaef63c215c8e2ce", Route: "r-qxtiyzi", Service: "dafi18b", Class: "r-qxtiyzi", ConfigVersion: 4, DeadlineMS: 5444,
		Outcome: attempt.Answered, Status: 200, DurationMS: 12.5, Attempts: []record.Attempt{a, a},
	}}
	for b.Loop() {
		l.Write(r)
	}
}
