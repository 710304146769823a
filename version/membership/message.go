package membership

import "github.com/hyssopsill/hyssopsill/request/attempt"

// Limits of a message; a longer part makes the message invalid.
const (
	MaxTargets = 256  // targets of one node
	MaxReports = 1024 // bytes of reports of one node

	maxName     = 255  // bytes of a name or address
	maxDeltas   = 4096 // per message
	maxItems    = 8192 // per list
	bucketCount = 64
)

// Kind is what a message asks for.
type Kind uint8

const (
	KindPing    Kind = iota + 1
	KindAck          // answers a ping; Subject names the node that was reached
	KindPingReq      // asks the receiver to ping Subject
	KindGossip       // carries deltas only
	KindDigest       // bucket hashes; the answer lists the buckets that differ
	KindList         // pairs of the members in the buckets that differ
	KindDeltas       // deltas, and names whose deltas are wanted with what is held of them
)

// Message is what one node sends to another. Encode and Decode give its wire
// form.
type Message struct {
	Kind          Kind
	From          string
	Incarnation   attempt.Incarnation // of the sender
	ConfigVersion int64               // of the sender
	Seq           uint64
	Subject       string
	Buckets       []uint64        // KindDigest
	Mask          uint64          // KindList: the buckets listed
	Versions      []MemberVersion // KindList, KindDeltas
	Requested     []string        // KindDeltas
	Deltas        []Delta
}

// MemberVersion is the pair of one member in a list.
type MemberVersion struct {
	Node           string
	Incarnation    attempt.Incarnation
	Version        uint64
	TargetsVersion uint64
	Dead           bool
}

// Claim is what other nodes say about a member.
type Claim uint8

const (
	ClaimNone Claim = iota
	ClaimSuspect
	ClaimDead
)

// Delta is one member's change. Parts that are nil are unchanged or unknown to
// the sender.
type Delta struct {
	Node           string
	Incarnation    attempt.Incarnation
	Version        uint64
	Claim          Claim
	Declared       NodeState // by the node itself: alive, paused, leaving or left
	TargetsVersion uint64    // version at which the targets last changed
	Meta           *Meta
	Targets        []Target // all targets, when HasTargets
	HasTargets     bool
	Patch          *Patch
	Reports        *Reports
}

// Meta is what does not change during an incarnation.
type Meta struct {
	Region, Domain, DataAddress, ControlAddress string
}

// Patch changes some targets of the version Base.
type Patch struct {
	Base    uint64
	Changed []Target
	Removed []string
}

// Reports of a node's entry.
type Reports struct {
	Version uint64
	Data    []byte
}

// OutgoingMessage is a message to one node.
type OutgoingMessage struct {
	To      string // empty when only the address is known, as of a seed
	Address string // control address
	Message Message
}
