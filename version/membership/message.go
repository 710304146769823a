package membership

import "github.com/hyssopsill/hyssopsill/request/attempt"

// Limits of a message; a longer part makes the message invalid.
const (
	MaxTargets = 256  // targets of one node
	MaxReports = 1024 // bytes of reports of one node

	maxNameBytes = 255  // bytes of a name or address
	maxDeltas    = 4096 // per message
	maxVersions  = 8192 // versions, or requested names, per message
	bucketCount  = 64
)

// Kind is the type of a message.
type Kind uint8

const (
	KindPing    Kind = iota + 1
	KindAck          // acknowledges a ping; Subject names the node that was reached
	KindPingReq      // requests that the receiver ping Subject
	KindGossip       // carries deltas only
	KindDigest       // bucket hashes; the response is a KindList
	KindList         // pairs of the members in the buckets that differ
	KindDeltas       // deltas, and the names whose deltas are requested with their known versions
)

// Message is a message from one node to another. Encode and Decode convert it to and
// from its wire form.
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

// MemberVersion is what a node knows of one member: its pair (incarnation, version),
// the version of its targets and whether it is a tombstone.
type MemberVersion struct {
	Node           string
	Incarnation    attempt.Incarnation
	Version        uint64
	TargetsVersion uint64
	Dead           bool
}

// Claim is what other nodes claim about a member.
type Claim uint8

const (
	ClaimNone Claim = iota
	ClaimSuspect
	ClaimDead
)

// Delta is a change of one member. Parts that are nil are unchanged or unknown to
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

// Meta holds the properties of a node that do not change during an incarnation.
type Meta struct {
	Region, Domain, DataAddress, ControlAddress string
}

// sameDomain reports whether both nodes are in the same failure domain of a region.
func (m *Meta) sameDomain(other *Meta) bool {
	return m.Region == other.Region && m.Domain == other.Domain
}

// Patch is a change of some targets since the targets version Base.
type Patch struct {
	Base    uint64
	Changed []Target
	Removed []string
}

// Reports holds the encoded reports of a node's entry role and their version.
type Reports struct {
	Version uint64
	Data    []byte
}

// OutgoingMessage is a message to one node.
type OutgoingMessage struct {
	To      string // empty when only the address is known, for example of a seed
	Address string // control address
	Message Message
}
