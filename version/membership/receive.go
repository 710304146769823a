package membership

import (
	"bytes"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Receive handles a message and returns the answers. An answer to the sender
// has To equal to from.
func (m *Membership) Receive(now time.Time, from string, msg Message) []OutgoingMessage {
	if m.superseded || msg.From != from {
		return nil
	}
	if from == m.self.node {
		m.handleDuplicateName(msg.Incarnation)
		return nil
	}
	m.joined, m.suspectedBySender = true, false
	wants := map[string]bool{}
	m.heard(msg, wants)
	for i := range msg.Deltas {
		m.applyDelta(now, &msg.Deltas[i], wants)
		if m.superseded {
			return nil
		}
	}
	var out []OutgoingMessage
	answer := Message{}
	switch msg.Kind {
	case KindPing:
		answer = m.message(KindAck, from)
		answer.Seq, answer.Subject = msg.Seq, m.self.node
	case KindAck:
		out = m.acked(msg, out)
	case KindPingReq:
		out = m.relayPing(now, from, msg, out)
	case KindDigest:
		answer = m.list(msg)
	case KindList:
		answer = m.compare(msg, wants)
	case KindDeltas:
		out = m.serveWants(from, msg, out)
	}
	if m.suspectedBySender && !m.options.noRefute {
		// The refutation may have been passed on for the last time before, so
		// that this sender would not receive it.
		if answer.Kind == 0 {
			answer = m.message(KindDeltas, from)
		}
		answer.Deltas = append(answer.Deltas, m.self.stateDelta())
	}
	if e, ok := m.entries[from]; ok && answer.Kind != 0 && e.incarnation.Compare(msg.Incarnation) > 0 {
		answer.Deltas = append(answer.Deltas, e.stateDelta()) // the sender has been replaced
	}
	return m.answer(from, answer, wants, out)
}

// answer completes the message to the sender with wanted names and with what is
// claimed about the sender.
func (m *Membership) answer(from string, answer Message, wants map[string]bool, out []OutgoingMessage) []OutgoingMessage {
	e := m.entries[from]
	if answer.Kind == 0 && len(wants) > 0 {
		answer = m.message(KindDeltas, from)
	}
	if answer.Kind == 0 {
		return out
	}
	if answer.Kind == KindDeltas {
		answer.Requested = append(answer.Requested, sortedKeys(wants)...)
		for _, name := range answer.Requested {
			if e, ok := m.entries[name]; ok {
				answer.Versions = append(answer.Versions, e.item())
			}
		}
		if len(answer.Requested)+len(answer.Deltas) == 0 {
			return out
		}
	}
	address := ""
	if e != nil {
		address = e.meta.ControlAddress
		answer.Deltas = m.withClaim(e, answer.Deltas)
	}
	out = append(out, OutgoingMessage{To: from, Address: address, Message: answer})
	if answer.Kind == KindAck && len(wants) > 0 {
		out = m.answer(from, Message{}, wants, out)
	}
	return out
}

// heard marks the sender as reachable.
func (m *Membership) heard(msg Message, wants map[string]bool) {
	e, ok := m.entries[msg.From]
	if !ok || e.incarnation.Compare(msg.Incarnation) < 0 {
		wants[msg.From] = true
		return
	}
	if e.incarnation != msg.Incarnation {
		return
	}
	if e.unreachable {
		e.unreachable = false
		m.view = nil
	}
	if msg.ConfigVersion > e.configVersion {
		e.configVersion = msg.ConfigVersion
		m.view = nil
	}
}

// handleDuplicateName handles a message of another process with this node's name: this
// one takes a higher incarnation, or ends when it already serves.
func (m *Membership) handleDuplicateName(other attempt.Incarnation) {
	if m.self.incarnation.Compare(other) >= 0 {
		return
	}
	if m.serving {
		m.superseded = true
		return
	}
	m.touch(m.self, func(e *entry) {
		e.incarnation = attempt.Incarnation{StartedMS: other.StartedMS + 1, Random: m.random.Uint64()}
		e.version, e.targetsVersion, e.patch = 1, 1, nil
		e.reports, e.reportsVersion = nil, 0
	})
	m.enqueueFull(m.self)
}

func (m *Membership) applyDelta(now time.Time, d *Delta, wants map[string]bool) {
	if d.Node == m.self.node {
		m.applySelf(d)
		return
	}
	e, ok := m.entries[d.Node]
	if !ok {
		m.applyUnknown(now, d, wants)
		return
	}
	order := e.comparePair(d.Incarnation, d.Version)
	if m.options.noPairCheck {
		order = -1
	}
	switch {
	case order > 0:
		m.applyOlder(e, d)
		return
	case order < 0 && e.incarnation != d.Incarnation && (d.Meta == nil || !d.HasTargets) && !isGone(d):
		wants[d.Node] = true // the state alone does not describe a new incarnation
		return
	case order < 0:
		m.applyNewer(now, e, d)
	default:
		m.applyClaim(now, e, d.Claim)
	}
	m.applyTargets(e, d, wants)
	m.applyReports(e, d)
}

func isGone(d *Delta) bool { return d.Claim == ClaimDead || d.Declared == NodeLeft }

// applyOlder takes over only the reports, which have their own version.
func (m *Membership) applyOlder(e *entry, d *Delta) {
	if e.incarnation == d.Incarnation {
		m.applyReports(e, d)
	}
}

// applyUnknown adds a member. A tombstone of an unknown node is dropped, so
// that nodes do not hand it around after its time.
func (m *Membership) applyUnknown(now time.Time, d *Delta, wants map[string]bool) {
	if isGone(d) {
		return
	}
	if d.Meta == nil || !d.HasTargets {
		wants[d.Node] = true
		return
	}
	e := &entry{node: d.Node, incarnation: d.Incarnation, version: d.Version, declared: d.Declared, meta: *d.Meta}
	m.insert(e)
	m.enqueueFull(e)
	m.applyClaim(now, e, d.Claim)
	m.applyTargets(e, d, wants)
	m.applyReports(e, d)
}

// applyNewer replaces the state by that of a higher pair. A dead claim goes
// through applyClaim, which may check it first.
func (m *Membership) applyNewer(now time.Time, e *entry, d *Delta) {
	wasGone := e.gone()
	m.touch(e, func(e *entry) {
		if e.incarnation != d.Incarnation {
			e.targets, e.patch, e.targetsVersion = nil, nil, 0
			e.reports, e.reportsVersion, e.configVersion = nil, 0, 0
			e.unreachable = false
		}
		e.incarnation, e.version, e.declared = d.Incarnation, d.Version, d.Declared
		e.claim, e.verify, e.checking = ClaimNone, false, false
		if d.Meta != nil {
			e.meta = *d.Meta
		}
		if d.Declared == NodeLeft && !wasGone {
			e.deadSince = now
		}
	})
	p := partState
	switch {
	case d.HasTargets:
		p = partFull
	case d.Patch != nil:
		p = partPatch
	}
	leaving := d.Declared == NodeLeaving || d.Declared == NodeLeft
	if d.Patch != nil {
		leaving = leaving || len(d.Patch.Removed) > 0
		for _, t := range d.Patch.Changed {
			leaving = leaving || t.Leaving
		}
	}
	m.enqueueState(e, p, leaving)
	m.applyClaim(now, e, d.Claim)
}

// applyClaim takes over a claim about the pair that is held. A dead claim about
// a member that is not suspect here makes it suspect and has it pinged. It is
// passed on only when the suspicion ends without a refutation; further dead
// claims do not shorten that, since in a region that joins again all nodes of
// the other side repeat them.
func (m *Membership) applyClaim(now time.Time, e *entry, c Claim) {
	if c <= e.claim {
		return
	}
	if c == ClaimDead && e.declared != NodeLeft && !m.options.noDeadCheck {
		if e.claim == ClaimNone {
			m.claim(now, e, ClaimSuspect)
			e.verify, e.checking = true, true
		}
		if e.checking {
			return
		}
	}
	m.claim(now, e, c)
	m.enqueueState(e, partState, false)
}

func (m *Membership) applyTargets(e *entry, d *Delta, wants map[string]bool) {
	if d.TargetsVersion <= e.targetsVersion || e.gone() {
		return
	}
	switch {
	case d.HasTargets:
		m.touch(e, func(e *entry) {
			e.targets, e.patch, e.targetsVersion = sortTargets(append([]Target(nil), d.Targets...)), nil, d.TargetsVersion
		})
	case d.Patch != nil && d.Patch.Base == e.targetsVersion:
		m.touch(e, func(e *entry) {
			e.targets, e.patch, e.targetsVersion = d.Patch.apply(e.targets), d.Patch, d.TargetsVersion
		})
	default:
		wants[e.node] = true
		m.dequeue(e.node) // nothing complete to pass on
	}
}

func (m *Membership) applyReports(e *entry, d *Delta) {
	if d.Reports == nil || e.incarnation != d.Incarnation || d.Reports.Version <= e.reportsVersion {
		return
	}
	e.reports, e.reportsVersion = bytes.Clone(d.Reports.Data), d.Reports.Version
	m.view = nil
	m.enqueueReports(e, false)
}

// applySelf refutes claims of others about this node.
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
	m.touch(m.self, func(e *entry) { e.version = d.Version + 1 })
	m.enqueueState(m.self, partState, false)
}

