package conformance

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Rule names a part of the statement.
type Rule string

// Rules.
const (
	OwnAnswer Rule = "own-answer" // a complete answer is a whole answer of a target to this request
	Promise   Rule = "promise"    // what is promised not to run does not run
	Once      Rule = "once"       // work that is not idempotent runs at most once
	Unsaid    Rule = "unsaid"     // a response says so if the connection ends with it
	Behind    Rule = "behind"     // nothing behind a response that closes its connection runs
	Left      Rule = "left"       // nothing reaches a target long after its caller has left
	Upload    Rule = "upload"     // a target receives what the caller sent, and a part looks like a part
	Lost      Rule = "lost"       // a whole answer reaches a caller that reads
	Unasked   Rule = "unasked"    // a target gets only requests that a caller sent
	Surplus   Rule = "surplus"    // each byte that a caller gets belongs to the response to one of its requests
	Stuck     Rule = "stuck"      // each request ends
)

// MaxAfterLeave is how long after the leave of its caller a request may still reach a target.
const MaxAfterLeave = 500 * time.Millisecond

// Violation is an outcome that the statement does not allow.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

// Check returns the violations of an observation.
func Check(o Observation) []Violation {
	c := checker{Observation: o, runs: map[string][]Run{}}
	for _, run := range o.Runs {
		c.runs[run.RequestID] = append(c.runs[run.RequestID], run)
		if !slices.ContainsFunc(o.Connection.Requests, func(r Request) bool { return r.ID == run.RequestID }) {
			c.add(Unasked, "run %s is for request %q, which nobody sent", run.ID, run.RequestID)
		}
	}
	c.checkConnection()
	for i, request := range o.Connection.Requests {
		c.checkRuns(request)
		if i < len(o.Connection.Responses) {
			c.checkResponse(request, o.Connection.Responses[i])
		}
		c.checkNotLost(i)
	}
	return c.violations
}

type checker struct {
	Observation
	runs       map[string][]Run // by request
	violations []Violation
}

func (c *checker) add(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) checkConnection() {
	conn := c.Connection
	if conn.Surplus > 0 {
		c.add(Surplus, "%d bytes follow the last response", conn.Surplus)
	}
	if more := len(conn.Responses) - len(conn.Requests); more > 0 {
		c.add(Surplus, "%d more responses than requests", more)
	}
	if conn.Stuck {
		c.add(Stuck, "%d of %d requests got a response before the caller gave up", len(conn.Responses), len(conn.Requests))
	}
	c.checkEndIsSaid()
	for i, response := range conn.Responses {
		if !response.Closes {
			continue
		}
		for _, request := range conn.Requests[min(i+1, len(conn.Requests)):] {
			if runs := c.runs[request.ID]; len(runs) > 0 {
				c.add(Behind, "request %s ran %d times behind response %d, which closes the connection", request.ID, len(runs), i+1)
			}
		}
	}
}

// checkEndIsSaid checks that the last response says that the connection ends with it if a
// request behind it got none.
func (c *checker) checkEndIsSaid() {
	conn := c.Connection
	next := len(conn.Responses)
	if c.Cut || conn.Left > 0 || conn.Stuck || next == 0 || next >= len(conn.Requests) || !conn.Requests[next].Whole {
		return
	}
	if last := conn.Responses[next-1]; last.Complete && !last.Closes {
		c.add(Unsaid, "response %d does not say that the connection ends, and request %s got no response", next, conn.Requests[next].ID)
	}
}

func (c *checker) checkRuns(request Request) {
	runs := c.runs[request.ID]
	if len(runs) > 1 && !request.Idempotent {
		c.add(Once, "request %s ran %d times", request.ID, len(runs))
	}
	for _, run := range runs {
		if left := c.Connection.Left; left > 0 && run.At > left+MaxAfterLeave {
			c.add(Left, "run %s began %s after the caller had left", run.ID, run.At-left)
		}
		if run.UploadAltered {
			c.add(Upload, "run %s received %d bytes that differ from those sent", run.ID, run.Upload)
		}
		if run.UploadEnded && (run.Upload != request.Upload || !request.Whole) {
			c.add(Upload, "run %s took %d of %d bytes for the whole body; all were sent: %t", run.ID, run.Upload, request.Upload, request.Whole)
		}
	}
}

func (c *checker) checkResponse(request Request, response Response) {
	if !response.Complete {
		return // the caller sees that it broke off
	}
	runs := c.runs[request.ID]
	switch response.Outcome {
	case Unknown:
	case Answered:
		for _, run := range runs {
			if run.ID == response.Run {
				c.checkAnswer(run.Answer, run.ID, response)
				c.checkAcceptedUpload(request, run)
				return
			}
		}
		c.add(OwnAnswer, "the answer to %s, status %d, is that of run %q", request.ID, response.Status, response.Run)
	default:
		// A response without an outcome comes from the HTTP server of a node, before any
		// request was made of what the caller sent.
		if response.Outcome != NotRun && response.Status < http.StatusBadRequest {
			c.add(OwnAnswer, "a response to %s with status %d has no outcome", request.ID, response.Status)
		}
		if len(runs) > 0 {
			c.add(Promise, "request %s ran %d times, but the caller got status %d, outcome %q", request.ID, len(runs), response.Status, response.Outcome)
		}
	}
}

func (c *checker) checkAnswer(answer Answer, run string, response Response) {
	switch {
	case answer.Framing == Faulty:
		c.add(OwnAnswer, "the answer of run %s has faulty framing and was delivered as complete", run)
	case !answer.Whole:
		c.add(OwnAnswer, "the answer of run %s broke off and was delivered as complete, %d bytes", run, response.Body.Bytes)
	case answer.Status != response.Status || answer.Body != response.Body:
		c.add(OwnAnswer, "run %s answered %d with %d bytes, the caller got %d with %d bytes or others", run,
			answer.Status, answer.Body.Bytes, response.Status, response.Body.Bytes)
	}
}

// checkAcceptedUpload checks that a target which accepted a request and reads on has received
// the whole body. A rejected one need not be sent to its end.
func (c *checker) checkAcceptedUpload(request Request, run Run) {
	accepted := run.Answer.Status < http.StatusMultipleChoices
	if accepted && run.ReadsUpload && !run.UploadEnded && request.Whole && !c.Cut && c.Connection.Left == 0 {
		c.add(Upload, "run %s answered %d and received only %d of %d bytes", run.ID, run.Answer.Status, run.Upload, request.Upload)
	}
}

// checkNotLost checks that the caller got the last answer to a request if that was whole and
// nothing kept it from the caller.
func (c *checker) checkNotLost(i int) {
	conn := c.Connection
	request := conn.Requests[i]
	runs := c.runs[request.ID]
	if c.Cut || conn.Left > 0 || conn.Stuck || !request.Whole || len(runs) == 0 {
		return
	}
	last := runs[len(runs)-1]
	if !last.Answer.Delivered || last.Answer.Framing != Sound {
		return
	}
	if i >= len(conn.Responses) {
		c.add(Lost, "run %s answered, and the caller got no response to %s", last.ID, request.ID)
	} else if response := conn.Responses[i]; !response.Complete || response.Outcome != Answered {
		c.add(Lost, "run %s answered, and the caller got status %d, outcome %q, complete: %t, %s%s", last.ID, response.Status, response.Outcome, response.Complete, response.Error, response.Refusal)
	}
}
