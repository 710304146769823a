package health

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Kind of evidence.
type Kind uint8

const (
	Started        Kind = iota + 1 // an attempt was sent
	Finished                       // an attempt ended; Fault says how
	Cancelled                      // an attempt was cancelled by this side
	Probe                          // a probe of the target through its gate ended
	Hint                           // the target's own endpoint; Value is the share of work it claims to bear
	RemoteReport                   // a report of another entry
	GateStatus                     // a gate's answer, on a new connection, about an attempt in progress; Running
	CrashRetracted                 // evidence of a crash is taken back: a quarantined request caused it
)

// Fault says how an attempt or probe ended.
type Fault uint8

const (
	NoFault Fault = iota
	Refused       // the gate refused the attempt; nothing is known of the target
	Error         // the target answered with an error status or broke off
	Timeout       // the gate says that the target gave no answer in time
	Corrupt       // the gate found a wrong digest or length
	Crash         // the gate says that the target went down

	GateUnresponsive  // nothing came from the gate until the attempt's time was up
	ConnectionRefused // the gate's address refused or reset the connection
	PathCorrupt       // the bytes received disagree with the gate's trailers
)

func (f Fault) ofPath() bool { return f >= GateUnresponsive }

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
	// Duration of the attempt: until the whole answer when it was buffered,
	// until its first byte when it was streamed to a possibly slow reader.
	Duration time.Duration
	// Service is the time at the target as its gate measured it, without
	// queueing, with Finished, and with GateStatus of a running attempt. Zero
	// is not known, with GateStatus: the attempt is queued. Slowness is judged
	// by it where it is known.
	Service time.Duration
	// Load is the gate's, with an answer: waiting behind a queue is not the
	// target's slowness.
	Load    attempt.Load
	Trickle bool // the attempt used the slot claimed by ClaimTrickle
	Running bool // with GateStatus: the gate has the attempt queued or running
	// OtherAttempts is, with GateStatus, the number of other attempts, of any entry,
	// that the target has been running for at least half of Service.
	OtherAttempts int
	Value         float64 // with Hint, 0..1
	Report        Report  // with RemoteReport
}

// judged is the duration by which slowness is judged.
func (e Evidence) judged() time.Duration {
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
	At          time.Time           // receiver's clock when received
}

// FaultOf translates a gate's answer headers into a Fault. A missing verdict is
// silence; corrupt bytes on the way are PathCorrupt and not seen here.
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
	// ReplaceConnection of Attempt, and close idle connections to Node that were
	// opened before it was sent. The attempt may be retried.
	ReplaceConnection ChangeKind = "replace-connection"
	VerifyAttempt     ChangeKind = "verify-attempt" // ask Node on a new connection for the status of Attempt
)

// Change is a decision, or a request to the I/O layer.
type Change struct {
	Kind    ChangeKind
	Target  string
	Node    string
	Domain  string
	Service string
	Attempt uint64
	Why     string
}

// State is the judgement on one target.
type State struct {
	Ejected bool
	// Weight is the share of new work, relative to a healthy target, 0..1.
	Weight            float64
	Suspicion         float64 // of the target, 0..1
	PathSuspicion     float64 // of the path to its gate, 0..1
	DomainUnreachable bool
	EjectionBlocked   bool // kept in rotation by the floor
	// Overdue is the number of own requests that seem to hang, at most
	// overdueMost. Selection does not count them as load: a target that is
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
