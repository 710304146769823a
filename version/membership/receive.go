package membership

import (
	"bytes"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Receive handles a message and returns the messages to send. A response to the
// sender has To equal to from.
func (m *Membership) Receive(now time.Time, from string, msg Message) []OutgoingMessage {
	if m.superseded || msg.From != from {
		return nil
	}
	if from == m.self.node {
		m.handleDuplicateName(msg.Incarnation)
		return nil
	}
	m.joined, m.suspectedBySender = true, false
	toRequest := map[string]bool{}
	m.markReachable(msg, toRequest)
	m.receivingFrom = from
	for i := range msg.Deltas {
		m.applyDelta(now, &msg.Deltas[i], toRequest)
		if m.superseded {
			return nil
		}
	}
	m.receivingFrom = ""
	var out []OutgoingMessage
	response := Message{}
	switch msg.Kind {
	case KindPing:
		response = m.message(KindAck, from)
		response.Seq, response.Subject = msg.Seq, m.self.node
	case KindAck:
		out = m.handleAck(msg, out)
	case KindPingReq:
		out = m.relayPing(now, from, msg, out)
	case KindDigest:
		response = m.handleDigest(msg)
	case KindList:
		response = m.handleList(msg, toRequest)
	case KindDeltas:
		out = m.sendRequested(from, msg, out)
	}
	if m.suspectedBySender && !m.options.noRefute {
		// The refutation may already have been sent the maximum number of times,
		// so that this sender would not receive it otherwise.
		if response.Kind == 0 {
			response = m.message(KindDeltas, from)
		}
		response.Deltas = append(response.Deltas, m.self.stateDelta())
	}
	if member, ok := m.members[from]; ok && response.Kind != 0 && member.incarnation.Compare(msg.Incarnation) > 0 {
		response.Deltas = append(response.Deltas, member.stateDelta()) // a later process has replaced the sender
	}
	return m.completeResponse(from, response, toRequest, out)
}

// completeResponse adds to the response the names to request and any claim about the
// sender, and appends it to out. It creates a response if there are only names to
// request.
func (m *Membership) completeResponse(from string, response Message, toRequest map[string]bool, out []OutgoingMessage) []OutgoingMessage {
	member := m.members[from]
	if response.Kind == 0 && len(toRequest) > 0 {
		response = m.message(KindDeltas, from)
	}
	if response.Kind == 0 {
		return out
	}
	if response.Kind == KindDeltas {
		response.Requested = append(response.Requested, sortedKeys(toRequest)...)
		for _, name := range response.Requested {
			if member, ok := m.members[name]; ok {
				response.Versions = append(response.Versions, member.memberVersion())
			}
		}
		if len(response.Requested)+len(response.Deltas) == 0 {
			return out
		}
	}
	address := ""
	if member != nil {
		address = member.meta.ControlAddress
		response.Deltas = m.appendClaim(member, response.Deltas)
	}
	out = append(out, OutgoingMessage{To: from, Address: address, Message: response})
	if response.Kind == KindAck && len(toRequest) > 0 {
		out = m.completeResponse(from, Message{}, toRequest, out)
	}
	return out
}

// markReachable marks the sender as reachable and updates its configuration version.
func (m *Membership) markReachable(msg Message, toRequest map[string]bool) {
	member, ok := m.members[msg.From]
	if !ok || member.incarnation.Compare(msg.Incarnation) < 0 {
		toRequest[msg.From] = true
		return
	}
	if member.incarnation != msg.Incarnation {
		return
	}
	if member.unreachable {
		member.unreachable = false
		m.view = nil
	}
	if msg.ConfigVersion > member.configVersion {
		member.configVersion = msg.ConfigVersion
		m.view = nil
	}
}

// handleDuplicateName handles evidence of another process with this node's name. If
// that one has the higher incarnation, this process takes one above it, or must end
// when it already serves.
func (m *Membership) handleDuplicateName(other attempt.Incarnation) {
	if m.self.incarnation.Compare(other) >= 0 {
		return
	}
	if m.serving {
		m.superseded = true
		return
	}
	m.update(m.self, func(member *memberState) {
		member.incarnation = attempt.Incarnation{StartedMS: other.StartedMS + 1, Random: m.random.Uint64()}
		member.version, member.targetsVersion, member.patch = 1, 1, nil
		member.reports, member.reportsVersion = nil, 0
	})
	m.enqueueFull(m.self)
}

func (m *Membership) applyDelta(now time.Time, d *Delta, toRequest map[string]bool) {
	if d.Node == m.self.node {
		m.applySelf(d)
		return
	}
	member, ok := m.members[d.Node]
	if !ok {
		m.applyUnknown(now, d, toRequest)
		return
	}
	cmp := member.comparePair(d.Incarnation, d.Version)
	if m.options.noPairCheck {
		cmp = -1
	}
	switch {
	case cmp > 0:
		m.applyOlder(member, d)
		return
	case cmp < 0 && member.incarnation != d.Incarnation && (d.Meta == nil || !d.HasTargets) && !isTombstoneDelta(d):
		toRequest[d.Node] = true // the state alone does not describe a new incarnation
		return
	case cmp < 0:
		m.applyNewer(now, member, d)
	default:
		m.applyClaim(now, member, d.Claim)
	}
	m.applyTargets(member, d, toRequest)
	m.applyReports(member, d)
}

func isTombstoneDelta(d *Delta) bool { return d.Claim == ClaimDead || d.Declared == NodeLeft }

// applyOlder applies only the reports, which have their own version.
func (m *Membership) applyOlder(member *memberState, d *Delta) {
	if member.incarnation == d.Incarnation {
		m.applyReports(member, d)
	}
}

// applyUnknown adds a member. It drops a tombstone of an unknown node; otherwise
// nodes would pass tombstones to each other beyond their TTL.
func (m *Membership) applyUnknown(now time.Time, d *Delta, toRequest map[string]bool) {
	if isTombstoneDelta(d) {
		return
	}
	if d.Meta == nil || !d.HasTargets {
		toRequest[d.Node] = true
		return
	}
	member := &memberState{node: d.Node, incarnation: d.Incarnation, version: d.Version, declared: d.Declared, meta: *d.Meta}
	m.insert(member)
	m.enqueueFull(member)
	m.applyClaim(now, member, d.Claim)
	m.applyTargets(member, d, toRequest)
	m.applyReports(member, d)
}

// applyNewer replaces the state with that of a higher pair. It leaves a dead claim to
// applyClaim, which may verify it first.
func (m *Membership) applyNewer(now time.Time, member *memberState, d *Delta) {
	wasTombstone, previous := member.isTombstone(), member.targets
	if member.incarnation != d.Incarnation {
		previous = nil
	}
	m.update(member, func(member *memberState) {
		if member.incarnation != d.Incarnation {
			member.targets, member.patch, member.targetsVersion = nil, nil, 0
			member.reports, member.reportsVersion, member.configVersion = nil, 0, 0
			member.unreachable = false
		}
		member.incarnation, member.version, member.declared = d.Incarnation, d.Version, d.Declared
		member.claim, member.verifyPending, member.verifying = ClaimNone, false, false
		if d.Meta != nil {
			member.meta = *d.Meta
		}
		if d.Declared == NodeLeft && !wasTombstone {
			member.deadSince = now
		}
	})
	p, urgent := partState, d.Declared == NodeLeaving || d.Declared == NodeLeft
	switch {
	case d.HasTargets:
		p = partFull
		urgent = urgent || m.isUrgent(&Patch{Changed: d.Targets}, previous)
	case d.Patch != nil:
		p = partPatch
		urgent = urgent || m.isUrgent(d.Patch, previous)
	}
	m.enqueueState(member, p, urgent)
	m.applyClaim(now, member, d.Claim)
}

// applyClaim applies a claim about the member's current pair. A dead claim about a
// member that is not suspect on this node makes it suspect and has it pinged. The
// claim is forwarded only when the suspicion expires without a refutation. Further
// dead claims do not shorten the suspicion, since all nodes of the other side repeat
// them when a region rejoins.
func (m *Membership) applyClaim(now time.Time, member *memberState, claim Claim) {
	if claim <= member.claim {
		return
	}
	if claim == ClaimDead && member.declared != NodeLeft && !m.options.noDeadCheck {
		if member.claim == ClaimNone {
			m.setClaim(now, member, ClaimSuspect)
			member.verifyPending, member.verifying = true, true
		}
		if member.verifying {
			return
		}
	}
	m.setClaim(now, member, claim)
	m.enqueueState(member, partState, false)
}

func (m *Membership) applyTargets(member *memberState, d *Delta, toRequest map[string]bool) {
	if d.TargetsVersion <= member.targetsVersion || member.isTombstone() {
		return
	}
	switch {
	case d.HasTargets:
		m.update(member, func(member *memberState) {
			member.targets, member.patch, member.targetsVersion = sortTargets(append([]Target(nil), d.Targets...)), nil, d.TargetsVersion
		})
	case d.Patch != nil && d.Patch.Base == member.targetsVersion:
		m.update(member, func(member *memberState) {
			member.targets, member.patch, member.targetsVersion = d.Patch.apply(member.targets), d.Patch, d.TargetsVersion
		})
	default:
		toRequest[member.node] = true
		m.dequeue(member.node) // this node lacks the targets to forward
	}
}

func (m *Membership) applyReports(member *memberState, d *Delta) {
	if d.Reports == nil || member.incarnation != d.Incarnation || d.Reports.Version <= member.reportsVersion {
		return
	}
	member.reports, member.reportsVersion = bytes.Clone(d.Reports.Data), d.Reports.Version
	m.view = nil
	m.enqueueReports(member, false)
}

// applySelf refutes claims of other nodes about this node with a higher version.
func (m *Membership) applySelf(d *Delta) {
	if d.Incarnation != m.self.incarnation {
		m.handleDuplicateName(d.Incarnation)
		return
	}
	m.suspectedBySender = m.suspectedBySender || d.Claim != ClaimNone
	claimed := d.Claim != ClaimNone && d.Version >= m.self.version
	if m.options.noRefute || !claimed && d.Version <= m.self.version {
		return
	}
	m.update(m.self, func(member *memberState) { member.version = d.Version + 1 })
	m.enqueueState(m.self, partState, false)
}

// handleAck ends a probe or a relayed ping. An ack through another node means that
// other nodes reach the subject but this node does not.
func (m *Membership) handleAck(msg Message, out []OutgoingMessage) []OutgoingMessage {
	direct := msg.Subject == msg.From
	for i, p := range m.probes {
		if p.seq != msg.Seq || p.node != msg.Subject {
			continue
		}
		m.probes = append(m.probes[:i], m.probes[i+1:]...)
		if member, ok := m.members[p.node]; ok && member.unreachable == direct {
			member.unreachable = !direct
			m.view = nil
		}
		break
	}
	for i, r := range m.relays {
		if r.seq != msg.Seq || !direct {
			continue
		}
		m.relays = append(m.relays[:i], m.relays[i+1:]...)
		if member, ok := m.members[r.requester]; ok {
			ack := m.message(KindAck, r.requester)
			ack.Seq, ack.Subject = r.requesterSeq, msg.Subject
			out = append(out, m.outgoing(member, ack))
		}
		break
	}
	return out
}

func (m *Membership) relayPing(now time.Time, from string, msg Message, out []OutgoingMessage) []OutgoingMessage {
	member, ok := m.members[msg.Subject]
	if !ok || member == m.self || member.isTombstone() {
		return out
	}
	m.seq++
	m.relays = append(m.relays, relay{seq: m.seq, requester: from, requesterSeq: msg.Seq, expiresAt: now.Add(m.options.IndirectTimeout)})
	ping := m.message(KindPing, member.node)
	ping.Seq = m.seq
	ping.Deltas = m.appendClaim(member, ping.Deltas)
	return append(out, m.outgoing(member, ping))
}