// acked ends a probe. An answer by way of another node means that only this
// node does not reach the subject.
func (m *Membership) acked(msg Message, out []OutgoingMessage) []OutgoingMessage {
	direct := msg.Subject == msg.From
	for i, p := range m.probes {
		if p.seq != msg.Seq || p.node != msg.Subject {
			continue
		}
		m.probes = append(m.probes[:i], m.probes[i+1:]...)
		if e, ok := m.entries[p.node]; ok && e.unreachable == direct {
			e.unreachable = !direct
			m.view = nil
		}
		break
	}
	for i, r := range m.relays {
		if r.seq != msg.Seq || !direct {
			continue
		}
		m.relays = append(m.relays[:i], m.relays[i+1:]...)
		if e, ok := m.entries[r.requester]; ok {
			ack := m.message(KindAck, r.requester)
			ack.Seq, ack.Subject = r.requesterSeq, msg.Subject
			out = append(out, m.send(e, ack))
		}
		break
	}
	return out
}

func (m *Membership) relayPing(now time.Time, from string, msg Message, out []OutgoingMessage) []OutgoingMessage {
	e, ok := m.entries[msg.Subject]
	if !ok || e == m.self || e.gone() {
		return out
	}
	m.seq++
	m.relays = append(m.relays, relay{seq: m.seq, requester: from, requesterSeq: msg.Seq, until: now.Add(m.options.IndirectTimeout)})
	ping := m.message(KindPing, e.node)
	ping.Seq = m.seq
	ping.Deltas = m.withClaim(e, ping.Deltas)
	return append(out, m.send(e, ping))
}
