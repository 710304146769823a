package health

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Kind is the kind of an observation.
type Kind uint8

const (
	Started        Kind = iota + 1 // an attempt was sent
	Finished                       // an attempt ended; Fault says how
	Cancelled                      // an attempt was cancelled by this side
	Probe                          // a probe of the target through its gate ended
	Hint                           // a hint from the target's health endpoint; Value is the share of work that it claims to be able to do
	RemoteReport                   // another entry reported its evidence on the target
	GateStatus                     // a gate was queried on a new connection for an attempt in progress; Running says whether the gate has it
	CrashRetracted                 // the evidence of a crash is retracted, as a quarantined request caused it
)

// Fault says how an attempt or probe ended.
type Fault uint8

const (
	NoFault Fault = iota
	Refused       // the gate refused the attempt; nothing is known of the target
	Error         // the target responded with an error status or broke off its response
	Timeout       // the gate reported that the target did not respond in time
	Corrupt       // the gate found a wrong digest or length
	Crash         // the gate reported that the target crashed

	GateUnresponsive  // nothing came from the gate until the attempt's timeout
	ConnectionRefused // the gate's address refused or reset the connection
	PathCorrupt       // the bytes received disagree with the gate's trailers
)

func (f Fault) concernsPath() bool { return f >= GateUnresponsive }

// Evidence is one observation.
type Evidence struct {
	Kind   Kind
	Target string
	Node   string // the gate
	Class  string // long work of a mixed route uses a class name of its own
	// Caller is a hash of the customer account, 0 if unknown, with Finished.
	Caller  uint64
	Attempt uint64 // names the attempt at this entry; with Started, Finished, Cancelled, GateStatus
	// ConnectedAt is when the attempt's connection was opened.
	ConnectedAt time.Time
	Fault       Fault
	// Duration of the attempt: until the whole response when it was buffered,
	// until its first byte when it was streamed to a possibly slow reader.
	Duration time.Duration
	// Service is the time at the target as its gate measured it, without
	// queueing, with Finished, and with GateStatus of a running attempt. Zero
	// means that it is not known, and with GateStatus that the attempt is queued.
	// It is used in place of Duration to detect slowness where it is known.
	Service time.Duration
	// Load is the gate's load, sent with a response: time spent in its queue is
	// not the target's slowness.
	Load    attempt.Load
	Trickle bool // the attempt used the slot claimed by ClaimTrickle
	Running bool // with GateStatus: the gate has the attempt queued or running
	// OtherAttempts is, with GateStatus, the number of other attempts, of any entry,
	// that the target has been running for at least half of Service.
	OtherAttempts int
	Value         float64 // with Hint, 0..1
	Report        Report  // with RemoteReport
}

// slownessDuration returns the duration that is compared with the latency
// thresholds.
func (e Evidence) slownessDuration() time.Duration {
	if e.Service > 0 {
		return e.Service
	}
	return e.Duration
}

// Report is one entry's own evidence on a target, for gossip.
type Report struct {
	From        string
	Target      string
	Incarnation attempt.Incarnation // of the target
	Suspicion   float64             // 0..1, share of the threshold
	At          time.Time           // time of receipt by the receiver's clock
}

// FaultOf translates the header fields of a gate's response into a Fault. A missing
// verdict is GateUnresponsive. FaultOf never returns PathCorrupt: corruption between
// the gate and this entry does not show in the header fields.
func FaultOf(v attempt.Verdict, r attempt.Reason, status int) Fault {
	switch v {
	case attempt.VerdictRan:
		if r == attempt.ReasonResponseCorrupt {
			return Corrupt
		}
		if status >= 500 {
			return Error
		}
		return NoFault
	case attempt.VerdictRefused:
		return Refused
	case attempt.VerdictCrashed:
		return Crash
	case attempt.VerdictFailed, attempt.VerdictUnknown:
		switch r {
		case attempt.ReasonResponseCorrupt:
			return Corrupt
		case attempt.ReasonDeadline:
			return Timeout
		case attempt.ReasonWithdrawn:
			return Refused
		}
		return Error
	default:
		return GateUnresponsive
	}
}

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	Eject             ChangeKind = "eject"
	Return            ChangeKind = "return"
	EjectionBlocked   ChangeKind = "distrust" // would be ejected, but the floor forbids it
	PathDown          ChangeKind = "path-down"
	PathUp            ChangeKind = "path-up"
	DomainUnreachable ChangeKind = "domain-unreachable"
	DomainReachable   ChangeKind = "domain-reachable"
	ReportDue         ChangeKind = "report-due" // own evidence grew: send Reports to peers now
	LocalPause        ChangeKind = "own-pause"
	// ReplaceConnection requests that the I/O layer closes the connection of Attempt
	// and the idle connections to Node that were opened before it was sent. The
	// attempt may be retried.
	ReplaceConnection ChangeKind = "replace-connection"
	VerifyAttempt     ChangeKind = "verify-attempt" // request the status of Attempt from Node on a new connection
)

// Change is a decision of a Tracker, or a request to the I/O layer.
type Change struct {
	Kind    ChangeKind
	Target  string
	Node    string
	Domain  string
	Service string
	Attempt uint64
	Why     string
}

// State is what a Tracker has decided about one target.
type State struct {
	Ejected bool
	// Weight is the share of new work, relative to a healthy target, 0..1.
	Weight            float64
	Suspicion         float64 // of the target, 0..1
	PathSuspicion     float64 // of the path to its gate, 0..1
	DomainUnreachable bool
	EjectionBlocked   bool // kept in rotation by the floor
	// Overdue is the number of this entry's requests that seem to hang, at most
	// maxOverdue. Package selection does not count them as load: a target that is
	// avoided for them would show no further evidence for seconds.
	Overdue     int
	ProbeWanted bool // a probe would help to decide
	Why         string
}

// TargetInfo is a target that this entry may use.
type TargetInfo struct {
	ID, Node, Domain, Service string
	Incarnation               attempt.Incarnation
	// Floor is the share of the service's targets that stays in rotation.
	Floor float64
}
