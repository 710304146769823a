package attempt

// Outcome is the result of a request as reported to its caller.
type Outcome string

const (
	Answered Outcome = "answered" // complete response of a target
	NotRun   Outcome = "not-run"  // proved that the work never ran and never will under this request
	Unknown  Outcome = "unknown"  // the work may have run
)

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

const (
	ReasonNone                Reason = ""
	ReasonNoRoute             Reason = "no-route"
	ReasonBadRequest          Reason = "bad-request"
	ReasonTooLarge            Reason = "request-too-large"
	ReasonNoTarget            Reason = "no-target"
	ReasonOverload            Reason = "overload"
	ReasonCallOverload        Reason = "call-overload" // the calls that runs of the class make find no room
	ReasonBusy                Reason = "busy"          // no slot is free, and the entry knows of a free one at another target
	ReasonDeadline            Reason = "deadline"
	ReasonRateLimit           Reason = "rate-limit"
	ReasonConcurrencyLimit    Reason = "concurrency-limit"
	ReasonLeaving             Reason = "leaving"
	ReasonQuarantined         Reason = "quarantined"
	ReasonKeyExpired          Reason = "order-key-expired"
	ReasonKeyInvalid          Reason = "order-key-invalid"
	ReasonKeyOwnerGone        Reason = "order-key-owner-gone"
	ReasonBindingUnavailable  Reason = "order-binding-unavailable"
	ReasonOrderRunning        Reason = "order-running"
	ReasonPathFailed          Reason = "path-failed"
	ReasonTargetFailed        Reason = "target-failed"
	ReasonRetryBudget         Reason = "retry-budget"   // the gate has no budget for another retry now
	ReasonTargetFailing       Reason = "target-failing" // the gate saw the target fail a moment ago
	ReasonTargetRefused       Reason = "target-refused" // the target itself did not run the request
	ReasonTargetCrashed       Reason = "target-crashed"
	ReasonResponseCorrupt     Reason = "answer-corrupt"
	ReasonWithdrawn           Reason = "withdrawn"
	ReasonNotReady            Reason = "not-ready"
	ReasonConfigOutdated      Reason = "config-outdated" // the entry knows of a newer configuration, which may allow the request
	ReasonRouteUnusable       Reason = "route-unusable"  // the configuration names no service or class for it that can be used
	ReasonUnauthorized        Reason = "unauthorized"
	ReasonUnauthenticated     Reason = "unauthenticated" // no API key of an account
	ReasonIncarnationMismatch Reason = "incarnation-mismatch"
	ReasonNodeStopping        Reason = "node-stopping" // the entry's node stopped before the response arrived
)

// Verdict is what a gate reports about one attempt.
type Verdict string

const (
	VerdictRan     Verdict = "ran"     // the target responded
	VerdictRefused Verdict = "refused" // the attempt did not start and never will
	VerdictFailed  Verdict = "failed"  // the attempt started, but the target sent no complete response
	VerdictCrashed Verdict = "crashed" // the attempt started and the target crashed while running it
	VerdictUnknown Verdict = "unknown" // the gate does not know whether the attempt ran
)

// NeverStarted reports whether the verdict proves that the attempt did not run.
func (v Verdict) NeverStarted() bool { return v == VerdictRefused }
