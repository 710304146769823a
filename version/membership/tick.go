package membership

import (
	"maps"
	"slices"
	"time"
)

// probe is a ping that has not been acknowledged yet.
type probe struct {
	seq          uint64
	node         string
	indirectAt   time.Time // when indirect pings are due
	suspectAt    time.Time // when the node becomes suspect
	indirectSent bool
}

// relay is a ping on behalf of another node.
type relay struct {
	seq          uint64 // of this node's ping
	requester    string
	requesterSeq uint64
	expiresAt    time.Time
}

// Tick runs the periodic work that is due and returns the messages to send. The caller
// calls it every TickInterval; a late call means that the process was paused.
func (m *Membership) Tick(now time.Time) []OutgoingMessage {
	if m.superseded {
		return nil
	}
	m.checkPause(now)
	m.publishTargets(now)
	m.publishState(now)
	m.publishReports(now)
	var out []OutgoingMessage
	out = m.checkProbes(now, out)
	m.expireSuspicions(now)
	m.pruneTombstones(now)
	out = m.pingWhenDue(now, out)
	out = m.verifyClaims(now, out)
	if m.due(&m.nextUrgentGossip, now, urgentGossipInterval) {
		out = m.gossipUrgent(out)
	}
	if m.due(&m.nextAntiEntropy, now, m.options.AntiEntropyInterval) && !m.options.noAntiEntropy {
		for _, member := range m.nearbyMembers(1) {
			out = append(out, m.digestMessage(member.node, member.meta.ControlAddress))
		}
	}
	return m.rejoin(now, out)
}

// due reports whether next has passed and then advances it by the interval with 10 %
// jitter. The first time is random, so that nodes that start together do not send
// together.
func (m *Membership) due(next *time.Time, now time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	if next.IsZero() {
		*next = now.Add(time.Duration(m.random.Int64N(int64(interval))))
		return false
	}
	*next = now.Add(interval - time.Duration(m.random.Int64N(int64(interval/10))))
	return true
}

// checkPause discards probes and restarts suspicions after a pause of this process,
// since messages missed during the pause say nothing about other nodes.
func (m *Membership) checkPause(now time.Time) {
	delay := now.Sub(m.lastTick) - TickInterval
	tickedBefore := !m.lastTick.IsZero()
	m.lastTick = now
	if !tickedBefore || delay <= m.options.PauseThreshold || m.options.noPauseCheck {
		return
	}
	m.probes, m.relays = nil, nil
	for _, member := range m.suspects {
		member.suspectUntil = now.Add(m.suspicionTimeout())
	}
	m.pausedUntil = now.Add(pausedStateDuration)
}

func (m *Membership) message(kind Kind, to string) Message {
	msg := Message{Kind: kind, From: m.self.node, Incarnation: m.self.incarnation, ConfigVersion: m.self.configVersion}
	if kind != KindDigest && kind != KindList && kind != KindDeltas {
		msg.Deltas = m.queuedDeltas(to, false)
	}
	return msg
}

func (m *Membership) outgoing(member *memberState, msg Message) OutgoingMessage {
	return OutgoingMessage{To: member.node, Address: member.meta.ControlAddress, Message: msg}
}

// pingWhenDue sends a ping per interval. A change of this node is sent at once by the next
// ping, and the one after it comes at its usual time, so that the change is known sooner
// without more pings.
func (m *Membership) pingWhenDue(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	switch {
	case m.due(&m.nextPing, now, m.options.PingInterval):
		m.pingBroughtForward = false
	case m.hasOwnChange && !m.pingBroughtForward && !m.options.noLocality:
		m.nextPing = m.nextPing.Add(m.options.PingInterval)
		m.pingBroughtForward = true
	default:
		return out
	}
	m.hasOwnChange = false
	return m.pingNext(now, out)
}

// pingNext pings the next member of a shuffled round, so that each member is pinged
// within a bounded time. The own failure domain and the others have a round each.
func (m *Membership) pingNext(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	m.otherDomainsDue += m.otherDomainsShare()
	order, others := &m.pingOrder, m.otherDomainsDue >= 1
	if others {
		m.otherDomainsDue--
		order = &m.otherDomainsPingOrder
	}
	for range len(m.names) + 1 {
		if len(*order) == 0 {
			for _, name := range m.names {
				if m.isOtherDomain(m.members[name]) == others {
					*order = append(*order, name)
				}
			}
			m.random.Shuffle(len(*order), func(i, j int) {
				(*order)[i], (*order)[j] = (*order)[j], (*order)[i]
			})
		}
		if len(*order) == 0 {
			return out
		}
		name := (*order)[0]
		*order = (*order)[1:]
		if member, ok := m.members[name]; ok && member != m.self && !member.isTombstone() {
			return append(out, m.pingMember(now, member))
		}
	}
	return out
}

func (m *Membership) pingMember(now time.Time, member *memberState) OutgoingMessage {
	m.seq++
	m.probes = append(m.probes, probe{
		seq: m.seq, node: member.node, indirectAt: now.Add(m.options.PingTimeout),
		suspectAt: now.Add(m.options.PingTimeout + m.options.IndirectTimeout),
	})
	msg := m.message(KindPing, member.node)
	msg.Seq = m.seq
	msg.Deltas = m.appendClaim(member, msg.Deltas)
	return m.outgoing(member, msg)
}

