package conformance

import (
	"testing"
	"time"
)

// whole is an order that was answered as it should be.
func whole() Observation {
	body := Content{Bytes: 3, Digest: 7}
	return Observation{
		Connection: Connection{
			Requests:  []Request{{ID: "a", Whole: true, Upload: 5}, {ID: "b", Idempotent: true, Whole: true}},
			Responses: []Response{{Status: 200, Outcome: Answered, Run: "a1", Body: body, Complete: true}, {Status: 503, Outcome: NotRun, Complete: true}},
		},
		Runs: []Run{{ID: "a1", RequestID: "a", Upload: 5, UploadEnded: true, ReadsUpload: true,
			Answer: Answer{Status: 200, Body: body, Framing: Sound, Whole: true, Delivered: true}}},
	}
}

// Guards against a statement that allows what it says it does not, or forbids what callers
// are promised.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(o *Observation)
		want   Rule // or nothing
	}{
		"whole":                      {func(*Observation) {}, ""},
		"visible break":              {func(o *Observation) { o.Connection.Responses[0].Complete = false; o.Cut = true }, ""},
		"unknown after a cut":        {func(o *Observation) { o.Connection.Responses[0].Outcome = Unknown; o.Cut = true }, ""},
		"read that runs twice":       {func(o *Observation) { o.Connection.Requests[0].Idempotent = true; o.Runs = append(o.Runs, o.Runs[0]) }, ""},
		"run soon after the leave":   {func(o *Observation) { o.Connection.Left = time.Second; o.Runs[0].At = 1400 * time.Millisecond }, ""},
		"upload that looks broken":   {func(o *Observation) { o.Runs[0].Upload, o.Runs[0].UploadEnded, o.Cut = 2, false, true }, ""},
		"run that nobody asked for":  {func(o *Observation) { o.Runs = append(o.Runs, Run{ID: "c1", RequestID: "c"}) }, Unasked},
		"surplus":                    {func(o *Observation) { o.Connection.Surplus = 1 }, Surplus},
		"response without a request": {func(o *Observation) { o.Connection.Requests = o.Connection.Requests[:1] }, Surplus},
		"stuck":                      {func(o *Observation) { o.Connection.Stuck = true }, Stuck},
		"connection that just ends":  {func(o *Observation) { o.Connection.Responses = o.Connection.Responses[:1] }, Unsaid},
		"closing response": {func(o *Observation) {
			o.Connection.Responses = o.Connection.Responses[:1]
			o.Connection.Responses[0].Closes = true
		}, ""},
		"run behind a closing one":   {func(o *Observation) { o.Connection.Responses[0].Closes = true; o.Runs[0].RequestID = "b" }, Behind},
		"order that runs twice":      {func(o *Observation) { o.Runs = append(o.Runs, o.Runs[0]) }, Once},
		"run long after the leave":   {func(o *Observation) { o.Connection.Left = time.Second; o.Runs[0].At = 1600 * time.Millisecond }, Left},
		"other bytes in the upload":  {func(o *Observation) { o.Runs[0].UploadAltered = true }, Upload},
		"part taken for the whole":   {func(o *Observation) { o.Runs[0].Upload = 2 }, Upload},
		"accepted part":              {func(o *Observation) { o.Runs[0].Upload, o.Runs[0].UploadEnded = 2, false }, Upload},
		"answer of another run":      {func(o *Observation) { o.Connection.Responses[0].Run = "b1" }, OwnAnswer},
		"other body":                 {func(o *Observation) { o.Connection.Responses[0].Body.Digest++ }, OwnAnswer},
		"other status":               {func(o *Observation) { o.Connection.Responses[0].Status = 201 }, OwnAnswer},
		"part of an answer":          {func(o *Observation) { o.Runs[0].Answer.Whole = false }, OwnAnswer},
		"faulty framing":             {func(o *Observation) { o.Runs[0].Answer.Framing = Faulty }, OwnAnswer},
		"success without an outcome": {func(o *Observation) { o.Connection.Responses[1].Outcome, o.Connection.Responses[1].Status = "", 200 }, OwnAnswer},
		"promise broken":             {func(o *Observation) { o.Connection.Responses[0].Outcome, o.Cut = NotRun, true }, Promise},
		"answer lost":                {func(o *Observation) { o.Connection.Responses[0].Complete = false }, Lost},
		"no response":                {func(o *Observation) { o.Connection.Responses = nil }, Lost},
	} {
		o := whole()
		c.change(&o)
		got := Check(o)
		if (c.want == "") != (len(got) == 0) || (c.want != "" && got[0].Rule != c.want) {
			t.Errorf("%s: %+v, want rule %q", name, got, c.want)
		}
	}
}
