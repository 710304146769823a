package attempt

import (
	"net/http"
	"strings"
)

// Headers of the default HTTP profile, towards callers and targets.
const (
	HeaderRequestID      = "Hyssopsill-Request-Id"
	HeaderOutcome        = "Hyssopsill-Outcome"
	HeaderTimeoutMS      = "Hyssopsill-Timeout-Ms" // time left until the deadline, milliseconds
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAccountKey     = "Hyssopsill-Api-Key"
	HeaderTakesRate      = "Target-Rate"    // requests/s that a target in need takes
	HeaderLeaving        = "Target-Leaving" // "1": the target takes no new work
)

// Headers between entry and gate. Callers and targets never see them.
const (
	HeaderAttempt           = "Hyssopsill-Attempt"
	HeaderTarget            = "Hyssopsill-Target"
	HeaderService           = "Hyssopsill-Service"
	HeaderClass             = "Hyssopsill-Class"
	HeaderCustomer          = "Hyssopsill-Customer"
	HeaderAccountName       = "Hyssopsill-Account"      // the client account, also towards targets in the default profile
	HeaderRank              = "Hyssopsill-Rank"         // urgency, 0 is the most urgent: 16 × rank of the account + rank of the class
	HeaderCallerRank        = "Hyssopsill-Caller-Rank"  // rank of the work if it is a call: the most urgent of the work on the entry's host, calls with their inherited rank
	HeaderCallCounts        = "Hyssopsill-Call-Counts"  // requests of the class that the entry counts, "/", those whose calls found room; both decay
	HeaderCallRefused       = "Hyssopsill-Call-Refused" // "1", in responses: the run failed because a call that it made found no room
	HeaderLoads             = "Hyssopsill-Loads"        // in responses: loads of other targets of the service, with their ages
	HeaderConfigVersion     = "Hyssopsill-Config-Version"
	HeaderFleet             = "Hyssopsill-Fleet"
	HeaderVerdict           = "Hyssopsill-Verdict"
	HeaderReason            = "Hyssopsill-Reason"
	HeaderLoad              = "Hyssopsill-Load"
	HeaderHint              = "Hyssopsill-Hint"       // "0": the target's own health endpoint reports a fault
	HeaderServiceTime       = "Hyssopsill-Service-Us" // time at the target without queueing, microseconds
	HeaderTargetIncarnation = "Hyssopsill-Target-Incarnation"
	HeaderTargetRate        = "Hyssopsill-Target-Rate" // requests/s that the target takes, as its last response named it
	HeaderRequestDigest     = "Hyssopsill-Request-Digest"
	HeaderSharedDigest      = "Hyssopsill-Shared-Digest"  // digest of the request without its caller
	HeaderOrder             = "Hyssopsill-Order"          // identity, owner and times of the order key
	HeaderIdempotent        = "Hyssopsill-Idempotent"     // "1": the attempt may run again and is never withdrawn
	HeaderForce             = "Hyssopsill-Force"          // "1": send even to a failing target, as there is no other
	HeaderRetry             = "Hyssopsill-Repeat"         // "1": the request may have reached a target before
	HeaderCallerRetries     = "Hyssopsill-Caller-Repeats" // share (0 to 1) of the work in progress on the entry's host that is a retry
	HeaderBudgetRoom        = "Hyssopsill-Budget-Room"    // in responses to calls: part (0 to 1) that is left of the retry budgets of the gate and of what its target calls
	HeaderAgeMS             = "Hyssopsill-Age-Ms"         // time since the request arrived at its entry, milliseconds
	HeaderNoWait            = "Hyssopsill-No-Wait"        // "1": refuse as busy rather than queue
	HeaderCalled            = "Hyssopsill-Called"         // "1", in a refusal or with HeaderCallRefused: the gate takes the work for a call by a target
	HeaderAllowLate         = "Hyssopsill-Allow-Late"     // "1": queue even work that will miss its objective
	HeaderLong              = "Hyssopsill-Long"           // "1": the entry learned that this is long work
	TrailerLength           = "Hyssopsill-Length"         // body length, bytes
	TrailerDigest           = "Hyssopsill-Digest"         // xxhash64 of the body, hexadecimal
)

const headerPrefix = "Hyssopsill-"

// StripFleetHeaders removes the fleet's own headers and trailers, so that
// neither a caller nor a target can pass for a node.
func StripFleetHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}