// appendClaim appends the claim about the receiver, if any, so that it can refute it.
func (m *Membership) appendClaim(member *memberState, deltas []Delta) []Delta {
	if member.claim != ClaimNone {
		return append(deltas, member.stateDelta())
	}
	return deltas
}

func (m *Membership) checkProbes(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	var unanswered []*memberState
	pending := m.probes[:0]
	for _, p := range m.probes {
		member, ok := m.members[p.node]
		if !ok || member.isTombstone() {
			continue
		}
		if !p.indirectSent && !now.Before(p.indirectAt) {
			p.indirectSent = true
			out = m.requestIndirectPings(member, p.seq, out)
			unanswered = append(unanswered, member)
		}
		if now.Before(p.suspectAt) {
			pending = append(pending, p)
			continue
		}
		if member.claim == ClaimNone {
			m.setClaim(now, member, ClaimSuspect)
			m.enqueueState(member, partState, false)
		}
	}
	m.probes = pending
	for _, member := range unanswered {
		out = m.pingSameDomain(now, member, out)
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return now.After(r.expiresAt) })
	return out
}

func (m *Membership) requestIndirectPings(subject *memberState, seq uint64, out []OutgoingMessage) []OutgoingMessage {
	if m.options.noIndirect {
		return out
	}
	for _, helper := range m.randomMembers(indirectPings, func(member *memberState) bool { return member != subject && isPresent(member) }) {
		msg := m.message(KindPingReq, helper.node)
		msg.Seq, msg.Subject = seq, subject.node
		out = append(out, m.outgoing(helper, msg))
	}
	return out
}

// setClaim sets a claim and its timer.
func (m *Membership) setClaim(now time.Time, member *memberState, claim Claim) {
	m.update(member, func(member *memberState) {
		member.claim, member.verifyPending, member.verifying = claim, false, false
		switch claim {
		case ClaimSuspect:
			member.suspectUntil = now.Add(m.suspicionTimeout())
		case ClaimDead:
			member.deadSince = now
		}
	})
}

// suspectNames returns the names of the suspect members, sorted.
func (m *Membership) suspectNames() []string {
	if len(m.suspects) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m.suspects))
}

func (m *Membership) expireSuspicions(now time.Time) {
	for _, name := range m.suspectNames() {
		if member := m.suspects[name]; !now.Before(member.suspectUntil) {
			m.setClaim(now, member, ClaimDead)
			m.enqueueState(member, partState, false)
		}
	}
}

// verifyClaims pings the members about which another node made a dead claim.
func (m *Membership) verifyClaims(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	n := 0
	for _, name := range m.suspectNames() {
		member := m.suspects[name]
		if !member.verifyPending || n == maxVerifyPingsPerTick {
			continue
		}
		member.verifyPending = false
		n++
		out = append(out, m.pingMember(now, member))
	}
	return out
}

func (m *Membership) gossipUrgent(out []OutgoingMessage) []OutgoingMessage {
	if len(m.queue.urgent) == 0 {
		return out
	}
	peers := m.nearbyMembers
	if m.hasOwnUrgentChange() {
		// The first hop decides how soon the other domains know of a change.
		peers = func(n int) []*memberState { return m.randomMembers(n, isPresent) }
	}
	for _, member := range peers(urgentGossipPeers) {
		msg := Message{Kind: KindGossip, From: m.self.node, Incarnation: m.self.incarnation, ConfigVersion: m.self.configVersion}
		msg.Deltas = m.queuedDeltas(member.node, true)
		if len(msg.Deltas) > 0 {
			out = append(out, m.outgoing(member, msg))
		}
	}
	m.endUrgentRound()
	return out
}

// rejoin contacts one seed or dead node per SeedInterval, so that regions rejoin after
// a partition.
func (m *Membership) rejoin(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	interval := m.options.SeedInterval
	if len(m.names) == 1 {
		interval = time.Second
		if m.nextSeed.IsZero() { // a new node does not wait before its first attempt
			m.nextSeed = now
		}
	}
	if !m.due(&m.nextSeed, now, interval) || m.options.noRejoin {
		return out
	}
	known := map[string]bool{m.self.meta.ControlAddress: true}
	var addresses []string
	for _, name := range m.names {
		member := m.members[name]
		if member.claim == ClaimDead {
			addresses = append(addresses, member.meta.ControlAddress)
		} else {
			known[member.meta.ControlAddress] = true
		}
	}
	for _, seed := range m.options.Seeds {
		if !known[seed] {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return out
	}
	return append(out, m.digestMessage("", addresses[m.random.IntN(len(addresses))]))
}

// pruneTombstones removes expired tombstones.
func (m *Membership) pruneTombstones(now time.Time) {
	if !m.due(&m.nextPrune, now, DefaultAntiEntropyInterval) {
		return
	}
	for _, name := range slices.Clone(m.names) {
		if member := m.members[name]; member != m.self && member.isTombstone() && now.Sub(member.deadSince) > m.options.TombstoneTTL {
			m.remove(member)
		}
	}
}
