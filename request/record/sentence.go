package record

import (
	"fmt"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// SentenceTimeLayout formats the times in sentences, which are UTC with milliseconds.
const SentenceTimeLayout = "2006-01-02 15:04:05.000"

// Sentences describes the record in sentences. The first starts with time and
// node; the others give details.
func (r *Record) Sentences() []string {
	head := fmt.Sprintf("%s %s: ", r.At.UTC().Format(SentenceTimeLayout), r.Node)
	var out []string
	switch {
	case r.Request != nil:
		out = r.Request.sentences()
	case r.Change != nil:
		out = []string{r.Change.sentence(r.Kind)}
	case r.Kind == KindGap:
		out = []string{fmt.Sprintf("The log lacks %d records of this node from here on because its buffer was full.", r.Count)}
	default:
		out = []string{fmt.Sprintf("A record of kind %s without details.", r.Kind)}
	}
	out[0] = head + out[0]
	return out
}

func (q *Request) sentences() []string {
	out := []string{q.outcomeSentence()}
	for i := range q.Attempts {
		out = append(out, q.Attempts[i].sentences()...)
	}
	if len(q.Attempts) == 0 {
		out = append(out, "No attempt was made.")
	}
	if len(q.Limits) > 0 {
		out = append(out, "Limits reached: "+strings.Join(q.Limits, ", ")+".")
	}
	out = append(out, q.contextSentence())
	return out
}

func (q *Request) outcomeSentence() string {
	subject := fmt.Sprintf("Request %s", q.ID)
	if q.Service != "" {
		subject += fmt.Sprintf(" (%s/%s)", q.Service, q.Class)
	}
	duration := milliseconds(q.DurationMS)
	var s string
	switch q.Outcome {
	case attempt.Answered:
		s = fmt.Sprintf("%s was answered with status %d after %s", subject, q.Status, duration)
	case attempt.NotRun:
		s = fmt.Sprintf("%s was refused after %s and did not run", subject, duration)
	case attempt.Unknown:
		s = fmt.Sprintf("%s ended after %s without a known outcome, so the work may have run", subject, duration)
	default:
		s = fmt.Sprintf("%s ended after %s with outcome %q", subject, duration, q.Outcome)
	}
	if q.Reason != attempt.ReasonNone {
		s += ", because " + ReasonText(q.Reason)
	}
	if q.Detail != "" {
		s += " (" + q.Detail + ")"
	}
	return s + "."
}

func (q *Request) contextSentence() string {
	s := fmt.Sprintf("Configuration version %d was in force", q.ConfigVersion)
	if q.Route != "" {
		s += ", route " + q.Route
	}
	if q.DeadlineMS > 0 {
		s += fmt.Sprintf(", deadline %s", milliseconds(float64(q.DeadlineMS)))
	}
	if q.ObjectiveMS > 0 {
		s += fmt.Sprintf(", objective %s", milliseconds(float64(q.ObjectiveMS)))
		if q.Outcome == attempt.Answered && q.DurationMS > float64(q.ObjectiveMS) {
			s += ", so the response was late"
		}
	}
	return s + "."
}

func (a *Attempt) sentences() []string {
	s := fmt.Sprintf("Attempt %d went to target %s at node %s", a.Number, a.Target, a.Node)
	if a.Why != "" {
		s += " (chosen: " + a.Why + ")"
	}
	s += fmt.Sprintf("; after %s %s", milliseconds(a.DurationMS), verdictText(a.Verdict))
	if a.Status > 0 {
		s += fmt.Sprintf(" (status %d)", a.Status)
	}
	if a.Reason != attempt.ReasonNone {
		s += ": " + ReasonText(a.Reason)
	}
	out := []string{s + "."}
	for i := range a.Candidates {
		if c := &a.Candidates[i]; c.Target != a.Target {
			out = append(out, c.sentence())
		}
	}
	if a.Next != "" {
		out = append(out, "Then: "+a.Next+".")
	}
	return out
}

func (c *Candidate) sentence() string {
	s := fmt.Sprintf("Candidate %s had weight %.2f, suspicion %.2f and load %.2f per slot", c.Target, c.Weight,
		c.Suspicion, c.Load)
	if c.Ejected {
		s += " and was ejected"
	}
	if c.Why != "" {
		s += "; not chosen: " + c.Why
	}
	return s + "."
}

func (c *Change) sentence(kind Kind) string {
	subject := c.Subject
	if c.Service != "" {
		subject += " of service " + c.Service
	}
	if c.Node != "" {
		subject += " at node " + c.Node
	}
	var s string
	switch kind {
	case KindEjection:
		s = fmt.Sprintf("Target %s was ejected", subject)
	case KindReturn:
		s = fmt.Sprintf("Target %s returned to rotation", subject)
	case KindQuarantine:
		s = fmt.Sprintf("Request digest %s was quarantined", subject)
	case KindDrain:
		s = fmt.Sprintf("%s is draining", subject)
	case KindVersion:
		s = fmt.Sprintf("Configuration %s changed", subject)
	case KindMembership:
		s = fmt.Sprintf("The state of node %s changed", subject)
	case KindFailing:
		s = fmt.Sprintf("The gate changed the state of target %s", subject)
	case KindLimit:
		s = fmt.Sprintf("The limit of target %s changed", subject)
	case KindDependency:
		s = fmt.Sprintf("The state of %s changed", subject)
	case KindPause:
		s = fmt.Sprintf("%s was paused", subject)
	default:
		s = fmt.Sprintf("%s changed", subject)
	}
	switch {
	case c.From != "" && c.To != "":
		s += fmt.Sprintf(" (from %s to %s)", c.From, c.To)
	case c.To != "":
		s += fmt.Sprintf(" (now %s)", c.To)
	}
	if c.Why != "" {
		s += ": " + c.Why
	}
	if c.Request != "" {
		s += fmt.Sprintf(" (seen with request %s)", c.Request)
	}
	return s + "."
}

// verdictText returns the text of a verdict for use within a sentence.
func verdictText(v attempt.Verdict) string {
	switch v {
	case attempt.VerdictRan:
		return "the target responded"
	case attempt.VerdictRefused:
		return "the gate refused it before it started"
	case attempt.VerdictFailed:
		return "the target had started it but sent no complete response"
	case attempt.VerdictCrashed:
		return "the target crashed while running it"
	case attempt.VerdictUnknown:
		return "the gate did not know whether it ran"
	case "":
		return "the gate had sent no verdict"
	default:
		return fmt.Sprintf("the gate reported %q", v)
	}
}

func milliseconds(ms float64) string {
	return (time.Duration(ms*1000) * time.Microsecond).String()
}

var reasonTexts = map[attempt.Reason]string{
	attempt.ReasonNoRoute:             "no route matched it",
	attempt.ReasonBadRequest:          "the request was malformed",
	attempt.ReasonTooLarge:            "its body was larger than the class allows",
	attempt.ReasonNoTarget:            "no target of the service was available",
	attempt.ReasonOverload:            "the slots and queues of the service were full",
	attempt.ReasonCallOverload:        "the calls that such requests make found no room",
	attempt.ReasonBusy:                "its slots were taken and another target was known to have a free one",
	attempt.ReasonRetryBudget:         "the retry budget of the service was exhausted",
	attempt.ReasonTargetFailing:       "its gate had just seen the target fail",
	attempt.ReasonTargetRefused:       "the target itself refused to run it",
	attempt.ReasonDeadline:            "its deadline had passed or would have passed before it could start",
	attempt.ReasonRateLimit:           "a rate limit was reached",
	attempt.ReasonConcurrencyLimit:    "a limit on requests in progress was reached",
	attempt.ReasonLeaving:             "the target was leaving",
	attempt.ReasonQuarantined:         "its digest was quarantined after crashes",
	attempt.ReasonKeyExpired:          "its order key had expired",
	attempt.ReasonKeyInvalid:          "its order key was not valid",
	attempt.ReasonKeyOwnerGone:        "the gate process that owned its order key had ended",
	attempt.ReasonBindingUnavailable:  "its order key could not be bound while the log was unavailable",
	attempt.ReasonOrderRunning:        "an order with the same key was still running",
	attempt.ReasonPathFailed:          "the gate of the target did not respond",
	attempt.ReasonTargetFailed:        "the target failed",
	attempt.ReasonTargetCrashed:       "the target crashed",
	attempt.ReasonResponseCorrupt:     "the digest or length of the response did not match",
	attempt.ReasonWithdrawn:           "the attempt was withdrawn",
	attempt.ReasonNotReady:            "the node was not ready",
	attempt.ReasonConfigOutdated:      "the node knew of a newer configuration that it did not have yet",
	attempt.ReasonRouteUnusable:       "the configuration has a fault in its route",
	attempt.ReasonUnauthenticated:     "the request had no API key of an account and its route is not public",
	attempt.ReasonUnauthorized:        "the fleet token did not match",
	attempt.ReasonNodeStopping:        "the entry's node stopped before the response arrived",
	attempt.ReasonIncarnationMismatch: "the node or target had restarted since it was chosen",
}

// ReasonText returns the text of a reason for use within a sentence.
func ReasonText(r attempt.Reason) string {
	if text, ok := reasonTexts[r]; ok {
		return text
	}
	return "of reason " + string(r)
}
